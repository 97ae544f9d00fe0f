package direct

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/request/dispatch"
)

// TestChangesOfCrossingsAreLogged guards against a line per request, and against traffic that
// leaves a failure domain unnoticed.
func TestChangesOfCrossingsAreLogged(t *testing.T) {
	h := newHeartbeater(t, "a", nil)
	logger, hook := test.NewNullLogger()
	r := newChoiceReporter(h.entry, logrus.NewEntry(logger))
	now := time.Now()
	d := h.entry.dispatcher
	send := func(domain string, count int) {
		d.Register(target.Registration{ID: "t", Service: "s", Address: "127.0.0.1:1", Capacity: 1, FailureDomain: domain}, now)
		for range count {
			taken, _ := d.Acquire(dispatch.Request{Service: "s", QueueDeadline: now.Add(time.Second)}, now)
			d.Release(taken, dispatch.Served, now)
		}
		now = now.Add(crossingInterval)
		r.tick(now)
	}
	send("", 2*minCrossingRequests)
	require.Empty(t, hook.AllEntries(), "none cross")
	send("elsewhere", minCrossingRequests/2)
	require.Empty(t, hook.AllEntries(), "too few to say")
	send("elsewhere", minCrossingRequests)
	send("elsewhere", minCrossingRequests)
	require.Len(t, hook.AllEntries(), 1)
	require.InDelta(t, 1, hook.LastEntry().Data["share"], 1e-9)
	send("", minCrossingRequests)
	require.Len(t, hook.AllEntries(), 2)
}
