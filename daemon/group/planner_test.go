package group

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/version/placement"
)

// TestPlannerChecksAllConditionsForAChange requests a change of a group whose first rank
// processes nearly all tokens, under each condition that forbids a change and under none.
func TestPlannerChecksAllConditionsForAChange(t *testing.T) {
	domains := []string{"patan"}
	cases := []struct {
		desc   string
		setUp  func(budget *placement.Budget, now time.Time)
		paused bool
		// silentRank is set if rank 1 sends no load reports.
		silentRank bool
		want       bool
	}{
		{"no condition against it", func(*placement.Budget, time.Time) {}, false, false, true},
		{"paused by operators", func(*placement.Budget, time.Time) {}, true, false, false},
		{"failure domain leaving", func(b *placement.Budget, _ time.Time) { b.SetLeaving("patan", true) }, false, false, false},
		{"another group moves there", func(b *placement.Budget, now time.Time) {
			b.Begin(now, placement.MoveRequest{Group: "other", FailureDomains: domains, Required: true})
		}, false, false, false},
		{"a rank has never reported", func(*placement.Budget, time.Time) {}, false, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			now := time.Unix(1000, 0)
			budget := placement.NewBudget(placement.BudgetConfig{
				BytesPerSecond: 1 << 30, BurstBytes: 1 << 30, Horizon: time.Hour, LoadCost: 0.05,
			})
			planner := NewPlanner("p", 2, budget, placement.NewMetrics(prometheus.NewRegistry()))
			for sequence := range uint64(2) {
				now = now.Add(time.Second)
				planner.HandleLoad(now, loadReport(0, sequence+1))
				if !tc.silentRank {
					planner.HandleLoad(now, loadReport(1, sequence+1))
				}
			}
			tc.setUp(budget, now)
			layer := placement.Layer{{{Rank: 0, Share: 1}}, {{Rank: 0, Share: 1}}, {{Rank: 1, Share: 1}}, {{Rank: 1, Share: 1}}}
			present := &placement.Map{Layers: []placement.Layer{layer}}
			change, found := planner.Decide(now, present, domains, tc.paused)
			require.Equal(t, tc.want, found)
			if !found {
				return
			}
			require.Positive(t, change.Moves)
			require.Equal(t, change.Moves*1000, change.Bytes)
			other := placement.MoveRequest{Group: "other", FailureDomains: domains, Required: true}
			require.Equal(t, placement.DomainBusy, budget.Begin(now, other))
			planner.HandleOutcome(ChangeOutcome{Change: change})
			require.Equal(t, placement.Allowed, budget.Begin(now, other))
		})
	}
}

// loadReport returns a load report in which experts 0 and 1, both on rank 0 at first, are
// the busy ones.
func loadReport(rank int, sequence uint64) Load {
	steps := sequence * 100
	computed := steps * 2000
	if rank == 1 {
		computed = steps * 200
	}
	return Load{
		Pool: "p", Slots: []int{3}, ExpertBytes: 1000,
		Report: placement.Report{
			Rank: rank, Incarnation: 1, Sequence: sequence, Steps: steps, Computed: computed,
			Routed: [][]uint64{{steps * 500, steps * 500, steps * 50, steps * 50}},
			Busy:   time.Duration(computed) * time.Microsecond,
		},
	}
}
