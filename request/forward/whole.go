package forward

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/memory"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/finish"
)

// exchange is one attempt at a response that is read whole.
type exchange struct {
	*streamSource
	run *finish.Run
	// stalled is why another attempt was begun beside this one, nil if none was.
	stalled error
	// verdict is set when the attempt has ended.
	verdict verdict
	// panicked is set if the attempt has panicked; the call then panics too.
	panicked *attemptPanic
}

// attemptPanic is a panic of the goroutine of an attempt.
type attemptPanic struct {
	cause any
	stack string
}

// String implements fmt.Stringer.
func (p *attemptPanic) String() string { return fmt.Sprint(p.cause) + "\n" + p.stack }

// race is the attempts of a call that run side by side. While a target that may be slow or silent is
// awaited, another one is tried; the first success goes to the caller. Its methods are for one
// goroutine, except run.
type race struct {
	handler *Handler
	ctx     context.Context
	call    *call
	// open holds the exchanges that have not ended. ended yields each when it has, stalls each
	// whose target makes no progress or is slow.
	open          map[*exchange]bool
	ended, stalls chan *exchange
	// won is set once an exchange has succeeded.
	won bool
}

// attemptWhole is attempt for a call whose response is read whole.
func (h *Handler) attemptWhole(ctx context.Context, w http.ResponseWriter, c *call, t *dispatch.Target) (shouldRetry bool, failed *failure.Error) {
	capacity := max(c.route.Direct.MaxAttempts, 1)
	r := &race{
		handler: h, ctx: ctx, call: c, open: map[*exchange]bool{},
		ended: make(chan *exchange, capacity), stalls: make(chan *exchange, capacity),
	}
	defer r.endOthers()
	r.start(t)
	for {
		select {
		case x := <-r.stalls:
			r.hedge(x)
		case x := <-r.ended:
			delete(r.open, x)
			if x.panicked != nil {
				r.release(x, x.verdict.result)
				panic(x.panicked)
			}
			if x.verdict.success() {
				r.succeed(w, x)
				return false, nil
			}
			shouldRetry, wait := h.decideAfterFailure(ctx, c, x.verdict)
			if wait {
				h.discard(c, x.streamSource, x.verdict)
				r.release(x, x.verdict.result)
				continue
			}
			return shouldRetry, r.fail(w, x, shouldRetry)
		}
	}
}

// start begins an attempt.
func (r *race) start(t *dispatch.Target) {
	h, c := r.handler, r.call
	h.beginAttempt(c, t)
	x := &exchange{streamSource: &streamSource{target: t, sent: h.clock.Now()}, run: c.run}
	// The race releases the slots of its exchanges.
	c.slot, c.run = nil, nil
	r.open[x] = true
	x.ctx, x.watchdog = h.startWatchdog(r.ctx, c, t, func(cause error) bool {
		x.stalled = cause
		r.stalls <- x
		return true
	})
	go r.run(x)
}

// run sends the call to the target and reads the response.
func (r *race) run(x *exchange) {
	h, c := r.handler, r.call
	defer func() {
		if cause := recover(); cause != nil {
			x.panicked = &attemptPanic{cause: cause, stack: string(debug.Stack())}
			x.verdict = incomplete(dispatch.Abandoned, "panic")
		}
		r.ended <- x
	}()
	x.verdict = h.send(r.ctx, c, x.streamSource)
	if !x.verdict.success() {
		return
	}
	if err := h.readWhole(c, x.streamSource); err != nil {
		x.verdict = h.truncatedVerdict(x.ctx, c, err)
		h.updateCrashEvidence(c, x.target, h.clock.Now(), err, x.verdict)
	}
}

