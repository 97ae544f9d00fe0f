package forward

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/request/dispatch"
)

// endPanic ends a call whose handling panicked, also on purpose to cut off a response. The
// panic ends only this call, which shares nothing with others but what locks guard. net/http
// closes the connection, so that the caller learns that the response is not whole. c is nil if
// there is no call yet.
func (h *Handler) endPanic(w http.ResponseWriter, r *http.Request, c *call, cause any) {
	if cause != http.ErrAbortHandler {
		h.metrics.CountFailure("panic")
		h.log.WithFields(logrus.Fields{
			"request": r.Header.Get(h.headers.Attempt), "panic": fmt.Sprint(cause), "stack": string(debug.Stack()),
		}).Error("request handler panicked; the caller's connection is closed")
	}
	if c != nil && c.slot != nil {
		h.release(c, c.slot, dispatch.Abandoned)
	}
	if !r.ProtoAtLeast(1, 1) {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the connection to a caller. For an HTTP/1.0 caller, its close would be
// the regular end of a response.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// SetLinger and Close fail only on a connection that is already closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// release returns the slot that a call holds at a target.
func (h *Handler) release(c *call, t *dispatch.Target, result dispatch.Result) {
	c.slot = nil
	c.run.End(isRepresentative(result))
	h.releaseSlot(c, t, result)
}

// isRepresentative reports whether other requests may take as long as an attempt with this result. If
// the caller's time ran out, it would have taken that time at least.
func isRepresentative(result dispatch.Result) bool {
	return result == dispatch.Served || result == dispatch.Abandoned
}

// releaseSlot returns a slot at a target.
func (h *Handler) releaseSlot(c *call, t *dispatch.Target, result dispatch.Result) {
	h.dispatcher.ReleaseTokens(t, c.work.Tokens)
	h.dispatcher.Release(t, result, h.clock.Now())
}
