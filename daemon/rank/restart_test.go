package rank

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform/standin"
)

// copyTimePerExpert is long enough that a planner's agent is back before the ranks have
// copied the map of the earlier one.
const copyTimePerExpert = 800 * time.Millisecond

// stepTime is the time between two steps of the group. Agents that read their engines' reports each
// 100 ms must see a step less than ten steps old.
const stepTime = 20 * time.Millisecond

// configurationWithFewPlaces leaves room for so few copies of experts that no map suits all demands.
func configurationWithFewPlaces() []byte {
	return bytes.Replace(standin.Configuration(1, "/look/"), []byte(`"rank_capacity":4`), []byte(`"rank_capacity":3`), 1)
}

// restartPlanner stops the agent of rank 0 in the moment in which a rank has accepted its first map
// that copies experts, and starts another one at its place. The stopped one leaves no command that its
// own engine has accepted afterwards. keepsOwnCopy selects a stop after the engine of rank 0 has
// accepted the map too.
func restartPlanner(t *testing.T, s *serviceWithGroups, ctx context.Context, demand, demandAfter []uint64, keepsOwnCopy bool) {
	t.Helper()
	group, planner := s.groups[0], s.targets[0]
	planned := make(chan struct{})
	var once sync.Once
	group.OnCopy(func(rank int, version uint64) {
		if isClaim(version) || keepsOwnCopy != (rank == 0) {
			return
		}
		once.Do(func() { close(planned) })
	})
	for waiting := true; waiting; {
		group.Step(demand)
		select {
		case <-planned:
			waiting = false
		case <-time.After(stepTime):
		case <-ctx.Done():
			t.Fatal("no map was planned")
		}
	}
	planner.SetRankFaults(standin.RankFaults{LostCommands: 1 << 20, DelayLostCommands: true, Delay: time.Hour})
	s.stopAgent(0)
	planner.SetRankFaults(standin.RankFaults{})
	s.startAgent(0)
	for range 20 {
		group.Step(demandAfter)
		time.Sleep(stepTime)
	}
}

// demandFor returns the counts of a step in which one of the six experts is in demand.
func demandFor(expert int) []uint64 {
	counts := []uint64{1, 1, 1, 1, 1, 1}
	counts[expert] = 100
	return counts
}

// isClaim reports whether a map number only claims an epoch; no rank copies anything for it.
func isClaim(version uint64) bool { return version%2 != 0 }

// TestPlannerRestartedDuringACopyMixesNoMaps guards against a planner that gives out a number
// twice: it was restarted while the ranks copied the first map since its start, and its own engine had not
// accepted that one.
func TestPlannerRestartedDuringACopyMixesNoMaps(t *testing.T) {
	for name, keepsOwnCopy := range map[string]bool{"before its engine accepts the map": false, "after its engine has accepted the map": true} {
		t.Run(name, func(t *testing.T) {
			s := startService(t, configurationWithFewPlaces(), "first")
			group := s.groups[0]
			group.SetCopyTime(copyTimePerExpert)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			restartPlanner(t, s, ctx, demandFor(0), demandFor(1), keepsOwnCopy)

			// Every rank must come to use further maps.
			group.SetCopyTime(0)
			seen := map[uint64]bool{}
			for at := 0; len(seen) < 2; at++ {
				_, _, mixed := group.State()
				require.Zero(t, mixed, "steps ran on different maps")
				require.NoError(t, ctx.Err(), "the group takes no further maps: %v", seen)
				group.Step(demandFor(1 + at/50%5))
				running := group.Running()
				if running[0] != 0 && running[0] == running[1] && running[0] == running[2] {
					seen[running[0]] = true
				}
				time.Sleep(stepTime)
			}
		})
	}
}

// TestLateClaimOfAnEarlierPlannerGivesNoNumberTwice guards against a planner that takes the claim
// of an earlier one, which its engine accepts late, for its own.
func TestLateClaimOfAnEarlierPlannerGivesNoNumberTwice(t *testing.T) {
	s := startServiceWithGroups(t, "first")
	group, planner := s.groups[0], s.targets[0]
	planner.SetRankFaults(standin.RankFaults{LostCommands: 2, LostOp: "prepare", DelayLostCommands: true, Delay: 300 * time.Millisecond})
	s.stopAgent(0)
	s.startAgent(0)
	group.SetCopyTime(copyTimePerExpert / 8)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	restartPlanner(t, s, ctx, demandFor(0), demandFor(1), false)
	for range 100 {
		group.Step(demandFor(1))
		time.Sleep(stepTime)
	}
	_, running, mixed := group.State()
	require.NotZero(t, running)
	require.Zero(t, mixed, "steps ran on different maps")
}
