package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/direct"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/memory"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/finish"
	"verbenaseam.example/verbenaseam/request/headers"
)

// relayFailure relays a response of a target that is a failure, with its whole body. ctx is the
// call's context, from which that of src is derived.
func (h *Handler) relayFailure(ctx context.Context, w http.ResponseWriter, c *call, src *streamSource, v verdict) *failure.Error {
	defer src.response.Close()
	if err := h.readWhole(c, src); err != nil {
		truncated := h.truncatedVerdict(src.ctx, c, err)
		h.updateCrashEvidence(c, src.target, h.clock.Now(), err, truncated)
		h.release(c, src.target, truncated.result)
		return h.finalFailure(ctx, c, truncated)
	}
	src.watchdog.progress()
	h.release(c, src.target, v.result)
	h.deliver(w, c, src)
	return nil
}

// readWhole reads the whole body of a response before any of it is written, so that the caller never
// receives part of a truncated one. It has no effect if the body has been read.
func (h *Handler) readWhole(c *call, src *streamSource) error {
	if src.whole {
		return nil
	}
	if src.response.Length > responseLimit {
		return errResponseTooLong
	}
	reading := h.beginReading(c, src)
	bounded := &accountedReader{response: src.response, reading: reading, now: h.clock.Now}
	body, err := readBody(bounded, src.response.Length, func(n int) { src.watchdog.received(n, true) })
	src.watchdog.received(0, false)
	reading.Close()
	if err != nil {
		return err
	}
	src.body, src.whole = body, true
	c.held.Set(memory.Response, int64(cap(body)), h.clock.Now())
	h.recordOwnNotice(c, src)
	return nil
}

// accountedReader reads a response and accounts for what its body takes. It fails with
// errResponseTooLong once the response has been ended to free memory.
type accountedReader struct {
	response *direct.Response
	reading  *memory.Reading
	now      func() time.Time
	total    int64
}

// Read implements io.Reader.
func (r *accountedReader) Read(into []byte) (int, error) {
	n, err := r.response.Read(into)
	r.total += int64(n)
	if !r.reading.Set(heldFor(r.total, r.response.Length), r.now()) {
		return n, errResponseTooLong
	}
	return n, err
}

// usualSizes is up to which multiple of the mean size of its route a response is usual.
const usualSizes = 2

// beginReading accounts for the bytes of a response that is being read, which may be ended to free
// them.
func (h *Handler) beginReading(c *call, src *streamSource) *memory.Reading {
	return h.memory.BeginReading(int64(usualSizes*h.transfers.expected(c.route.Name)), func() {
		h.metrics.CountMemoryDecision("end_reading")
		h.log.WithFields(logrus.Fields{"request": c.id, "target": src.target.ID()}).Warn("response of a target ended to free memory")
		src.watchdog.cancel(errResponseTooLong)
	})
}

// deliver writes a response whose whole body has been read to the caller.
func (h *Handler) deliver(w http.ResponseWriter, c *call, src *streamSource) {
	h.metrics.ObserveFirstByte(c.organisationName(), c.class(), h.clock.Since(c.started))
	h.dropBody(c)
	copyHeaders(w, src.response)
	w.Header().Set("Content-Length", strconv.Itoa(len(src.body)))
	w.WriteHeader(src.response.Status)
	out := h.newOutput(w, c)
	defer out.close()
	out.allowEnd(true)
	c.undelivered = out.write(src.body)
}

// dropBody frees the body of a call that will not be sent again. The caller may take long to
// read the response.
func (h *Handler) dropBody(c *call) {
	c.body = nil
	c.held.Set(memory.Body, 0, h.clock.Now())
}

