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

// answerLimit bounds the bytes of an answer that is not a stream.
const answerLimit = 64 << 20

// relayWhole reads the whole answer and then writes it, so that no part of one
// that breaks off reaches the caller. tryCtx is the attempt's part of ctx.
func (h *Handler) relayWhole(ctx, tryCtx context.Context, w http.ResponseWriter, c *call, t *dispatch.Target, answer *direct.Answer, found verdict) (again bool, failed *failure.Error) {
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, answerLimit))
	if err != nil {
		torn := broken(tryCtx)
		// An attempt that failed before has been ended already.
		again = found.success() && h.sendAgain(ctx, c, torn)
		h.noteEnd(c, t, err, torn)
		h.dispatcher.Done(t, torn.result, h.clock.Now())
		return again, h.failed(c, torn)
	}
	h.dispatcher.Progress(t, h.clock.Now())
	h.dispatcher.Done(t, found.result, h.clock.Now())
	if found.success() {
		h.succeeded(c)
	}
	h.metrics.FirstByte(c.organisationName(), c.class(), h.clock.Since(c.started))
	writeHead(w, answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(answer.Status)
	// A caller that has left reads nothing; there is nobody to tell.
	_, _ = w.Write(body)
	return false, nil
}

// broken is the verdict on an answer that broke off; the context is that of the
// attempt.
func broken(ctx context.Context) verdict {
	found := noAnswer(dispatch.Failed, "the answer broke off")
	if ctx.Err() != nil {
		found = found.abandoned()
	}
	return attemptResult(ctx, found)
}

func writeHead(w http.ResponseWriter, answer *direct.Answer) {
	header := w.Header()
	for name, values := range headers.EndToEnd(answer.Header) {
		header[name] = values
	}
}

// source is where the events of a stream come from.
type source struct {
	target *dispatch.Target
	answer *direct.Answer
	ctx    context.Context
	watch  *watch
}

// relayStream passes the events of a stream on as they come. A stream that
// breaks before its first event is a failed attempt; one that breaks later goes
// on at another target where the route allows it, and is cut off otherwise.
func (h *Handler) relayStream(ctx context.Context, w http.ResponseWriter, c *call, from *source) (again bool, failed *failure.Error) {
	out := &streamWriter{w: w, control: http.NewResponseController(w), last: c.lastEvent}
	for {
		err := out.copy(from.answer, from.watch.progress, func() {
			h.metrics.FirstByte(c.organisationName(), c.class(), h.clock.Since(c.started))
			writeHead(w, from.answer)
		})
		from.answer.Close()
		c.lastEvent = out.last
		if err == nil {
			from.watch.stop()
			h.dispatcher.Done(from.target, dispatch.Served, h.clock.Now())
			h.succeeded(c)
			out.finish(from.answer)
			return false, nil
		}
		found := broken(from.ctx)
		if errors.Is(err, errCallerGone) {
			found = found.abandoned()
		}
		from.watch.stop()
		h.noteEnd(c, from.target, err, found)
		h.dispatcher.Done(from.target, found.result, h.clock.Now())
		again := h.sendAgain(ctx, c, found)
		if !out.started {
			return again, h.failed(c, found)
		}
		if !again {
			h.cut(c, found.reason)
		}
		from = h.resume(ctx, c)
	}
}

const (
	// resumeUrgency lets a stream that goes on wait before all that have not begun.
	resumeUrgency = -1
	// resumeLatencies is for how many times the route's latency it may wait: callers
	// leave a silent stream after four.
	resumeLatencies = 3
)

// resume gets another target to go on with a stream; it cuts the stream off if
// there is none.
func (h *Handler) resume(ctx context.Context, c *call) *source {
	c.work.GiveUp = h.clock.Now().Add(resumeLatencies * c.route.Direct.Latency)
	c.work.Urgency = resumeUrgency
	for {
		t, refused := h.wait(ctx, c)
		if refused != nil {
			h.cut(c, "no target goes on with the stream")
		}
		h.begin(c, t)
		tryCtx, watched := h.watch(ctx, c, t)
		answer, found := h.ask(ctx, tryCtx, c, t)
		if found.success() {
			return &source{target: t, answer: answer, ctx: tryCtx, watch: watched}
		}
		if answer != nil {
			h.discard(answer)
		}
		watched.stop()
		h.dispatcher.Done(t, found.result, h.clock.Now())
		if !h.sendAgain(ctx, c, found) {
			h.cut(c, found.reason)
		}
	}
}

// cut ends a stream that cannot be finished so that nobody takes it for whole.
// It does not return.
func (h *Handler) cut(c *call, reason string) {
	h.finish(c, "cut", reason)
	panic(http.ErrAbortHandler)
}
