package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestResponseTimesAreLearnedByFullness guards against one estimate for all loads: requests
// at idle targets would make those at full ones seem quick.
func TestResponseTimesAreLearnedByFullness(t *testing.T) {
	var times ResponseTimes
	_, known := times.Needed(1, start)
	require.False(t, known)
	for n := range 50 {
		now := at(time.Duration(n) * 10 * time.Millisecond)
		times.Observe(0.2, 40*time.Millisecond, now)
		times.Observe(1, time.Duration(200+40*(n%2))*time.Millisecond, now)
	}
	idle, known := times.Needed(0.2, at(time.Second))
	require.True(t, known)
	require.InDelta(t, 40, idle.Milliseconds(), 10)
	full, _ := times.Needed(1, at(time.Second))
	require.InDelta(t, 220+2*20, full.Milliseconds(), 15, "the mean and twice the mean deviation")
	between, _ := times.Needed(0.6, at(time.Second))
	require.Equal(t, idle, between, "a level without evidence has that of the level below")
}

// TestOldResponseTimesAreForgotten guards against an estimate from an overload long past that
// keeps requests from waiting as long as they could.
func TestOldResponseTimesAreForgotten(t *testing.T) {
	var times ResponseTimes
	for range 100 {
		times.Observe(1, 400*time.Millisecond, start)
	}
	_, known := times.Needed(1, at(4*evidenceHalfLife))
	require.False(t, known)
	for range 3 * minEvidence {
		times.Observe(1, 100*time.Millisecond, at(4*evidenceHalfLife))
	}
	needed, _ := times.Needed(1, at(4*evidenceHalfLife))
	require.Less(t, needed, 300*time.Millisecond)
}

// TestWaitLeavesTimeForTheResponse guards against requests that wait so long that their
// response is late by a few milliseconds.
func TestWaitLeavesTimeForTheResponse(t *testing.T) {
	timing := Timing{Arrived: start, Objective: 500 * time.Millisecond, Deadline: at(8 * time.Second)}
	wait := NewWait(timing, 200*time.Millisecond)
	require.Equal(t, at(290*time.Millisecond), wait.LatestStart)
	require.Equal(t, at(1500*time.Millisecond), wait.GiveUp)

	slow := NewWait(timing, time.Second)
	require.Equal(t, at(50*time.Millisecond), slow.LatestStart, "targets that are too slow for all")

	timing.Age = 400 * time.Millisecond
	require.True(t, NewWait(timing, 200*time.Millisecond).LatestStart.Before(start), "came back too late")

	timing.Deadline = at(300 * time.Millisecond)
	require.Equal(t, at(100*time.Millisecond), NewWait(timing, 200*time.Millisecond).GiveUp, "the caller gives up first")
}

// TestAgeOfReturningCallers guards against callers that are late already and displace
// requests that can be in time, because each attempt counts as a new request.
func TestAgeOfReturningCallers(t *testing.T) {
	var deadlines FirstDeadlines
	for n := range 300 {
		require.Zero(t, deadlines.Age(8*time.Second-time.Duration(n%4)*time.Millisecond))
		if n > usualEvidence {
			left := 8*time.Second - time.Duration(400+10*n)*time.Millisecond
			require.Equal(t, 8*time.Second-left, deadlines.Age(left))
		}
	}
}

// TestDeadlinesThatDifferShowNoAge guards against requests that count as late because one
// caller of a route states a longer deadline than the others.
func TestDeadlinesThatDifferShowNoAge(t *testing.T) {
	var deadlines FirstDeadlines
	for n := range 2000 {
		deadlines.Age(time.Hour)
		for m := range 9 {
			require.Zero(t, deadlines.Age(time.Duration(1+(n*7+m*13)%97)*100*time.Millisecond))
		}
	}
}
