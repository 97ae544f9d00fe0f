package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/direct"
	"verbenaseam.example/verbenaseam/connection/pace"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/memory"
	"verbenaseam.example/verbenaseam/process/metrics"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/finish"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/retry"
	"verbenaseam.example/verbenaseam/version/config"
)

// Config holds the settings and dependencies of a Handler.
type Config struct {
	Headers Headers
	// Version returns the configuration in force, or nil if there is none yet.
	Version    func() *config.Version
	Dispatcher *dispatch.Dispatcher
	// Connections returns the connection pool of a target.
	Connections func(*dispatch.Target) *direct.Pool
	// Budget returns the retry budget of a service.
	Budget func(service string) *retry.Budget
	// Poison tracks requests that are suspected of crashing targets; Crashes detects
	// the crashes.
	Poison  *poison.Tracker
	Crashes *poison.CrashDetector
	// PromptParts returns the parts of a request's prompt that other requests may share.
	PromptParts func(http.Header) []uint64
	// Tokens returns the tokens of a request's prompt and the expected ones of its response, 0
	// if it doesn't state them; may be nil.
	Tokens func(http.Header) (prompt, output int)
	// TrialRank returns the rank of this process, from 0, in an order of all processes
	// that depends on a fingerprint; see poison.TrialAllowance.
	TrialRank func(fingerprint uint64) int
	// Memory accounts for the bytes held for requests; nil for no bound.
	Memory *memory.Account
	// Pace is the least progress of callers and targets; zero means pace.Default.
	Pace    pace.Rate
	Metrics *metrics.Metrics
	Clock   clockwork.Clock
	Log     *logrus.Entry
}

// Handler is the HTTP handler for callers' requests.
type Handler struct {
	headers     Headers
	version     func() *config.Version
	dispatcher  *dispatch.Dispatcher
	connections func(*dispatch.Target) *direct.Pool
	budget      func(service string) *retry.Budget
	poison      *poison.Tracker
	crashes     *poison.CrashDetector
	promptParts func(http.Header) []uint64
	tokens      func(http.Header) (prompt, output int)
	trialRank   func(fingerprint uint64) int
	checks      *targetChecks
	pace        pace.Rate
	memory      *memory.Account
	attemptAges *attemptAges
	guard       *finish.Guard
	metrics     *metrics.Metrics
	transfers   transfers
	clock       clockwork.Clock
	log         *logrus.Entry
}

