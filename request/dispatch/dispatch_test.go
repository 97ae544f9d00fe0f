package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/request/capacity"
	"verbenaseam.example/verbenaseam/version/config"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// newDispatcher returns a dispatcher with the targets t0, t1 and so on of service s,
// each in its own failure domain. The dispatcher is in t0's.
func newDispatcher(targets, capacity int) *Dispatcher {
	d := New(Config{FailureDomain: "d0", Warmup: Warmup{Share: 1.5, Slack: 5}})
	d.SetServices(map[string]*config.Service{"s": {Name: "s", MaxConnections: 80, WarmupRate: 10}}, start)
	for n := range targets {
		d.Register(registration(n, capacity), start)
	}
	return d
}

func registration(n, capacity int) target.Registration {
	return target.Registration{
		ID: fmt.Sprintf("t%d", n), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", n),
		FailureDomain: fmt.Sprintf("d%d", n), Capacity: capacity,
	}
}

func work(urgency int, tried ...*Target) Request {
	return Request{Service: "s", Urgency: urgency, Timing: capacity.Timing{Arrived: start}, QueueDeadline: at(time.Second), Tried: tried}
}

func take(t *testing.T, d *Dispatcher, now time.Time) *Target {
	t.Helper()
	taken, _ := d.Acquire(work(1), now)
	require.NotNil(t, taken)
	return taken
}

// granted returns the target that a waiter was granted, or nil if there is none yet.
func granted(w *Waiter) *Target {
	select {
	case t := <-w.Granted():
		return t
	default:
		return nil
	}
}

func TestRequestsAreSpreadEvenly(t *testing.T) {
	d := newDispatcher(3, 4)
	for range 12 {
		take(t, d, start)
	}
	require.Equal(t, map[string]int{"t0": 4, "t1": 4, "t2": 4}, d.Load())
}

func TestLoadOfOtherProcessesCounts(t *testing.T) {
	d := newDispatcher(2, 4)
	d.SetPeerLoad("other", map[string]int{"t0": 3}, start)
	for range 3 {
		require.Equal(t, "t1", take(t, d, start).ID())
	}
	take(t, d, start)
	take(t, d, start)
	_, waiter := d.Acquire(work(1), start)
	require.NotNil(t, waiter, "both targets are full")
	d.SetPeerLoad("other", nil, start)
	require.Equal(t, "t0", granted(waiter).ID())
}

func TestMostUrgentWaiterIsServedFirst(t *testing.T) {
	d := newDispatcher(1, 1)
	only := take(t, d, start)
	_, later := d.Acquire(work(2), start)
	_, second := d.Acquire(work(1), start)
	_, third := d.Acquire(work(1), start)
	d.Release(only, Served, start)
	require.NotNil(t, granted(second))
	require.Nil(t, granted(third))
	require.Nil(t, granted(later))
	d.Release(only, Served, start)
	require.NotNil(t, granted(third))
	d.Release(only, Served, start)
	require.NotNil(t, granted(later))
}

func TestRetryThatCannotUseTheFreeTargetDoesNotBlockOthers(t *testing.T) {
	d := newDispatcher(2, 1)
	first, second := take(t, d, start), take(t, d, start)
	_, retry := d.Acquire(work(0, first), start)
	_, other := d.Acquire(work(1), start)
	d.Release(first, Served, start)
	require.Nil(t, granted(retry))
	require.Equal(t, first, granted(other))
	d.Release(second, Served, start)
	require.Equal(t, second, granted(retry))
}

func TestNothingIsQueuedWithoutAnEligibleTarget(t *testing.T) {
	d := newDispatcher(1, 1)
	only := take(t, d, start)
	taken, waiter := d.Acquire(work(1, only), start)
	require.Nil(t, taken)
	require.Nil(t, waiter)
	taken, waiter = d.Acquire(Request{Service: "unknown"}, start)
	require.Nil(t, taken)
	require.Nil(t, waiter)
}

