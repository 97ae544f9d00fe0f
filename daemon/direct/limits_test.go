package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/request/dispatch"
)

// registerTargets registers targets with the entry and takes one request at each.
func registerTargets(h *heartbeater, count int) []*dispatch.Target {
	now := time.Now()
	for n := range count {
		h.entry.dispatcher.Register(target.Registration{ID: fmt.Sprintf("t%d", n), Service: "s", Address: "127.0.0.1:1", Capacity: 1}, now)
	}
	var taken []*dispatch.Target
	for range count {
		to, _ := h.entry.dispatcher.Acquire(dispatch.Request{Service: "s", QueueDeadline: now.Add(time.Second)}, now)
		taken = append(taken, to)
	}
	return taken
}

// TestStartedEntryLearnsOfAllLimitsAtOnce guards against an entry that has just started and
// sends targets more than their limits, because it hears of them one by one.
func TestStartedEntryLearnsOfAllLimitsAtOnce(t *testing.T) {
	const count = 3 * maxLimitsAtStart
	old := newHeartbeater(t, "a", nil)
	for _, to := range registerTargets(old, count) {
		require.True(t, old.entry.dispatcher.RecordLimit(to, 0.5, old.entry.clock.Now()))
	}
	started := newHeartbeater(t, "b", old)
	for _, to := range registerTargets(started, count) {
		started.entry.dispatcher.Release(to, dispatch.Served, time.Now())
	}
	go old.receive()
	go started.receive()
	started.send()
	served := func() bool {
		now := time.Now()
		to, waiter := started.entry.dispatcher.Acquire(dispatch.Request{Service: "s", QueueDeadline: now}, now)
		if to != nil {
			started.entry.dispatcher.Release(to, dispatch.Served, now)
		}
		return to != nil || waiter != nil
	}
	require.Eventually(t, func() bool { return !served() }, 2*time.Second, 10*time.Millisecond)
}

// TestStartingEntrySendsOneByOneUntilItKnowsLimits guards against an entry that fills targets in
// the moments before it hears from the others, or from the targets, of their limits.
func TestStartingEntrySendsOneByOneUntilItKnowsLimits(t *testing.T) {
	h := newHeartbeater(t, "a", nil)
	now := h.entry.clock.Now()
	h.entry.dispatcher.Register(target.Registration{ID: "t", Service: "s", Address: "127.0.0.1:1", Capacity: 4}, now)
	acquire := func(at time.Time) *dispatch.Target {
		to, waiter := h.entry.dispatcher.Acquire(dispatch.Request{Service: "s", QueueDeadline: at.Add(time.Second)}, at)
		if waiter != nil {
			h.entry.dispatcher.CancelWait(waiter)
		}
		return to
	}
	first := acquire(now)
	require.NotNil(t, first)
	require.Nil(t, acquire(now))
	h.entry.joinPeers()
	require.Nil(t, acquire(now.Add(learnTime/2)))
	h.entry.dispatcher.RecordNoLimit(first, now, now)
	require.NotNil(t, acquire(now), "it has answered")

	h.entry.dispatcher.Register(target.Registration{ID: "u", Service: "other", Address: "127.0.0.1:2", Capacity: 4}, now)
	later := dispatch.Request{Service: "other", QueueDeadline: now.Add(time.Hour)}
	for range 2 {
		to, _ := h.entry.dispatcher.Acquire(later, h.entry.clock.Now().Add(2*learnTime))
		require.NotNil(t, to, "all others have been heard")
	}
}
