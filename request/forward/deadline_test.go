package forward

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/connection/direct"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/request/dispatch"
)

// TestConnectionThatTimesOutBeforeTheContextIsNoFault guards against 502 in place of 504, and a
// target that is blamed, when a busy host ends the context of a call later than the deadline of
// its connection.
func TestConnectionThatTimesOutBeforeTheContextIsNoFault(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	pool := direct.NewPool(listener.Addr().String(), 1, nil)
	clock := clockwork.NewRealClock()
	h := newSuspectingHandler(0)
	h.clock, h.dispatcher, h.checks = clock, dispatch.New(dispatch.Config{}), newTargetChecks()
	h.connections = func(*dispatch.Target) *direct.Pool { return pool }
	h.log = logs.Component(logs.Discard(), "forward")
	now := clock.Now()
	h.dispatcher.Register(target.Registration{ID: "t", Service: "s", Address: listener.Addr().String(), Capacity: 1}, now)
	to, _ := h.dispatcher.Acquire(dispatch.Request{Service: "s", QueueDeadline: now.Add(time.Second)}, now)
	request, err := http.NewRequest(http.MethodPost, "http://h.example/x", nil)
	require.NoError(t, err)
	c := newSuspect()
	c.request, c.deadline = request, now.Add(50*time.Millisecond)
	c.attempts.Begin()
	late := context.Background() // ends later than the connection, here never
	src := &streamSource{target: to, ctx: late, sent: clock.Now()}
	v := h.send(late, c, src)
	require.Nil(t, src.response)
	require.Equal(t, failure.DeadlineExceeded, v.failure.Kind)
	require.Equal(t, failure.Unknown, v.failure.Outcome)
	require.Equal(t, dispatch.Abandoned, v.result)
	require.False(t, h.endFailedAttempt(late, c, v))
	require.Equal(t, http.StatusGatewayTimeout, httpStatus(h.finalFailure(t.Context(), c, v)))
}
