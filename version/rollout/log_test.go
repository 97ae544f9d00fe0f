package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	measure "verbenaseam.example/verbenaseam/internal/measure/rollout"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

// withOrganisation returns a table with the version and organisations of t and one
// more organisation.
func withOrganisation(t *table.Table, name string) *table.Table {
	next := table.New()
	next.Version = t.Version
	for key, value := range t.Organisations {
		next.Organisations[key] = value
	}
	next.Organisations[name] = table.Organisation{Name: name}
	return next
}

// acceptedChanges reads the log from the beginning and returns the version of each
// change. It requires versions without gaps and each change at most once.
func acceptedChanges(t require.TestingT, log *rollout.Log) map[string]uint64 {
	accepted := map[string]uint64{}
	version := uint64(0)
	for {
		update, err := log.Since(context.Background(), version)
		require.NoError(t, err)
		if version == update.Head {
			return accepted
		}
		for _, entry := range update.Entries {
			require.Equal(t, version+1, entry.Version)
			require.Zero(t, accepted[entry.ChangeID], "change %s accepted twice", entry.ChangeID)
			accepted[entry.ChangeID] = entry.Version
			version = entry.Version
		}
	}
}

// TestProposeResultMatchesLogUnderFaults guards against results of Propose that
// disagree with the log. Two operators propose changes on current and outdated
// bases, while replies and requests are lost and the platform fails after a random
// number of calls.
func TestProposeResultMatchesLogUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := measure.NewMemoryTable()
		clock := clockwork.NewFakeClock()
		logs := []*rollout.Log{rollout.NewLog(rows, clock), rollout.NewLog(rows, clock)}
		reader := rollout.NewLog(rows, clock)
		bases := []*table.Table{table.New()}
		for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
			rows.LoseReplies(rapid.IntRange(0, 2).Draw(t, "lost"))
			rows.DropWrites(rapid.IntRange(0, 6).Draw(t, "dropped"))
			rows.FailAfter(rapid.IntRange(-1, 6).Draw(t, "fail after"))
			base := rapid.SampledFrom(bases).Draw(t, "base")
			change := rollout.Change{
				ID:       fmt.Sprintf("change-%d", i),
				Operator: "operator",
				Base:     base.Version,
				Next:     withOrganisation(base, fmt.Sprintf("o%d", i)),
			}
			version, err := logs[i%2].Propose(t.Context(), change)
			rows.SetDown(false)
			rows.LoseReplies(0)
			rows.DropWrites(0)
			checkResult(t, reader, change, version, err)
			retried, err := logs[(i+1)%2].Propose(t.Context(), change)
			checkResult(t, reader, change, retried, err)
			if version != 0 && retried != 0 {
				require.Equal(t, version, retried, "a retry must return the same version")
			}
			newest, err := rollout.NewLog(rows, clock).Load(t.Context())
			require.NoError(t, err)
			bases = append(bases, newest)
		}
	})
}

// checkResult requires that the result of Propose agrees with the log.
func checkResult(t *rapid.T, reader *rollout.Log, change rollout.Change, version uint64, err error) {
	accepted := acceptedChanges(t, reader)
	var conflict *rollout.ConflictError
	var refused *failure.Error
	switch {
	case err == nil:
		require.Equal(t, accepted[change.ID], version)
		require.NotZero(t, version)
	case errors.As(err, &conflict):
		require.Zero(t, accepted[change.ID])
		require.Greater(t, conflict.Current, change.Base)
		require.Equal(t, "operator", conflict.Operator)
		require.NotEmpty(t, conflict.Lines)
	case errors.As(err, &refused):
		require.Equal(t, failure.PlatformUnavailable, refused.Kind, "%v", err)
		require.Equal(t, failure.NotRun, refused.Outcome)
		require.Zero(t, accepted[change.ID])
	default:
		require.ErrorAs(t, err, new(*rollout.OutcomeUnknownError))
	}
}

