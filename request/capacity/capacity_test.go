package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/mutant"
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
	require.InDelta(t, 220+spreads*20, full.Milliseconds(), 10, "the mean and part of the mean deviation")
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
	require.Equal(t, at(time.Second), wait.GiveUp)

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

// TestReserveCoversMoreUrgentRequests guards against a burst of the least urgent kind that
// takes the slots of more urgent requests.
func TestReserveCoversMoreUrgentRequests(t *testing.T) {
	claims := []Claim{{Urgency: 0, PerSecond: 80, Waiting: 3}, {Urgency: 1, PerSecond: 100}, {Urgency: 2, PerSecond: 300, Waiting: 50}}
	before := Before(claims, 2)
	require.Equal(t, Claim{Urgency: 2, PerSecond: 180, Waiting: 3}, before)
	const slots, span = 600, 100 * time.Millisecond
	require.InDelta(t, 3+reserveSpreads*math.Sqrt(18), Reserve(before, slots, 300, span), 0.01, "freed slots cover the arrivals")
	require.InDelta(t, 3+8+reserveSpreads*math.Sqrt(18), Reserve(before, slots, 100, span), 0.01)
	require.InDelta(t, 3+2, Reserve(before, 20, 100, span), 0.01, "most of a few slots stay usable")
	require.True(t, MayStart(1, 0.4))
	require.False(t, MayStart(5, 5))
	require.True(t, MayStart(6, 5))
}

// TestOldReportsExpire guards against reports of a process that has ended or is cut off which
// reserve slots for requests that it no longer has.
func TestOldReportsExpire(t *testing.T) {
	var demand Demand
	demand.SetReport("peer", []Claim{{Urgency: 0, PerSecond: 100, Waiting: 20}}, start)
	waiting := func(age time.Duration) float64 { return Before(demand.Others(at(age)), 9).Waiting }
	require.InDelta(t, 20, waiting(reportFresh), 0.01)
	require.InDelta(t, 10, waiting((reportFresh+reportExpiry)/2), 0.01)
	require.Zero(t, waiting(reportExpiry))
	demand.SetReport("peer", nil, start)
	require.Zero(t, waiting(0), "it reports nothing any more")
}

// TestFreeSlotIsAllottedToOneProcess guards against processes that all start a request in the
// same free slot.
func TestFreeSlotIsAllottedToOneProcess(t *testing.T) {
	const processes = 13
	for free := range processes + 2 {
		for turn := range uint64(20) {
			claimed := 0
			for position := range processes {
				if MayClaim(free, position, processes, 0xdeadbeef, turn) {
					claimed++
				}
			}
			require.Equal(t, min(free, processes), claimed)
		}
	}
}

// TestNoUrgencyIsStarved guards against requests of the least urgent kind that are never
// started while more urgent ones take all slots.
func TestNoUrgencyIsStarved(t *testing.T) {
	var shares StartShares
	started := 0
	for n := range 2000 {
		now := at(time.Duration(n) * 5 * time.Millisecond)
		for range 2 {
			shares.RecordArrival(0, now)
		}
		shares.RecordArrival(2, now)
		if shares.BelowFloor(2, now) {
			shares.RecordStart(2, now)
			started++
			continue
		}
		shares.RecordStart(0, now)
		shares.RecordStart(0, now)
	}
	all := float64(started+2*(2000-started)) / 6000
	require.Greater(t, float64(started)/2000, 0.25*all, "a quarter as often as all")
	require.Less(t, float64(started)/2000, 0.35*all)
}

// TestDrainTime guards against callers that come back before the queue has drained, or never
// although it does.
func TestDrainTime(t *testing.T) {
	_, known := DrainTime(10, 5, 0)
	require.False(t, known, "the targets finish nothing")
	urgent, _ := DrainTime(4, 10, 20)
	require.Equal(t, 500*time.Millisecond, urgent)
	growing, _ := DrainTime(4, 30, 20)
	require.Equal(t, MaxDrainTime, growing)
}

// TestCapacityMutantsAreCaught checks that the tests of this package detect faulty rules.
func TestCapacityMutantsAreCaught(t *testing.T) {
	for _, m := range []struct {
		desc, test string
		edit       mutant.Edit
	}{
		{"old reports count for ever", "TestOldReportsExpire", mutant.Edit{File: "demand.go", Old: "weight := reportWeight(now.Sub(report.at))", New: "weight := reportWeight(0)"}},
		{"nothing is reserved", "TestReserveCoversMoreUrgentRequests", mutant.Edit{File: "reserve.go", Old: "return before.Waiting + min", New: "return min"}},
		{"no part of the slots", "TestFreeSlotIsAllottedToOneProcess", mutant.Edit{File: "reserve.go", Old: "if free >= processes {", New: "if free > 0 {"}},
		{"no floor", "TestNoUrgencyIsStarved", mutant.Edit{File: "floor.go", Old: "own.started*all.arrived < floorShare", New: "own.started*all.arrived < 0*floorShare"}},
	} {
		t.Run(m.desc, func(t *testing.T) {
			output, passed, err := mutant.Run(t.TempDir(), []mutant.Edit{m.edit}, m.test, m.desc)
			require.NoError(t, err)
			require.False(t, passed)
			require.Contains(t, output, "--- FAIL: "+m.test)
		})
	}
}
