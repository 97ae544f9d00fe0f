package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/connection/pace"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/retry"
)

// watchdog gives up an attempt whose target makes no progress while others of its service do, or is
// slow while others have free capacity. The target may be sound and the request slow, so it gives up
// only if a retry is sure to follow.
type watchdog struct {
	handler        *Handler
	target         *dispatch.Target
	silenceTimeout time.Duration
	cancel         context.CancelCauseFunc
	attempts       *retry.Session
	// onStall replaces the end of the attempt if it is not nil: it gets the reason and reports
	// whether it took note of it. It must not block.
	onStall func(cause error) bool

	// mu guards the fields below.
	mu           sync.Mutex
	lastProgress time.Time
	// progressed is set once the target has made progress with the attempt.
	progressed bool
	timer      *time.Timer
	stopped    bool
	// notReading is set while the caller is too slow for more of the response to be read.
	notReading bool

	// receiving monitors bodies and events that have begun to arrive.
	receiving *pace.Monitor
}

// startWatchdog returns the context of an attempt and the watchdog that cancels it.
// The caller must call stop when the attempt ends.
// onStall may be nil; see watchdog.
func (h *Handler) startWatchdog(ctx context.Context, c *call, t *dispatch.Target, onStall func(cause error) bool) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{
		handler: h, target: t, silenceTimeout: c.silenceTimeout(), cancel: cancel, attempts: c.attempts, onStall: onStall,
		lastProgress: h.clock.Now(),
	}
	w.receiving = pace.NewMonitor(h.pace, nil, func() {
		h.metrics.CountStalledPeer("target")
		cancel(errTargetTrickles)
	})
	w.start()
	return ctx, w
}

// start schedules the first check, which waits for mu until the timer is set.
func (w *watchdog) start() {
	if w.silenceTimeout <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(min(w.silenceTimeout, maxCheckInterval), w.check)
}

const (
	// silenceLatencies is the silence timeout in multiples of the route's latency
	// objective.
	silenceLatencies = 2
	// minSilenceTimeout and maxSilenceTimeout bound the silence timeout.
	minSilenceTimeout = 300 * time.Millisecond
	maxSilenceTimeout = time.Second
)

// silenceTimeout returns how long a target may make no progress before another is
// tried, or 0 if the request must not be sent to another target.
func (c *call) silenceTimeout() time.Duration {
	if !c.route.Idempotent || c.trial != 0 || c.attempts.Started() >= c.route.Direct.MaxAttempts {
		return 0
	}
	return min(max(silenceLatencies*c.route.Direct.Latency, minSilenceTimeout), maxSilenceTimeout)
}

// check gives up the attempt if its target is silent or slow, and otherwise schedules the next
// check.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := w.handler.clock.Now()
	if w.notReading {
		w.timer.Reset(w.nextCheck(0))
		return
	}
	silence := now.Sub(w.lastProgress)
	silent := silence >= w.silenceTimeout && w.handler.dispatcher.IsSilent(w.target, silence, w.silenceTimeout, now)
	if silent && w.giveUp(errTargetSilent, now) {
		return
	}
	if w.canRetry() && w.handler.dispatcher.TryReassign(w.target, now) && w.giveUp(errTargetSlow, now) {
		return
	}
	w.timer.Reset(w.nextCheck(silence))
}

// giveUp ends the attempt, unless onStall is set. It returns false if it goes on, because no retry
// would follow.
func (w *watchdog) giveUp(cause error, now time.Time) bool {
	if w.onStall != nil {
		return w.onStall(cause)
	}
	if !w.attempts.Prepay(now) {
		return false
	}
	w.cancel(cause)
	return true
}

// resume schedules the next check after onStall took note of a stall in vain.
func (w *watchdog) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(minCheckInterval)
	}
}

// canRetry reports whether the retry budget allows another attempt.
func (w *watchdog) canRetry() bool {
	return w.handler.budget(w.target.Service()).Tokens() >= 1
}

// nextCheck returns the time until the next check of a target that has made no
// progress for the given time.
func (w *watchdog) nextCheck(silence time.Duration) time.Duration {
	return min(max(w.silenceTimeout-silence, minCheckInterval), maxCheckInterval)
}

// maxCheckInterval bounds how long a target that turns slow goes unnoticed.
const maxCheckInterval = 250 * time.Millisecond

// minCheckInterval is the check interval once a target has been silent for the silence
// timeout together with all others of its service.
const minCheckInterval = 100 * time.Millisecond

// progress records that the target has made progress.
func (w *watchdog) progress() {
	now := w.handler.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.progressed {
		w.handler.dispatcher.Progress(w.target, now)
	} else {
		w.handler.dispatcher.FirstProgress(w.target, now.Sub(w.lastProgress), now)
	}
	w.lastProgress, w.progressed = now, true
}

// pauseReading suspends the checks while the response is not read because the caller is slow;
// the target can make no progress then.
func (w *watchdog) pauseReading() {
	w.receiving.Idle()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notReading = true
}

// resumeReading ends pauseReading.
func (w *watchdog) resumeReading() {
	now := w.handler.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notReading, w.lastProgress = false, now
}

// received records n bytes of a body or stream. incomplete says whether the target has begun a
// whole body or an event and must continue it at pace.Rate.
func (w *watchdog) received(n int, incomplete bool) {
	if !incomplete {
		w.receiving.Idle()
		return
	}
	w.receiving.Wait()
	w.receiving.Moved(n)
}

// stop ends the checks and releases the attempt's context.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.receiving.Close()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// withWatchdogCause replaces the verdict on an attempt that was cancelled, by the watchdog or because
// it is not needed any more. ctx is the attempt's context.
func withWatchdogCause(ctx context.Context, v verdict) verdict {
	if errors.Is(context.Cause(ctx), errSuperseded) {
		return v.abandoned()
	}
	if errors.Is(context.Cause(ctx), errTargetSilent) {
		if v.failure.Outcome == failure.NotRun {
			return notRun(dispatch.Silent, errTargetSilent.Error())
		}
		return incomplete(dispatch.Silent, errTargetSilent.Error())
	}
	if errors.Is(context.Cause(ctx), errTargetTrickles) {
		return incomplete(dispatch.Silent, errTargetTrickles.Error())
	}
	if errors.Is(context.Cause(ctx), errResponseTooLong) {
		return incomplete(dispatch.Failed, errResponseTooLong.Error())
	}
	if errors.Is(context.Cause(ctx), errTargetSlow) {
		return incomplete(dispatch.Reassigned, errTargetSlow.Error())
	}
	return v
}
