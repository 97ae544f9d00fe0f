package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/request/capacity"
	"verbenaseam.example/verbenaseam/version/config"
)

// newBusyDispatcher returns a dispatcher with one target that is full, on which requests
// respond after 200 ms, and the requests that it runs.
func newBusyDispatcher(t *testing.T, slots int) (*Dispatcher, *Target) {
	t.Helper()
	d := newDispatcher(1, slots)
	var only *Target
	for range slots {
		only = take(t, d, start)
	}
	for range 20 {
		d.FirstProgress(only, 200*time.Millisecond, start)
	}
	return d, only
}

// timed returns a request with an objective of 500 ms that arrives at the given time.
func timed(urgency int, arrived time.Time) Request {
	return Request{
		Service: "s", Urgency: urgency, QueueDeadline: arrived.Add(300 * time.Millisecond),
		Timing: capacity.Timing{Arrived: arrived, Objective: 500 * time.Millisecond, Deadline: arrived.Add(8 * time.Second)},
	}
}

// TestLateRequestGivesWay guards against slots for requests that have waited too long while
// others, also less urgent ones, could still be served in time.
func TestLateRequestGivesWay(t *testing.T) {
	d, only := newBusyDispatcher(t, 1)
	_, waitedTooLong := d.Acquire(timed(0, start), start)
	now := at(400 * time.Millisecond)
	_, inTime := d.Acquire(timed(2, now), now)
	returned := timed(1, now)
	returned.Timing.Age = 400 * time.Millisecond
	_, cameBackLate := d.Acquire(returned, now)
	d.Release(only, Served, now)
	require.Equal(t, only, granted(inTime))
	require.Nil(t, granted(waitedTooLong))
	d.Release(only, Served, now)
	require.Equal(t, only, granted(cameBackLate), "a slot that nothing else needs")
	d.Release(only, Served, now)
	require.Equal(t, only, granted(waitedTooLong), "it has not been rejected yet")
}

// TestLateRequestsAreFew guards against a backlog of late requests that all wait until they
// give up.
func TestLateRequestsAreFew(t *testing.T) {
	const slots = 10
	d, _ := newBusyDispatcher(t, slots)
	var waiters []*Waiter
	for range 3 * slots {
		_, w := d.Acquire(timed(1, start), start)
		require.NotNil(t, w)
		waiters = append(waiters, w)
	}
	d.Tick(at(400 * time.Millisecond))
	rejected := 0
	for _, w := range waiters {
		select {
		case target := <-w.Granted():
			require.Nil(t, target)
			require.True(t, w.CrowdedOut())
			rejected++
		default:
		}
	}
	require.Equal(t, 2*slots, rejected)
}

// TestRequestIsRejectedAtOnceIfItsTimeIsUp guards against requests that wait although their
// caller gives up before any target could respond.
func TestRequestIsRejectedAtOnceIfItsTimeIsUp(t *testing.T) {
	d, _ := newBusyDispatcher(t, 1)
	work := timed(0, start)
	work.Timing.Deadline = at(150 * time.Millisecond)
	_, w := d.Acquire(work, start)
	require.Nil(t, <-w.Granted())
	require.True(t, w.CrowdedOut())
}

// TestOrganisationsOfEqualUrgencyShareSlots guards against a large organisation whose burst
// keeps the requests of others waiting behind all of its own.
func TestOrganisationsOfEqualUrgencyShareSlots(t *testing.T) {
	d, only := newBusyDispatcher(t, 1)
	var large, small []*Waiter
	for range 100 {
		work := timed(1, start)
		work.Organisation = "large"
		_, w := d.Acquire(work, start)
		large = append(large, w)
	}
	for range 10 {
		work := timed(1, start)
		work.Organisation = "small"
		_, w := d.Acquire(work, start)
		small = append(small, w)
	}
	for range 24 {
		d.Release(only, Served, start)
	}
	served := func(waiters []*Waiter) int {
		count := 0
		for _, w := range waiters {
			if granted(w) != nil {
				count++
			}
		}
		return count
	}
	require.Equal(t, 10, served(small))
	require.Equal(t, 14, served(large))
}

// newMixedDispatcher returns a dispatcher whose service has requests of several urgencies and
// which knows one other process.
func newMixedDispatcher(targets, slots int) *Dispatcher {
	d := newDispatcher(targets, slots)
	d.SetServices(map[string]*config.Service{"s": {Name: "s", MixedUrgency: true}}, start)
	d.SetProcesses(NewProcesses("a", []string{"b"}))
	return d
}

// TestLessUrgentRequestLeavesSlotsToOthers guards against a less urgent request that takes a
// slot for which a more urgent one waits at another process, and against reports that hold
// requests back long after they were sent.
func TestLessUrgentRequestLeavesSlotsToOthers(t *testing.T) {
	d := newMixedDispatcher(2, 2)
	d.SetPeerDemand("b", []presence.ServiceDemand{{Service: "s", Urgency: 0, PerSecond: 1, Waiting: 5}}, start)
	taken, waiter := d.Acquire(work(2), start)
	require.Nil(t, taken)
	require.NotNil(t, waiter)
	d.Tick(at(300 * time.Millisecond))
	require.Nil(t, granted(waiter))
	require.True(t, d.HeldBack(at(300 * time.Millisecond))["s"])
	d.Tick(at(950 * time.Millisecond))
	require.NotNil(t, granted(waiter), "the report is too old")
	require.Empty(t, d.HeldBack(at(3*time.Second)))
}

// TestRequestsStartWithoutReports guards against requests that wait or are rejected because
// no other process has reported anything.
func TestRequestsStartWithoutReports(t *testing.T) {
	d := newMixedDispatcher(2, 10)
	for n := range 18 {
		taken, _ := d.Acquire(work(2*(n%2)), at(time.Duration(n)*100*time.Millisecond))
		require.NotNil(t, taken)
	}
}

// TestCallerThatCameBackGetsATurn guards against a caller that is rejected again and again
// while less urgent new requests start.
func TestCallerThatCameBackGetsATurn(t *testing.T) {
	d, only := newBusyDispatcher(t, 1)
	cameBack := timed(0, start)
	cameBack.Timing.Age = 2 * time.Second
	_, returned := d.Acquire(cameBack, start)
	for range 20 {
		_, w := d.Acquire(timed(2, start), start)
		require.NotNil(t, w)
	}
	starts := 0
	for granted(returned) == nil {
		starts++
		require.LessOrEqual(t, starts, returnedTurn)
		d.Release(only, Served, start)
	}
}
