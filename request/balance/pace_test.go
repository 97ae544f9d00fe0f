package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// observe records one response per interval of each target, and returns when the last came.
func observe(targets []*ResponseTimes, elapsed []time.Duration, count int, interval time.Duration, now time.Time) time.Time {
	for range count {
		now = now.Add(interval)
		for i, target := range targets {
			target.Record(elapsed[i], true, now)
		}
	}
	return now
}

// TestPaceFollowsResponseTimes guards against an order target that takes 12 times as long and
// gets as many requests as the others, and against one that stays excluded after it recovers.
func TestPaceFollowsResponseTimes(t *testing.T) {
	const normal, slow = 30 * time.Millisecond, 360 * time.Millisecond
	targets := []*ResponseTimes{{}, {}, {}}
	require.Zero(t, Reference(targets, start))
	now := observe(targets, []time.Duration{normal, normal, 35 * time.Millisecond}, 50, 100*time.Millisecond, start)
	reference := Reference(targets, now)
	require.InDelta(t, normal.Seconds(), reference, 1e-9)
	for _, target := range targets {
		require.InDelta(t, 1, target.Pace(reference, now), 1e-9, "differences by chance")
	}
	before := 1.0
	for range 60 {
		now = observe(targets, []time.Duration{slow, normal, normal}, 1, 100*time.Millisecond, now)
		pace := targets[0].Pace(Reference(targets, now), now)
		require.LessOrEqual(t, pace, before)
		require.Greater(t, pace, 0.6*before, "a single response changes little")
		before = pace
	}
	require.Less(t, before, 0.2)
	now = observe(targets[1:], []time.Duration{normal, normal}, 150, 100*time.Millisecond, now)
	require.Greater(t, targets[0].Pace(Reference(targets, now), now), 0.5, "it is tried again")
}

// TestRequestsWithoutResponseCountAsSlow guards against a target that looks fast because only
// its quick responses arrive before the callers give up.
func TestRequestsWithoutResponseCountAsSlow(t *testing.T) {
	targets := []*ResponseTimes{{}, {}}
	now := observe(targets, []time.Duration{30 * time.Millisecond, 30 * time.Millisecond}, 50, 100*time.Millisecond, start)
	targets[0].Record(10*time.Millisecond, false, now)
	reference := Reference(targets, now)
	require.InDelta(t, 1, targets[0].Pace(reference, now), 1e-9, "a caller that left early says nothing")
	for range 10 {
		targets[0].Record(time.Second, false, now)
	}
	require.Less(t, targets[0].Pace(reference, now), 0.3)
}
