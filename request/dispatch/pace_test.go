package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fill takes targets until none is left, and counts them by ID.
func fill(d *Dispatcher, now time.Time) map[string]int {
	taken := map[string]int{}
	for {
		t, waiter := d.Take(work(0), now)
		if t == nil {
			d.GiveUp(waiter)
			return taken
		}
		taken[t.ID()]++
	}
}

// TestASlowTargetGetsWhatItWorksOffInTime replays a day on which one of 12 targets in
// lock step took 12 times as long, and all waited for it.
func TestASlowTargetGetsWhatItWorksOffInTime(t *testing.T) {
	cases := map[string]struct {
		pace float64
		want int
	}{
		"as usual":         {1, 12},
		"a little slow":    {1.1, 12},
		"slow":             {1.6, 6},
		"very slow":        {12, 0},
		"no number":        {math.NaN(), 12},
		"not to be true":   {1e9, 12},
		"nothing is known": {0, 12},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(3, 12)
			d.SetPace("10.0.0.1:80", tc.pace, start)
			taken := fill(d, start)
			require.Equal(t, tc.want, taken["t1"])
			require.Equal(t, 12, taken["t0"])
			require.Equal(t, 12, taken["t2"])
		})
	}
}

func TestAPaceThatIsNotToldAgainIsForgotten(t *testing.T) {
	d := newDispatcher(3, 2)
	require.True(t, d.SetPace("10.0.0.1:80", 12, start))
	require.False(t, d.SetPace("10.0.0.1:80", 12, start), "no news")
	require.False(t, d.SetPace("10.0.0.9:80", 12, start), "no target of this process")
	require.Zero(t, fill(d, at(paceSpan/2))["t1"])
	require.Equal(t, 2, fill(d, at(paceSpan))["t1"])
}

func TestWhereMostAreSlowAllAreUsed(t *testing.T) {
	d := newDispatcher(3, 2)
	d.SetPace("10.0.0.1:80", 12, start)
	d.SetPace("10.0.0.2:80", 12, start)
	require.Equal(t, map[string]int{"t0": 2, "t1": 2, "t2": 2}, fill(d, start))
}

func TestRequestsLeaveASlowTargetOneAfterTheOther(t *testing.T) {
	d := newDispatcher(3, 4)
	d.SetProcesses(2)
	var slow *Target
	for range 12 {
		if one := take(t, d, start); one.ID() == "t1" {
			slow = one
		}
	}
	require.False(t, d.LeaveSlow(slow, start), "as usual")
	d.SetPace("10.0.0.1:80", 1.5, start)
	require.False(t, d.LeaveSlow(slow, start), "not slow enough")
	d.SetPace("10.0.0.1:80", 2, start)
	require.True(t, d.LeaveSlow(slow, start))
	require.False(t, d.LeaveSlow(slow, at(leaveEvery)), "the other process has its turn")
	d.Done(slow, Left, at(leaveEvery))
	require.True(t, d.LeaveSlow(slow, at(2*leaveEvery)))
	d.Done(slow, Left, at(2*leaveEvery))
	d.Done(slow, Left, at(2*leaveEvery))
	require.False(t, d.LeaveSlow(slow, at(4*leaveEvery)), "what is left fits its pace")
}
