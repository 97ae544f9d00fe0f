package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fill takes targets until all are full, and counts the requests by target ID.
func fill(d *Dispatcher, now time.Time) map[string]int {
	taken := map[string]int{}
	for {
		t, waiter := d.Acquire(work(0), now)
		if t == nil {
			d.CancelWait(waiter)
			return taken
		}
		taken[t.ID()]++
	}
}

// TestSlowTargetGetsRequestsByItsSlowdown guards against a slow target holding up its
// lock-step group: one of 12 targets took 12 times as long as usual, and all others
// waited for it.
func TestSlowTargetGetsRequestsByItsSlowdown(t *testing.T) {
	cases := map[string]struct {
		slowdown float64
		want     int
	}{
		"normal":          {1, 12},
		"below threshold": {1.1, 12},
		"slow":            {1.6, 6},
		"very slow":       {12, 0},
		"NaN":             {math.NaN(), 12},
		"implausible":     {1e9, 12},
		"zero":            {0, 12},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(3, 12)
			d.SetSlowdown("10.0.0.1:80", tc.slowdown, start)
			taken := fill(d, start)
			require.Equal(t, tc.want, taken["t1"])
			require.Equal(t, 12, taken["t0"])
			require.Equal(t, 12, taken["t2"])
		})
	}
}

func TestSlowdownExpiresUnlessReportedAgain(t *testing.T) {
	d := newDispatcher(3, 2)
	require.True(t, d.SetSlowdown("10.0.0.1:80", 12, start))
	require.False(t, d.SetSlowdown("10.0.0.1:80", 12, start), "slowdown unchanged")
	require.False(t, d.SetSlowdown("10.0.0.9:80", 12, start), "unknown address")
	require.Zero(t, fill(d, at(slowdownTTL/2))["t1"])
	require.Equal(t, 2, fill(d, at(slowdownTTL))["t1"])
}

func TestAllTargetsAreUsedWhenMostAreSlow(t *testing.T) {
	d := newDispatcher(3, 2)
	d.SetSlowdown("10.0.0.1:80", 12, start)
	d.SetSlowdown("10.0.0.2:80", 12, start)
	require.Equal(t, map[string]int{"t0": 2, "t1": 2, "t2": 2}, fill(d, start))
}

func TestRequestsAreMovedFromASlowTargetOneAtATime(t *testing.T) {
	d := newDispatcher(3, 4)
	d.SetProcesses(NewProcesses("a", []string{"b"}))
	var slow *Target
	for range 12 {
		if taken := take(t, d, start); taken.ID() == "t1" {
			slow = taken
		}
	}
	require.False(t, d.TryReassign(slow, start), "no slowdown")
	d.SetSlowdown("10.0.0.1:80", 1.5, start)
	require.False(t, d.TryReassign(slow, start), "below reassignSlowdown")
	d.SetSlowdown("10.0.0.1:80", 2, start)
	require.True(t, d.TryReassign(slow, start))
	require.False(t, d.TryReassign(slow, at(reassignInterval)), "the interval is shared with the other process")
	d.Release(slow, Reassigned, at(reassignInterval))
	require.True(t, d.TryReassign(slow, at(2*reassignInterval)))
	d.Release(slow, Reassigned, at(2*reassignInterval))
	d.Release(slow, Reassigned, at(2*reassignInterval))
	require.False(t, d.TryReassign(slow, at(4*reassignInterval)), "the remaining load fits the slowdown")
}
