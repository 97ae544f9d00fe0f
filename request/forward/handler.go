package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/direct"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/metrics"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/retry"
	"verbenaseam.example/verbenaseam/version/config"
)

// Config is what a Handler is made of.
type Config struct {
	Headers Headers
	// Version returns the configuration in force, nil before the first.
	Version    func() *config.Version
	Dispatcher *dispatch.Dispatcher
	// Connections returns the connections to a target.
	Connections func(*dispatch.Target) *direct.Pool
	// Budget returns the retry budget of a service.
	Budget func(service string) *retry.Budget
	// Poison knows requests that crash targets, Crashes finds the crashes.
	Poison  *poison.Tracker
	Crashes *poison.Finder
	Metrics *metrics.Metrics
	Clock   clockwork.Clock
	Log     *logrus.Entry
}

// Handler is the callers' HTTP handler.
type Handler struct {
	headers     Headers
	version     func() *config.Version
	dispatcher  *dispatch.Dispatcher
	connections func(*dispatch.Target) *direct.Pool
	budget      func(service string) *retry.Budget
	poison      *poison.Tracker
	crashes     *poison.Finder
	metrics     *metrics.Metrics
	clock       clockwork.Clock
	log         *logrus.Entry
}

// NewHandler returns a handler.
func NewHandler(cfg Config) *Handler {
	return &Handler{
		headers: cfg.Headers, version: cfg.Version, dispatcher: cfg.Dispatcher,
		connections: cfg.Connections, budget: cfg.Budget, poison: cfg.Poison, crashes: cfg.Crashes, metrics: cfg.Metrics, clock: cfg.Clock, log: cfg.Log,
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refused := h.read(w, r)
	if refused != nil {
		h.refuse(w, r, c, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	for {
		t, err := h.wait(ctx, c)
		if err != nil {
			h.refuse(w, r, c, err)
			return
		}
		again, err := h.attempt(ctx, w, c, t)
		if err == nil {
			h.finish(c, "answered", "")
			return
		}
		if !again {
			h.refuse(w, r, c, err)
			return
		}
	}
}

// sendAgain ends an attempt that failed, and tells whether there is one more; that
// is paid for then.
func (h *Handler) sendAgain(ctx context.Context, c *call, found verdict) bool {
	decision := c.attempts.Failed(found.failure, h.clock.Now(), noJitter)
	if ctx.Err() != nil {
		return false
	}
	if decision.Retry || decision.Reason == retry.GiveUpBudget {
		h.log.WithFields(logrus.Fields{
			"request": c.id, "target": c.target, "reason": found.reason, "again": decision.Retry,
		}).Info("attempt failed")
	}
	return decision.Retry
}

// noJitter is for attempts that follow each other at once, at another target.
const noJitter = 0

// wait gets a target for a call, at once or within the time that it may wait.
func (h *Handler) wait(ctx context.Context, c *call) (*dispatch.Target, *failure.Error) {
	now := h.clock.Now()
	t, waiter := h.dispatcher.Take(c.work, now)
	if t != nil {
		return t, nil
	}
	if waiter == nil {
		return nil, h.refusal(c, failure.NoTarget, "no target can take the request")
	}
	timer := h.clock.NewTimer(c.work.GiveUp.Sub(now))
	defer timer.Stop()
	select {
	case t = <-waiter.Granted():
	case <-timer.Chan():
		t = h.dispatcher.GiveUp(waiter)
	case <-ctx.Done():
		if t = h.dispatcher.GiveUp(waiter); t != nil {
			h.dispatcher.Done(t, dispatch.Abandoned, h.clock.Now())
		}
		return nil, h.timeUp(c)
	}
	c.waited += h.clock.Since(now)
	if t == nil {
		return nil, h.refusal(c, failure.Overloaded, "all targets are busy")
	}
	return t, nil
}

// refusal is the failure of a call that was not sent once more.
func (h *Handler) refusal(c *call, kind failure.Kind, message string) *failure.Error {
	now := h.clock.Now()
	down := h.dispatcher.IsDown(c.service, now)
	return failure.New(kind, c.attempts.Outcome(), message).WithRetryAfter(comeBack(down, c.deadline.Sub(now), rand.Float64()))
}

// timeUp is the failure of a call whose deadline has passed.
func (h *Handler) timeUp(c *call) *failure.Error {
	return h.refusal(c, failure.DeadlineExceeded, timeUpMessage)
}

// attempt sends a call to a target and relays its answer. A failure means that
// nothing has been written to the caller; again tells whether to try once more.
func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, c *call, t *dispatch.Target) (again bool, failed *failure.Error) {
	h.begin(c, t)
	tryCtx, watched := h.watch(ctx, c, t)
	answer, found := h.ask(ctx, tryCtx, c, t)
	if found.success() && c.route.Direct.Streams {
		return h.relayStream(ctx, w, c, &source{target: t, answer: answer, ctx: tryCtx, watch: watched})
	}
	defer watched.stop()
	if !found.success() {
		again = h.sendAgain(ctx, c, found)
	}
	if again || !found.deliver {
		if answer != nil {
			h.discard(answer)
		}
		h.dispatcher.Done(t, found.result, h.clock.Now())
		return again, h.failed(c, found)
	}
	return h.relayWhole(ctx, tryCtx, w, c, t, answer, found)
}

// ask sends a call to a target and judges the head of its answer, or the want of
// one; the answer is nil then. tryCtx is the attempt's part of ctx.
func (h *Handler) ask(ctx, tryCtx context.Context, c *call, t *dispatch.Target) (*direct.Answer, verdict) {
	answer, err := h.connections(t).Do(tryCtx, c.outgoing(&h.headers, t, h.clock.Now()), false)
	if err != nil {
		found := attemptResult(tryCtx, judgeError(err, ctx.Err() != nil))
		h.noteEnd(c, t, err, found)
		return nil, found
	}
	found := judgeAnswer(&h.headers, answer.Status, answer.Header, t.ID())
	h.noteEnd(c, t, nil, found)
	return answer, found
}

// noteEnd tells what an exchange, or its failure, says of a crash of the target.
func (h *Handler) noteEnd(c *call, t *dispatch.Target, err error, found verdict) {
	switch {
	case found.result == dispatch.Gone || errors.Is(err, syscall.ECONNREFUSED):
		if h.crashes.Ended(t.ID(), t.Incarnation()) {
			h.log.WithFields(logrus.Fields{"request": c.id, "target": t.ID()}).Warn("target crashed")
		}
	case err == nil:
		h.crashes.Answered(t.ID(), t.Incarnation())
	case found.brokeOff():
		h.crashes.Broke(t.ID(), t.Incarnation(), c.fingerprint)
	}
}

// begin notes that a call is sent to a target.
func (h *Handler) begin(c *call, t *dispatch.Target) {
	kind := "first"
	if number, _ := c.attempts.Begin(); number > 0 {
		kind = "retry"
	}
	h.metrics.Attempt(kind)
	c.work.Tried = append(c.work.Tried, t)
	c.target = t.ID()
}

// discard reads a short answer to its end, so that its connection can be kept.
func (h *Handler) discard(answer *direct.Answer) {
	defer answer.Close()
	if answer.Length < 0 || answer.Length > discardLimit {
		return
	}
	buffer := make([]byte, discardLimit+1)
	for {
		if _, err := answer.Read(buffer); err != nil {
			return
		}
	}
}

// discardLimit is the longest body that is read only to keep its connection.
const discardLimit = 4 << 10

// failed is the failure of a call whose last attempt has failed.
func (h *Handler) failed(c *call, found verdict) *failure.Error {
	switch {
	case found.result == dispatch.Abandoned:
		return h.timeUp(c)
	case c.attempts.Outcome() == failure.NotRun:
		return h.refusal(c, failure.Overloaded, found.failure.Message)
	default:
		return h.refusal(c, failure.Incomplete, "the target gave no whole answer")
	}
}