// hedge begins another attempt beside one whose target has stalled, if a target is free and the
// retry budget allows it. Otherwise the stalled one is awaited and checked again.
func (r *race) hedge(x *exchange) {
	h, c := r.handler, r.call
	if !r.open[x] || r.ctx.Err() != nil {
		return
	}
	t := r.freeTarget()
	if t == nil || !c.attempts.HedgeStalled(h.clock.Now()) {
		if t != nil {
			h.releaseSlot(c, t, dispatch.Abandoned)
		}
		x.watchdog.resume()
		return
	}
	h.log.WithFields(logrus.Fields{"request": c.id, "target": x.target.ID(), "reason": x.stalled.Error(), "second": t.ID()}).
		Info("attempt stalled; another one started beside it")
	r.start(t)
}

// freeTarget returns a target that takes the call at once, nil if there is none or the call may not
// be sent again.
func (r *race) freeTarget() *dispatch.Target {
	h, c := r.handler, r.call
	if _, suspect := h.poison.AssessRequest(c.subject); suspect != 0 || h.refuseUnfinishable(c) != nil {
		return nil
	}
	t, waiter := h.dispatcher.Acquire(c.work, h.clock.Now())
	if waiter != nil {
		t = h.dispatcher.CancelWait(waiter)
	}
	if t != nil && !h.dispatcher.MayStart(t, h.clock.Now()) {
		h.releaseSlot(c, t, dispatch.Abandoned)
		return nil
	}
	return t
}

// succeed delivers the response of an exchange to the caller.
func (r *race) succeed(w http.ResponseWriter, x *exchange) {
	h, c := r.handler, r.call
	r.won = true
	c.target = x.target.ID()
	x.watchdog.progress()
	h.dispatcher.RecordResponse(x.target, h.clock.Since(x.sent), true, h.clock.Now())
	r.release(x, x.verdict.result)
	h.recordSuccess(c)
	h.transfers.record(c.route.Name, len(c.body)+len(x.body))
	r.endOthers()
	// The others, which account for the same part, have set it to 0.
	c.held.Set(memory.Response, int64(cap(x.body)), h.clock.Now())
	h.deliver(w, c, x.streamSource)
}

// fail ends the last exchange, which has failed. It delivers the target's response if there is one
// and the call is not sent again, and otherwise returns the failure.
func (r *race) fail(w http.ResponseWriter, x *exchange, shouldRetry bool) *failure.Error {
	h, c := r.handler, r.call
	c.target = x.target.ID()
	if !shouldRetry && x.verdict.deliver {
		c.slot, c.run = x.target, x.run
		defer x.watchdog.stop()
		return h.relayFailure(r.ctx, w, c, x.streamSource, x.verdict)
	}
	h.discard(c, x.streamSource, x.verdict)
	r.release(x, x.verdict.result)
	return h.finalFailure(r.ctx, c, x.verdict)
}

// endOthers ends the exchanges that are still open.
func (r *race) endOthers() {
	for x := range r.open {
		x.watchdog.cancel(errSuperseded)
		x.watchdog.stop()
	}
	for len(r.open) > 0 {
		x := <-r.ended
		delete(r.open, x)
		if x.panicked != nil {
			r.handler.log.WithFields(logrus.Fields{"request": r.call.id, "panic": x.panicked.String()}).Error("attempt panicked after the call had ended")
		}
		r.release(x, r.loserResult(x))
	}
}

// loserResult returns what the dispatcher is told of an exchange that was ended.
func (r *race) loserResult(x *exchange) dispatch.Result {
	switch {
	case x.verdict.success():
		return dispatch.Served
	case r.won && x.stalled == errTargetSilent:
		return dispatch.Silent
	case r.won && x.stalled == errTargetSlow:
		return dispatch.Reassigned
	}
	return dispatch.Abandoned
}

// release frees the slot of an exchange that has ended.
func (r *race) release(x *exchange, result dispatch.Result) {
	if x.response != nil {
		x.response.Close()
	}
	x.watchdog.stop()
	x.run.End(isRepresentative(result))
	r.handler.releaseSlot(r.call, x.target, result)
}
