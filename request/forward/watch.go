package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/dispatch"
)

// watch ends an attempt whose target is silent for too long while others of its
// service go on, or slow while others have room.
type watch struct {
	handler  *Handler
	target   *dispatch.Target
	patience time.Duration
	cancel   context.CancelCauseFunc

	// mu guards all below.
	mu      sync.Mutex
	last    time.Time
	timer   *time.Timer
	stopped bool
}

// watch returns the context of an attempt and what watches it; stop must be
// called at its end.
func (h *Handler) watch(ctx context.Context, c *call, t *dispatch.Target) (context.Context, *watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{handler: h, target: t, patience: c.patience(), cancel: cancel, last: h.clock.Now()}
	if w.patience > 0 {
		w.timer = time.AfterFunc(min(w.patience, lookMost), w.look)
	}
	return ctx, w
}

// look ends the attempt if its target is silent or slow, and looks again later if
// not.
func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := w.handler.clock.Now()
	quiet := now.Sub(w.last)
	if quiet >= w.patience && w.handler.dispatcher.IsSilent(w.target, w.patience, now) {
		w.cancel(errSilent)
		return
	}
	if w.mayLeave() && w.handler.dispatcher.LeaveSlow(w.target, now) {
		w.cancel(errSlow)
		return
	}
	w.timer.Reset(w.next(quiet))
}

// mayLeave tells whether another attempt could be paid for: a stream that leaves a
// slow target without one would be cut off.
func (w *watch) mayLeave() bool {
	return w.handler.budget(w.target.Service()).Tokens() >= 1
}

// next is when the target is looked at again after it was quiet for some time.
func (w *watch) next(quiet time.Duration) time.Duration {
	return min(max(w.patience-quiet, lookAgain), lookMost)
}

// lookMost is the longest time between two looks, so that a target that turns slow
// is left soon.
const lookMost = 250 * time.Millisecond

// lookAgain is the time until the next look at a target that is silent together
// with all others.
const lookAgain = 100 * time.Millisecond

// progress notes a sign of life.
func (w *watch) progress() {
	now := w.handler.clock.Now()
	w.handler.dispatcher.Progress(w.target, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = now
}

// stop ends the watch.
func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// attemptResult corrects the result of an attempt that the watch has ended.
func attemptResult(ctx context.Context, found verdict) verdict {
	if errors.Is(context.Cause(ctx), errSilent) {
		if found.failure.Outcome == failure.NotRun {
			return refused(dispatch.Silent, errSilent.Error())
		}
		return noAnswer(dispatch.Silent, errSilent.Error())
	}
	if errors.Is(context.Cause(ctx), errSlow) {
		return noAnswer(dispatch.Left, errSlow.Error())
	}
	return found
}
