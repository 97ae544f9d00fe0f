package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/metrics"
)

// blockedCaller is a caller that reads nothing until it is released or a write deadline passes.
type blockedCaller struct {
	*httptest.ResponseRecorder
	release chan struct{}
	expired chan struct{}
	once    sync.Once
}

func newBlockedCaller() *blockedCaller {
	return &blockedCaller{ResponseRecorder: httptest.NewRecorder(), release: make(chan struct{}), expired: make(chan struct{})}
}

func (c *blockedCaller) Write(data []byte) (int, error) {
	select {
	case <-c.release:
		return c.ResponseRecorder.Write(data)
	case <-c.expired:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *blockedCaller) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.expired) })
	return nil
}

// add adds an event and flushes it.
func add(ctx context.Context, q *streamQueue, event []byte) error {
	q.add(event)
	return q.flush(ctx)
}

func startQueue(c *blockedCaller) *streamQueue {
	h := &Handler{clock: clockwork.NewRealClock(), metrics: metrics.New("direct", 1)}
	return startStreamQueue(&output{w: c, control: http.NewResponseController(c), handler: h, call: newSuspect()})
}

// TestTargetIsReadWhileTheCallerIsNot guards against targets that abort a response because it
// stays unread while the caller pauses, and against buffers without a bound.
func TestTargetIsReadWhileTheCallerIsNot(t *testing.T) {
	t.Parallel()
	c := newBlockedCaller()
	q := startQueue(c)
	event := make([]byte, queueSoftLimit)
	require.NoError(t, add(t.Context(), q, event), "below the limit")
	began := time.Now()
	require.NoError(t, add(t.Context(), q, event))
	require.InDelta(t, unreadLimit.Seconds(), time.Since(began).Seconds(), 0.5)
	ctx, cancel := context.WithTimeout(t.Context(), unreadLimit+200*time.Millisecond)
	defer cancel()
	require.NoError(t, add(ctx, q, make([]byte, queueHardLimit)))
	require.Error(t, ctx.Err(), "nothing more is read at the hard limit")
	close(c.release)
	require.NoError(t, q.drain())
	require.Equal(t, 2*queueSoftLimit+queueHardLimit, c.Body.Len())
}

// TestQueueEndsWithTheCaller guards against a handler that hangs, or takes a stream as
// delivered, when the caller has stalled.
func TestQueueEndsWithTheCaller(t *testing.T) {
	t.Parallel()
	c := newBlockedCaller()
	q := startQueue(c)
	require.NoError(t, add(t.Context(), q, make([]byte, queueSoftLimit)))
	time.AfterFunc(20*time.Millisecond, q.output.abort)
	require.ErrorIs(t, add(t.Context(), q, make([]byte, queueHardLimit)), errCallerDisconnected)
	require.ErrorIs(t, q.drain(), errCallerDisconnected)
	q.close()
	q = startQueue(newBlockedCaller())
	require.NoError(t, add(t.Context(), q, make([]byte, 10)))
	q.close()
}