func TestCancelWaitReturnsATargetGrantedMeanwhile(t *testing.T) {
	d := newDispatcher(1, 1)
	only := take(t, d, start)
	_, waiter := d.Acquire(work(1), start)
	require.Nil(t, d.CancelWait(waiter))
	_, waiter = d.Acquire(work(1), start)
	d.Release(only, Served, start)
	require.Equal(t, only, d.CancelWait(waiter), "granted before CancelWait")
	d.Release(only, Abandoned, start)
	require.Empty(t, d.Load())
}

func TestLeavingAndOutOfServiceTargetsGetNoRequests(t *testing.T) {
	d := newDispatcher(3, 4)
	leaving := registration(0, 4)
	leaving.Leaving = true
	d.Register(leaving, start)
	d.SetDomainsOut(map[string]bool{"d1": true}, start)
	for range 4 {
		require.Equal(t, "t2", take(t, d, start).ID())
	}
	d.SetDomainsOut(map[string]bool{}, start)
	require.Equal(t, "t1", take(t, d, start).ID())
	d.Remove("t1")
	_, waiter := d.Acquire(work(1), start)
	require.NotNil(t, waiter)
}

func TestRestartedTargetWithTheSameIDIsANewTarget(t *testing.T) {
	d := newDispatcher(1, 1)
	before := take(t, d, start)
	restarted := registration(0, 1)
	restarted.StartedAt = at(time.Second)
	d.Register(restarted, at(time.Second))
	after := take(t, d, at(time.Second))
	require.NotSame(t, before, after)
	d.Release(before, Failed, at(time.Second))
	require.Equal(t, map[string]int{"t0": 1}, d.Load())
}

func TestTargetWhoseAddressBelongsToAnotherGetsNoRequests(t *testing.T) {
	d := newDispatcher(1, 4)
	gone := take(t, d, start)
	d.Release(gone, AddressReused, start)
	taken, waiter := d.Acquire(work(1), start)
	require.Nil(t, taken)
	require.Nil(t, waiter)
}

func TestColdTargetGetsItsAllowanceAcrossAllProcesses(t *testing.T) {
	d := newDispatcher(0, 0)
	cold := registration(0, 100)
	cold.WarmupRemaining = 3 * time.Second
	d.Register(cold, start)
	d.SetProcesses(NewProcesses("a", []string{"b", "c", "d"}))
	sent := func(from, until time.Duration) int {
		count := 0
		for now := from; now < until; now += 10 * time.Millisecond {
			if taken, waiter := d.Acquire(work(1), at(now)); taken != nil {
				count++
				d.Release(taken, Served, at(now))
			} else {
				d.CancelWait(waiter)
			}
		}
		return count
	}
	// Rate 10/s times Share 1.5 plus Slack 5 is 20/s, or 5/s for each of four
	// processes.
	require.Equal(t, 5, sent(0, time.Second))
	require.Equal(t, 10, sent(time.Second, 3*time.Second))
	require.Greater(t, sent(3*time.Second, 4*time.Second), 90, "the target is warm")
}

// TestColdTargetBearsManyProcesses guards against more requests to a cold target than it
// bears when there are more processes than that: each sent at least one per second.
func TestColdTargetBearsManyProcesses(t *testing.T) {
	const count, bears = 60, 20
	var names []string
	for n := range count {
		names = append(names, fmt.Sprintf("entry-%d", n))
	}
	for _, coldTargets := range []int{1, 40} {
		sent := map[*Target]int{}
		idle := 0
		perTarget := map[string]int{}
		for _, name := range names {
			d := newDispatcher(0, 0)
			d.SetProcesses(NewProcesses(name, names))
			for n := range coldTargets {
				cold := registration(n, 100)
				cold.WarmupRemaining = 3 * time.Second
				d.Register(cold, start)
			}
			clear(sent)
			for now := time.Duration(0); now < time.Second; now += 5 * time.Millisecond {
				taken, waiter := d.Acquire(work(1), at(now))
				if taken == nil {
					d.CancelWait(waiter)
					continue
				}
				sent[taken]++
				perTarget[taken.ID()]++
				d.Release(taken, Served, at(now))
			}
			if len(sent) == 0 {
				idle++
			}
		}
		require.Len(t, perTarget, coldTargets)
		for id, requests := range perTarget {
			require.Equal(t, bears, requests, "target %s", id)
		}
		if coldTargets > 1 {
			require.Zero(t, idle, "each process can use some of the cold targets")
		}
	}
}

