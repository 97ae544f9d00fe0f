package rollout_test

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	measure "verbenaseam.example/verbenaseam/internal/measure/rollout"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

// putEntry overwrites the row of a version as another writer might.
func putEntry(t *testing.T, rows *measure.MemoryTable, version uint64, value []byte) {
	key := fmt.Sprintf("rollout/version/%020d", version)
	_, err := rows.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}})
	require.NoError(t, err)
}

// newLogWithVersions returns a log and its tables of versions from 0 to head.
func newLogWithVersions(t *testing.T, head uint64) (*measure.MemoryTable, []*table.Table) {
	rows := measure.NewMemoryTable()
	log := rollout.NewLog(rows, clockwork.NewFakeClock())
	tables := []*table.Table{table.New()}
	for version := range head {
		next := withRegion(tables[version], int(version))
		accepted, err := log.Propose(t.Context(), rollout.Change{ID: fmt.Sprint(version), Operator: "o", Base: version, Next: next})
		require.NoError(t, err)
		next.Version = accepted
		tables = append(tables, next)
	}
	return rows, tables
}

// TestMalformedEntryBeforeACheckpoint guards against processes that no longer follow the
// configuration because of one row, although the whole table can be read after it.
func TestMalformedEntryBeforeACheckpoint(t *testing.T) {
	// A checkpoint is written each 1,000 versions.
	const head, malformed = 1010, 995
	rows, tables := newLogWithVersions(t, head)
	for name, value := range rollout.MalformedEntries(t, malformed) {
		t.Run(name, func(t *testing.T) {
			putEntry(t, rows, malformed, value)
			reader := rollout.NewLog(rows, clockwork.NewFakeClock())
			reader.CacheTable(tables[malformed-1])
			update, err := reader.Since(t.Context(), malformed-1)
			require.NoError(t, err)
			require.True(t, update.FullTableNeeded)
			require.NotNil(t, update.Corrupt)
			require.Empty(t, update.Entries)
			loaded, err := reader.Load(t.Context())
			require.NoError(t, err)
			require.Equal(t, uint64(head), loaded.Version)
			require.True(t, table.Diff(loaded, tables[head]).Empty())
		})
	}
}

// TestMalformedEntryAfterTheCheckpoint guards against a table that leaves a version out.
func TestMalformedEntryAfterTheCheckpoint(t *testing.T) {
	for name, value := range rollout.MalformedEntries(t, 2) {
		t.Run(name, func(t *testing.T) {
			rows, _ := newLogWithVersions(t, 3)
			putEntry(t, rows, 2, value)
			_, err := rollout.NewLog(rows, clockwork.NewFakeClock()).Load(t.Context())
			require.Error(t, err)
		})
	}
}