// NewHandler returns a Handler with the given settings and dependencies.
func NewHandler(cfg Config) *Handler {
	if cfg.Pace.Window <= 0 {
		cfg.Pace = pace.Default
	}
	if cfg.Tokens == nil {
		cfg.Tokens = func(http.Header) (int, int) { return 0, 0 }
	}
	return &Handler{
		pace: cfg.Pace, memory: cfg.Memory, headers: cfg.Headers, version: cfg.Version, dispatcher: cfg.Dispatcher,
		connections: cfg.Connections, budget: cfg.Budget, poison: cfg.Poison, crashes: cfg.Crashes,
		promptParts: cfg.PromptParts, tokens: cfg.Tokens, trialRank: cfg.TrialRank, checks: newTargetChecks(), attemptAges: newAttemptAges(),
		guard:   finish.NewGuard(cfg.Clock),
		metrics: cfg.Metrics, clock: cfg.Clock, log: cfg.Log,
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.limitLastWrite(w)
	var c *call
	defer func() {
		if cause := recover(); cause != nil {
			h.endPanic(w, r, c, cause)
		}
	}()
	c, err := h.newCall(w, r)
	if c != nil {
		defer c.held.Close()
	}
	if err != nil {
		h.respondFailure(w, r, c, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	ctx, unbind := h.guard.Bind(ctx)
	defer unbind()
	for {
		t, err := h.acquireTarget(ctx, c)
		if err != nil {
			h.respondFailure(w, r, c, err)
			return
		}
		shouldRetry, err := h.attempt(ctx, w, c, t)
		if err == nil {
			h.recordDelivery(c)
			return
		}
		if !shouldRetry {
			h.respondFailure(w, r, c, err)
			return
		}
	}
}

// endFailedAttempt ends an attempt that failed and reports whether to retry. If so,
// the retry has been charged to the retry budget.
func (h *Handler) endFailedAttempt(ctx context.Context, c *call, v verdict) bool {
	shouldRetry, _ := h.decideAfterFailure(ctx, c, v)
	return shouldRetry
}

// decideAfterFailure is endFailedAttempt for a call that may have other attempts running; wait
// reports that one of them may still succeed.
func (h *Handler) decideAfterFailure(ctx context.Context, c *call, v verdict) (shouldRetry, wait bool) {
	decision := c.attempts.Failed(v.failure, h.clock.Now(), noJitter)
	if ctx.Err() != nil || decision.Wait {
		return false, decision.Wait
	}
	if decision.Retry || decision.Reason == retry.GiveUpBudget || v.noAnswer() {
		h.log.WithFields(logrus.Fields{
			"request": c.id, "target": c.target, "reason": v.reason, "again": decision.Retry,
		}).Info("attempt failed")
	}
	return decision.Retry && c.trial == 0, false
}

// noJitter selects the shortest backoff, which is none: a retry goes to another target
// and starts without delay.
const noJitter = 0

// acquireTarget obtains a target for a call that may run according to the crash evidence,
// which may have changed since the call arrived.
func (h *Handler) acquireTarget(ctx context.Context, c *call) (*dispatch.Target, *failure.Error) {
	if refusal := h.refuseUnfinishable(c); refusal != nil {
		return nil, refusal
	}
	t, err := h.awaitTarget(ctx, c)
	for err == nil && !h.dispatcher.MayStart(t, h.clock.Now()) {
		// The target said that it leaves or pauses since it was granted.
		h.release(c, t, dispatch.Abandoned)
		t, err = h.awaitTarget(ctx, c)
	}
	if err != nil {
		return nil, err
	}
	if refusal := h.refuseBeforeAttempt(c); refusal != nil {
		h.release(c, t, dispatch.Abandoned)
		return nil, refusal
	}
	return t, nil
}

// awaitTarget obtains a target for a call. If none is free, it waits in the
// dispatcher's queue until the dispatcher gives it up.
func (h *Handler) awaitTarget(ctx context.Context, c *call) (*dispatch.Target, *failure.Error) {
	now := h.clock.Now()
	t, waiter := h.dispatcher.Acquire(c.work, now)
	if t != nil {
		return t, nil
	}
	if waiter == nil {
		return nil, h.noTarget(c)
	}
	timer := h.clock.NewTimer(waiter.GiveUp().Sub(now))
	defer timer.Stop()
	select {
	case t = <-waiter.Granted():
		if t == nil && !waiter.CrowdedOut() {
			h.metrics.CountQueued(c.service, "no_target")
			return nil, h.noTarget(c)
		}
	case <-timer.Chan():
		t = h.dispatcher.CancelWait(waiter)
	case <-ctx.Done():
		if t = h.dispatcher.CancelWait(waiter); t != nil {
			h.release(c, t, dispatch.Abandoned)
		}
		h.metrics.CountQueued(c.service, "caller_gone")
		return nil, h.timeOver(ctx, c)
	}
	c.queueWait += h.clock.Since(now)
	if t == nil {
		h.metrics.CountQueued(c.service, "busy")
		return nil, h.newFailure(c, failure.Overloaded, "all targets are busy")
	}
	c.startedLate = waiter.Late()
	h.metrics.CountQueued(c.service, queuedEnd(c.startedLate))
	return t, nil
}

// queuedEnd returns the metrics label of a request that got a target after a wait.
func queuedEnd(late bool) string {
	if late {
		return "started_late"
	}
	return "started"
}

// noTarget returns the failure of a call that no target can take in time.
func (h *Handler) noTarget(c *call) *failure.Error {
	if h.dispatcher.IsLimited(c.service) {
		return h.newFailure(c, failure.NoTarget, "the limits that the targets name leave no place for the request")
	}
	return h.newFailure(c, failure.NoTarget, "no target can take the request")
}

// newFailure returns the final failure of a call, with the combined outcome of its
// attempts so far.
func (h *Handler) newFailure(c *call, kind failure.Kind, message string) *failure.Error {
	now := h.clock.Now()
	err := failure.New(kind, c.attempts.Outcome(), message)
	if pause := h.dispatcher.ResumesIn(c.service, now); pause > 0 {
		return err.WithRetryAfter(retryAfterPause(pause, rand.Float64()))
	}
	down := h.dispatcher.IsDown(c.service, now)
	if drain, known := h.dispatcher.DrainTime(c.service, c.work.Urgency, now); known && kind == failure.Overloaded && !down {
		return err.WithRetryAfter(retryAfterDrain(drain, c.deadline.Sub(now), rand.Float64()))
	}
	return err.WithRetryAfter(retryAfter(down, c.deadline.Sub(now), rand.Float64()))
}

// timeOver returns the failure of a call whose context has ended or whose deadline has passed.
func (h *Handler) timeOver(ctx context.Context, c *call) *failure.Error {
	if processEnds(ctx) {
		return unfinishable(c)
	}
	return h.newFailure(c, failure.DeadlineExceeded, deadlineExceededMessage)
}

// attempt sends a call to a target and relays the response. If it returns a failure,
// nothing has been written to the caller, and shouldRetry reports whether to make
// another attempt.
func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, c *call, t *dispatch.Target) (shouldRetry bool, failed *failure.Error) {
	if c.route.Direct.Streams {
		return h.attemptStream(ctx, w, c, t)
	}
	return h.attemptWhole(ctx, w, c, t)
}

// attemptStream is attempt for a call whose response is relayed as it arrives.
func (h *Handler) attemptStream(ctx context.Context, w http.ResponseWriter, c *call, t *dispatch.Target) (shouldRetry bool, failed *failure.Error) {
	h.beginStreamAttempt(c, t)
	attemptCtx, watchdog := h.startWatchdog(ctx, c, t, nil)
	src := &streamSource{target: t, ctx: attemptCtx, watchdog: watchdog, sent: h.clock.Now()}
	v := h.send(ctx, c, src)
	if v.success() {
		return h.relayStream(ctx, w, c, src)
	}
	defer watchdog.stop()
	shouldRetry = h.endFailedAttempt(ctx, c, v)
	if !shouldRetry && v.deliver {
		return false, h.relayFailure(ctx, w, c, src, v)
	}
	h.discard(c, src, v)
	h.release(c, t, v.result)
	return shouldRetry, h.finalFailure(ctx, c, v)
}

// discard ends an attempt whose response, if there is one, does not go to the caller.
func (h *Handler) discard(c *call, src *streamSource, v verdict) {
	if src.response != nil {
		// The call goes on without it. The connection is closed if it has not ended.
		_ = h.drain(c, src, discardBound)
	}
	if v.result == dispatch.Abandoned {
		h.dispatcher.RecordResponse(src.target, h.clock.Since(src.sent), false, h.clock.Now())
	}
}

// send sends a call to the target of an attempt and returns the verdict on its response, which the attempt
// has then if one arrived. ctx is the call's context.
func (h *Handler) send(ctx context.Context, c *call, src *streamSource) verdict {
	t := src.target
	request := c.outgoingRequest(&h.headers, h.pace, t, src.sent)
	request.OnLate = func(status int, header http.Header) { h.recordNotice(c, t, src.sent, status, header) }
	response, err := h.connections(t).Do(src.ctx, request, false)
	if err != nil {
		v := withWatchdogCause(src.ctx, classifyError(err, h.ended(ctx, c)))
		h.updateCrashEvidence(c, t, src.sent, err, v)
		return v
	}
	src.response = response
	v := classifyResponse(&h.headers, response.Status, response.Header, t.ID())
	if err := h.confirm(c, src, v); err != nil {
		v = h.truncatedVerdict(src.ctx, c, err)
		h.updateCrashEvidence(c, t, h.clock.Now(), err, v)
		return v
	}
	h.updateCrashEvidence(c, t, src.sent, nil, v)
	if v.success() && c.route.Direct.Streams {
		h.recordOwnNotice(c, src)
	}
	return v
}

// ended reports whether the caller of a call has disconnected or its deadline has passed. On a
// busy host the connection may time out, by deadlineSlack later, before the context ends.
func (h *Handler) ended(ctx context.Context, c *call) bool {
	return ctx.Err() != nil || !h.clock.Now().Before(c.deadline)
}

// beginAttempt records that a call is sent to a target.
func (h *Handler) beginAttempt(c *call, t *dispatch.Target) {
	kind := "first"
	if number, _ := c.attempts.Begin(); number > 0 {
		kind = "retry"
	}
	h.metrics.CountAttempt(kind)
	c.work.Tried = append(c.work.Tried, t)
	c.target, c.slot = t.ID(), t
	c.run = h.guard.Begin(c.id, t.ID(), c.finishWork)
	c.held.SetTarget(c.target)
}

// beginStreamAttempt is beginAttempt for a stream, whose events show what the target has run.
func (h *Handler) beginStreamAttempt(c *call, t *dispatch.Target) {
	h.beginAttempt(c, t)
	c.firstEvent, c.ran = time.Time{}, false
}

// finalFailure returns the failure of a call whose last attempt failed with the
// given verdict.
func (h *Handler) finalFailure(ctx context.Context, c *call, v verdict) *failure.Error {
	switch {
	case v.result == dispatch.Abandoned:
		return h.timeOver(ctx, c)
	case c.attempts.Outcome() == failure.NotRun:
		return h.newFailure(c, failure.Overloaded, v.failure.Message)
	default:
		return h.newFailure(c, failure.IncompleteAnswer, "the target gave no whole answer")
	}
}
