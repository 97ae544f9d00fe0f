package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"verbenaseam.example/verbenaseam/connection/direct"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/headers"
)

// responseLimit bounds the body of a response that is not streamed, in bytes. A longer one may
// have no end.
const responseLimit = 16 << 20

// errResponseTooLong means that a body is longer than responseLimit.
const errResponseTooLong = streamError("response exceeds the size limit")

// readBody reads the whole body of a response.
func readBody(response io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response, responseLimit+1))
	if err == nil && len(body) > responseLimit {
		return nil, errResponseTooLong
	}
	return body, err
}

// relayBuffered reads the whole response before it writes any of it, so that the
// caller never receives part of a truncated one. attemptCtx is the attempt's
// context, derived from ctx; progress is called once the response is complete. The results are those of attempt.
func (h *Handler) relayBuffered(ctx, attemptCtx context.Context, w http.ResponseWriter, c *call, t *dispatch.Target, response *direct.Response, v verdict, progress func()) (shouldRetry bool, failed *failure.Error) {
	defer response.Close()
	body, err := readBody(response)
	if err != nil {
		truncated := h.truncatedVerdict(attemptCtx, c)
		// endFailedAttempt was already called if the response head was a failure.
		shouldRetry = v.success() && h.endFailedAttempt(ctx, c, truncated)
		h.updateCrashEvidence(c, t, h.clock.Now(), err, truncated)
		h.release(c, t, truncated.result)
		return shouldRetry, h.finalFailure(c, truncated)
	}
	progress()
	h.release(c, t, v.result)
	if v.success() {
		h.recordSuccess(c)
		h.transfers.record(c.route.Name, len(c.body)+len(body))
	}
	h.metrics.ObserveFirstByte(c.organisationName(), c.class(), h.clock.Since(c.started))
	copyHeaders(w, response)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(response.Status)
	// A write error means that the caller has disconnected; nothing is left to do.
	_, _ = w.Write(body)
	return false, nil
}

// truncatedVerdict returns the verdict on a response whose body was cut short. ctx
// is the attempt's context.
func (h *Handler) truncatedVerdict(ctx context.Context, c *call) verdict {
	v := incomplete(dispatch.Failed, "response truncated")
	if h.ended(ctx, c) {
		v = v.abandoned()
	}
	return withWatchdogCause(ctx, v)
}

// copyHeaders copies the end-to-end headers of a response to w.
func copyHeaders(w http.ResponseWriter, response *direct.Response) {
	header := w.Header()
	for name, values := range headers.EndToEnd(response.Header) {
		header[name] = values
	}
}

// streamSource is the attempt that the events of a stream are read from.
type streamSource struct {
	target   *dispatch.Target
	response *direct.Response
	ctx      context.Context
	watchdog *watchdog
}

// relayStream relays the events of a stream as they arrive. A stream that breaks
// before its first event is a failed attempt. One that breaks later is resumed on
// another target if the route allows it, and aborted otherwise. The results are
// those of attempt.
func (h *Handler) relayStream(ctx context.Context, w http.ResponseWriter, c *call, src *streamSource) (shouldRetry bool, failed *failure.Error) {
	out := &streamWriter{w: w, control: http.NewResponseController(w), lastID: c.lastEventID}
	for {
		err := out.copy(src.response, func() { h.recordEvents(c, src) }, func() {
			h.metrics.ObserveFirstByte(c.organisationName(), c.class(), h.clock.Since(c.started))
			copyHeaders(w, src.response)
		})
		src.response.Close()
		c.lastEventID = out.lastID
		if err == nil {
			src.watchdog.stop()
			h.release(c, src.target, dispatch.Served)
			h.recordSuccess(c)
			h.transfers.record(c.route.Name, len(c.body)+out.read)
			out.finish(src.response)
			return false, nil
		}
		v := h.truncatedVerdict(src.ctx, c)
		if errors.Is(err, errCallerDisconnected) {
			v = v.abandoned()
		}
		src.watchdog.stop()
		h.updateCrashEvidence(c, src.target, h.clock.Now(), err, v)
		h.release(c, src.target, v.result)
		shouldRetry := h.endFailedAttempt(ctx, c, v)
		if !out.started {
			return shouldRetry, h.finalFailure(c, v)
		}
		if !shouldRetry {
			h.abortStream(c, v.reason)
		}
		if out.unidentified {
			h.abortStream(c, "the last event has no ID to resume after")
		}
		src = h.resumeStream(ctx, c)
	}
}

const (
	// resumeUrgency puts interrupted streams ahead of all requests in the queue that
	// have not started.
	resumeUrgency = -1
	// resumeLatencies is how long an interrupted stream may stay in the queue, in
	// multiples of the route's latency objective. Callers give up on a silent stream
	// after four times the objective.
	resumeLatencies = 3
)

// resumeStream continues a stream on another target and aborts it if none is
// available.
func (h *Handler) resumeStream(ctx context.Context, c *call) *streamSource {
	c.work.QueueDeadline = h.clock.Now().Add(resumeLatencies * c.route.Direct.Latency)
	c.work.Urgency, c.work.Timing.Objective = resumeUrgency, 0
	for {
		t, err := h.acquireTarget(ctx, c)
		if err != nil {
			h.abortStream(c, "no target available to resume the stream")
		}
		h.beginAttempt(c, t)
		attemptCtx, watchdog := h.startWatchdog(ctx, c, t)
		response, v := h.send(ctx, attemptCtx, c, t)
		if v.success() {
			return &streamSource{target: t, response: response, ctx: attemptCtx, watchdog: watchdog}
		}
		if response != nil {
			h.drainResponse(response)
		}
		watchdog.stop()
		h.release(c, t, v.result)
		if !h.endFailedAttempt(ctx, c, v) {
			h.abortStream(c, v.reason)
		}
	}
}

// abortStream closes the caller's connection in the middle of a response, so that
// the truncated stream cannot be mistaken for a complete one. It does not return.
func (h *Handler) abortStream(c *call, reason string) {
	h.recordEnd(c, "cut", reason)
	panic(http.ErrAbortHandler)
}