// truncatedVerdict returns the verdict on a response whose body was cut short by the error. ctx
// is the attempt's context.
func (h *Handler) truncatedVerdict(ctx context.Context, c *call, err error) verdict {
	v := incomplete(dispatch.Failed, "response truncated: "+err.Error())
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

// streamSource is an attempt, from which a body or the events of a stream are read.
type streamSource struct {
	target *dispatch.Target
	// response is nil until one has arrived.
	response *direct.Response
	// body is the whole body of the response if whole is set.
	body  []byte
	whole bool
	// ctx is the attempt's context, derived from the call's.
	ctx      context.Context
	watchdog *watchdog
	// sent is when the attempt began.
	sent time.Time
}

// relayStream relays the events of a stream as they arrive. A stream that breaks
// before its first event is a failed attempt. One that breaks later is resumed on
// another target if the route allows it, and aborted otherwise. The results are
// those of attempt.
func (h *Handler) relayStream(ctx context.Context, w http.ResponseWriter, c *call, src *streamSource) (shouldRetry bool, failed *failure.Error) {
	out := &streamWriter{w: w, output: h.newOutput(w, c), lastID: c.lastEventID}
	defer out.close()
	c.held.Set(memory.Stream, streamOverhead, h.clock.Now())
	for {
		reading := h.beginReading(c, src)
		err := out.copy(src, func(held int) bool { return reading.Set(int64(held), h.clock.Now()) }, func() { h.recordEvents(c, src) }, func() {
			h.metrics.ObserveFirstByte(c.organisationName(), c.class(), h.clock.Since(c.started))
			copyHeaders(w, src.response)
			if !c.route.Idempotent || c.attempts.Started() >= c.route.Direct.MaxAttempts {
				h.dropBody(c)
			}
		})
		reading.Close()
		src.response.Close()
		c.lastEventID = out.lastID
		if err == nil {
			src.watchdog.stop()
			h.release(c, src.target, dispatch.Served)
			h.recordSuccess(c)
			h.transfers.record(c.route.Name, len(c.body)+out.read)
			if err := out.finish(src.response); err != nil {
				h.abortStream(c, out, err.Error())
			}
			return false, nil
		}
		v := h.truncatedVerdict(src.ctx, c, err)
		if callerErr := out.failure(); callerErr != nil {
			v = v.abandoned()
			v.reason = callerErr.Error()
		}
		src.watchdog.stop()
		h.updateCrashEvidence(c, src.target, h.clock.Now(), err, v)
		h.release(c, src.target, v.result)
		shouldRetry := h.endFailedAttempt(ctx, c, v)
		if !out.started() {
			return shouldRetry, h.finalFailure(ctx, c, v)
		}
		if !shouldRetry {
			h.abortStream(c, out, abortReason(ctx, v))
		}
		if out.unidentified {
			h.abortStream(c, out, "the last event has no ID to resume after")
		}
		src = h.resumeStream(ctx, c, out)
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
func (h *Handler) resumeStream(ctx context.Context, c *call, out *streamWriter) *streamSource {
	c.work.QueueDeadline = h.clock.Now().Add(resumeLatencies * c.route.Direct.Latency)
	c.work.Urgency, c.work.Timing.Objective = resumeUrgency, 0
	c.resuming = true
	for {
		t, err := h.acquireTarget(ctx, c)
		if err != nil {
			h.abortStream(c, out, "no target available to resume the stream")
		}
		h.beginStreamAttempt(c, t)
		attemptCtx, watchdog := h.startWatchdog(ctx, c, t, nil)
		src := &streamSource{target: t, ctx: attemptCtx, watchdog: watchdog, sent: h.clock.Now()}
		v := h.send(ctx, c, src)
		if v.success() && !out.continues(src.response) {
			v = incomplete(dispatch.Failed, "response does not continue the stream")
		}
		if v.success() {
			out.resumed = true
			return src
		}
		if src.response != nil {
			// The stream goes on without it.
			_ = h.drain(c, src, discardBound)
		}
		watchdog.stop()
		h.release(c, t, v.result)
		if !h.endFailedAttempt(ctx, c, v) {
			h.abortStream(c, out, abortReason(ctx, v))
		}
	}
}

// abortReason returns why a stream is aborted after an attempt with the given verdict.
func abortReason(ctx context.Context, v verdict) string {
	if processEnds(ctx) {
		return finish.ErrProcessEnds.Error()
	}
	return v.reason
}

// abortStream closes the caller's connection in the middle of a response, so that
// the truncated stream cannot be mistaken for a complete one. The caller receives the events
// that have arrived before. It does not return.
func (h *Handler) abortStream(c *call, out *streamWriter, reason string) {
	// The stream ends here in any case.
	_ = out.drain()
	out.output.markIncomplete()
	h.recordEnd(c, "cut", reason)
	panic(http.ErrAbortHandler)
}
