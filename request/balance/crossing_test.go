package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPenaltyWeighsCrossingAgainstLoad guards against a fixed penalty: a crossing of 1 ms is
// cheap for requests of seconds and dear for those of a few milliseconds.
func TestPenaltyWeighsCrossingAgainstLoad(t *testing.T) {
	near := Crossing{Delay: 500 * time.Microsecond}
	far := Crossing{Delay: 20 * time.Millisecond}
	priced := Crossing{Delay: 500 * time.Microsecond, Bytes: 5000, Price: 2 * time.Second}
	for name, tc := range map[string]struct {
		crossing Crossing
		load     Load
		want     float64
	}{
		"long requests":            {near, Load{Slowdown: time.Second}, tieJitter},
		"short requests":           {near, Load{Slowdown: 10 * time.Millisecond}, 0.1},
		"far away":                 {far, Load{Slowdown: 400 * time.Millisecond}, 0.1},
		"bytes have a price":       {priced, Load{Slowdown: 100 * time.Millisecond}, 0.11},
		"never fill own targets":   {far, Load{Slowdown: 30 * time.Millisecond}, maxPenalty},
		"lock step, less than one": {far, Load{Slowdown: 30 * time.Millisecond, LockStep: true}, maxLockStepSlots / 10},
		"time not known":           {far, Load{}, unknownPenalty},
	} {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, tc.want, tc.crossing.Penalty(tc.load, 10), 1e-9)
		})
	}
}

// TestOnlyExcessCrosses guards against failure domains that exchange requests though each has
// targets for its own, and against one that keeps more than its targets have a part for.
func TestOnlyExcessCrosses(t *testing.T) {
	candidates := []Candidate{{Load: 2, Capacity: 10}, {Load: 2, Capacity: 10, Remote: true}, {Load: 0, Capacity: 10, Remote: true}}
	// Eight requests raise all to 4, and a third of the capacity is local.
	crossed := func(localShare float64) float64 {
		got := shares(candidates, Unseen{Total: 8, LocalShare: localShare}, true)
		return got[1] + got[2]
	}
	require.Zero(t, crossed(0.1))
	require.Zero(t, crossed(0.33))
	require.InDelta(t, 1.0/3, crossed(0.5), 0.02)
	require.InDelta(t, 2.0/3, crossed(1), 0.02)
	candidates[0].Load = 9
	require.InDelta(t, 1, crossed(0.1), 1e-9, "the own target is above the level")
	got := shares(candidates[1:], Unseen{Total: 8, LocalShare: 0.1}, true)
	require.InDelta(t, 1, got[0]+got[1], 1e-9, "all own targets are lost")
	got = shares(candidates[:1], Unseen{Total: 8, LocalShare: 1}, true)
	require.InDelta(t, 1, got[0], 1e-9, "all others are lost")
}