// racingTable calls beforeCommit once, just before the first commit.
type racingTable struct {
	platform.Table
	beforeCommit func()
}

func (r *racingTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if beforeCommit := r.beforeCommit; beforeCommit != nil {
		r.beforeCommit = nil
		beforeCommit()
	}
	return r.Table.Commit(ctx, txn)
}

func TestProposeConflictsWithConcurrentChange(t *testing.T) {
	rows := measure.NewMemoryTable()
	clock := clockwork.NewFakeClock()
	other := rollout.NewLog(rows, clock)
	racing := &racingTable{Table: rows, beforeCommit: func() {
		_, err := other.Propose(t.Context(), rollout.Change{ID: "b", Operator: "other", Next: withOrganisation(table.New(), "x")})
		require.NoError(t, err)
	}}
	log := rollout.NewLog(racing, clock)
	_, err := log.Propose(t.Context(), rollout.Change{ID: "a", Operator: "me", Next: withOrganisation(table.New(), "y")})
	var conflict *rollout.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "other", conflict.Operator)
	require.Equal(t, []string{"+ [organisation x] weight=0"}, conflict.Lines)
	require.Equal(t, map[string]uint64{"b": 1}, acceptedChanges(t, other))
}

func TestProposeRejectsInvalidTables(t *testing.T) {
	log := rollout.NewLog(measure.NewMemoryTable(), clockwork.NewFakeClock())
	next := table.New()
	next.Routes["r"] = table.Route{Name: "r", Pool: "none"}
	_, err := log.Propose(t.Context(), rollout.Change{ID: "a", Next: next})
	require.ErrorAs(t, err, new(table.ValidationErrors))
	head, err := log.Head(t.Context())
	require.NoError(t, err)
	require.Zero(t, head)
}

// TestCheckpointSurvivesPlatformFailures guards against checkpoints that are
// incomplete, and against changes that fail with them, if the platform fails while
// a checkpoint is written. The log grows past two checkpoints, the table is larger
// than a row, and the platform fails during each proposal, after 7 to 46 calls. This
// number grows by one from proposal to proposal and starts again at 7.
func TestCheckpointSurvivesPlatformFailures(t *testing.T) {
	rows := measure.NewMemoryTable()
	log := rollout.NewLog(rows, clockwork.NewFakeClock())
	current := table.New()
	addOrganisations(current, 2000)
	for i := range 2400 {
		if i > 0 {
			current = withRegion(current, i)
		}
		rows.FailAfter(7 + i%40)
		change := rollout.Change{ID: fmt.Sprint(i), Operator: "o", Base: uint64(i), Next: current}
		version, err := log.Propose(t.Context(), change)
		rows.SetDown(false)
		require.NoError(t, err)
		require.Equal(t, uint64(i+1), version)
		current.Version = version
	}
	loaded, err := rollout.NewLog(rows, clockwork.NewFakeClock()).Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(2400), loaded.Version)
	require.True(t, table.Diff(loaded, current).Empty())
	require.LessOrEqual(t, rows.MaxRowBytes(), 128<<10+1024)
	require.Less(t, rows.Len(), 2*2400, "old versions must be trimmed")
	retry := rollout.Change{ID: "1500", Operator: "o", Base: 1500, Next: current}
	version, err := log.Propose(t.Context(), retry)
	require.NoError(t, err)
	require.Equal(t, uint64(1501), version, "the retry of a change after the previous checkpoint must be recognised")
}

// withRegion returns a copy of a table with one failure domain, whose region is i.
func withRegion(t *table.Table, i int) *table.Table {
	next := *t
	next.Domains = map[string]table.FailureDomain{"d": {Name: "d", Region: fmt.Sprint(i)}}
	return &next
}

// addOrganisations adds organisations to a table in place. The table must not be
// shared yet.
func addOrganisations(t *table.Table, count int) {
	for i := range count {
		name := fmt.Sprintf("organisation-with-a-long-name-to-fill-rows-%d", i)
		t.Organisations[name] = table.Organisation{Name: name}
	}
}