func TestFailingTargetIsEjectedTemporarily(t *testing.T) {
	d := newDispatcher(3, 100)
	var bad *Target
	for bad == nil || bad.ID() != "t0" {
		bad = take(t, d, start)
	}
	for range ejectThreshold {
		bad.running++
		d.Release(bad, Failed, start)
	}
	for range 20 {
		require.NotSame(t, bad, take(t, d, start))
	}
	ejectionEnd := at(minEjection)
	seen := false
	for range 60 {
		seen = seen || take(t, d, ejectionEnd) == bad
	}
	require.True(t, seen, "it is tried again")
	bad.running++
	d.Release(bad, Failed, ejectionEnd)
	require.True(t, bad.health.ejected(ejectionEnd.Add(minEjection)), "the second ejection is longer")
}

func TestTargetIsSilentOnlyWhileOthersMakeProgress(t *testing.T) {
	d := newDispatcher(2, 4)
	first, second := take(t, d, start), take(t, d, start)
	require.False(t, d.IsSilent(first, time.Second, time.Second, at(time.Second)), "no target makes progress")
	d.Progress(second, at(900*time.Millisecond))
	require.True(t, d.IsSilent(first, time.Second, time.Second, at(time.Second)))
	require.False(t, d.IsSilent(second, time.Second, time.Second, at(time.Second)))
	require.False(t, d.IsSilent(first, 2*time.Second, time.Second, at(2*time.Second)), "the others are silent too by then")
	// Progress of any request on a target counts for all of its requests.
	d.Progress(first, at(time.Second))
	d.Progress(second, at(1900*time.Millisecond))
	require.False(t, d.IsSilent(first, 1950*time.Millisecond, time.Second, at(1950*time.Millisecond)))
	require.True(t, d.IsSilent(first, 2*time.Second, time.Second, at(2*time.Second)))
	d.Release(first, Silent, at(time.Second))
	require.True(t, first.health.ejected(at(time.Second)))
}

func TestEjectedTargetsAreUsedWhenMostFail(t *testing.T) {
	d := newDispatcher(3, 100)
	for _, pool := range d.pools {
		for _, bad := range pool.targets {
			for range ejectThreshold {
				bad.health.recordFailure(start)
			}
		}
	}
	take(t, d, start)
}

func TestFullTargetIsPaused(t *testing.T) {
	d := newDispatcher(1, 4)
	full := take(t, d, start)
	d.Release(full, Full, start)
	_, waiter := d.Acquire(work(1), start)
	require.NotNil(t, waiter)
	d.Tick(at(fullPause))
	require.Equal(t, full, granted(waiter))
}

func TestConnectionLimitIsDividedAmongProcesses(t *testing.T) {
	d := newDispatcher(1, 4)
	require.Equal(t, 10, take(t, d, start).ConnectionLimit(8))
	require.Equal(t, 1, take(t, d, start).ConnectionLimit(1000))
}

// TestBusyTargetIsNotSilent guards against retries that multiply the load of a service
// whose requests all wait long: with 129 targets and 60 processes, a process has a single
// request at most targets, which waits behind those of other processes. After the timeout
// alone, 1,300 of 3,200 requests in 10 s were sent to a second target, where they waited
// again.
func TestBusyTargetIsNotSilent(t *testing.T) {
	const timeout = time.Second
	d := newDispatcher(2, 8)
	busy, other := take(t, d, start), take(t, d, start)
	for n := range 50 {
		d.FirstProgress(other, 900*time.Millisecond, at(time.Duration(n)*100*time.Millisecond))
	}
	now := at(5 * time.Second)
	d.Progress(other, now)
	require.False(t, d.IsSilent(busy, timeout, timeout, now), "requests usually wait nearly as long")
	require.True(t, d.IsSilent(busy, 3*timeout/2, timeout, now), "callers of a stalled target give up soon")
	for range 1000 {
		d.FirstProgress(other, 100*time.Millisecond, now)
	}
	require.True(t, d.IsSilent(busy, timeout, timeout, now), "the timeout applies once waits are short")
}
