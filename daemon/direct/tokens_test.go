package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/version/config"
)

// TestHeartbeatsCarryLargeRequests guards against two entries that send large requests to one
// target, whose memory they exceed together, and against reports that stay when they end.
func TestHeartbeatsCarryLargeRequests(t *testing.T) {
	const large = 150_000
	receiver := newHeartbeater(t, "a", nil)
	sender := newHeartbeater(t, "b", receiver)
	now := time.Now()
	for _, h := range []*heartbeater{receiver, sender} {
		h.entry.dispatcher.SetServices(map[string]*config.Service{"s": {
			Name: "s", Engine: &config.Engine{MaxConcurrentRequests: 10, KVCapacityTokens: 233_333},
		}}, now)
		h.entry.dispatcher.Register(target.Registration{ID: "t", Service: "s", Address: "127.0.0.1:1", Capacity: 10}, now)
		h.entry.dispatcher.LearnLimitsUntil(now.Add(-time.Second))
	}
	go receiver.receive()
	acquire := func(h *heartbeater, tokens int) *dispatch.Target {
		at := time.Now()
		to, waiter := h.entry.dispatcher.Acquire(dispatch.Request{Service: "s", Tokens: tokens, QueueDeadline: at.Add(time.Second)}, at)
		if waiter != nil {
			return h.entry.dispatcher.CancelWait(waiter)
		}
		return to
	}
	fits := func() bool {
		to := acquire(receiver, large)
		if to == nil {
			return false
		}
		receiver.entry.dispatcher.ReleaseTokens(to, large)
		receiver.entry.dispatcher.Release(to, dispatch.Served, time.Now())
		return true
	}
	require.True(t, fits())
	taken := acquire(sender, large)
	require.NotNil(t, taken)
	sender.send()
	require.Eventually(t, func() bool { return !fits() }, 2*time.Second, 5*time.Millisecond)
	sender.entry.dispatcher.ReleaseTokens(taken, large)
	sender.entry.dispatcher.Release(taken, dispatch.Served, time.Now())
	require.Nil(t, sender.entry.dispatcher.Tokens())
	sender.send()
	require.Eventually(t, fits, 2*time.Second, 5*time.Millisecond)
}
