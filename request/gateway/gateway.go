package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/health"
	"verbenaseam.example/verbenaseam/process/metrics"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/finish"
	"verbenaseam.example/verbenaseam/request/order"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/retry"
	"verbenaseam.example/verbenaseam/version/table"
)

// Tables provides the configuration in force.
type Tables interface {
	// Current returns the snapshot in force, or nil before the first one.
	Current() *table.Snapshot
}

// Links provides the links to the targets' agents.
type Links interface {
	// Get returns the live link to the process with the given name.
	Get(name string) (*link.Link, bool)
}

// Orders runs requests that are not idempotent.
type Orders interface {
	// Run executes an order at most once; any error is a *failure.Error.
	Run(ctx context.Context, request order.Request) (order.Answer, error)
}

// Config holds the dependencies and limits of a Gateway.
type Config struct {
	Tables  Tables
	Links   Links
	Targets *Targets
	Clock   clockwork.Clock
	Limits  settings.Limits
	Metrics *metrics.Metrics
	Log     *logrus.Entry
	// API serves the entry and model listing paths of the caller API.
	API http.Handler
	// Quotas limits the requests per second of an organisation across all
	// entries.
	Quotas *admit.Quotas
	// Poison tracks requests that crash targets; ShareEvidence sends new
	// evidence to the other processes.
	Poison        *poison.Tracker
	ShareEvidence func()
	// Health provides the targets that are likely to fail together and counts
	// recent failures.
	Health *health.Correlator
}

// Gateway is the HTTP handler for callers.
type Gateway struct {
	tables  Tables
	links   Links
	targets *Targets
	clock   clockwork.Clock
	limits  settings.Limits
	metrics *metrics.Metrics
	log     *logrus.Entry
	api     http.Handler
	orders  Orders
	quotas  *admit.Quotas
	poison  *poison.Tracker
	health  *health.Correlator

	shareEvidence func()
	environment   retry.Environment
	guard         *finish.Guard
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	return &Gateway{
		tables: cfg.Tables, links: cfg.Links, targets: cfg.Targets,
		clock: cfg.Clock, limits: cfg.Limits, metrics: cfg.Metrics, log: cfg.Log, api: cfg.API,
		quotas: cfg.Quotas, poison: cfg.Poison, health: cfg.Health, shareEvidence: cfg.ShareEvidence,
		environment: retry.Environment{Clock: cfg.Clock, Random: rand.Float64}, guard: finish.NewGuard(cfg.Clock),
	}
}

// SetOrders sets the executor of non-idempotent requests. It must be called
// before the first request.
func (g *Gateway) SetOrders(orders Orders) { g.orders = orders }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(HeaderRequestID, id)
	switch r.URL.Path {
	case "/v1/entries", "/v1/models":
		g.api.ServeHTTP(&outcomeWriter{ResponseWriter: w}, r)
		return
	}
	c, err := g.readCall(w, r, id)
	if err != nil {
		g.fail(w, c, failure.From(err))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	ctx, unbind := g.guard.Bind(ctx)
	defer unbind()
	g.serve(ctx, w, c)
}

// serve handles a call that has been read. A call that may run again is
// requeued while no target accepts it.
func (g *Gateway) serve(ctx context.Context, w http.ResponseWriter, c *call) {
	view, ok := g.targets.pool(c.route.Pool)
	if !ok {
		g.fail(w, c, unknownPool())
		return
	}
	if err := g.quotas.Allow(c.organisation.Name, c.route.QuotaPerSecond); err != nil {
		g.fail(w, c, failure.From(err))
		return
	}
	for {
		response, release, err := g.serveOnce(ctx, c, view)
		if err == nil {
			defer release()
			g.relay(ctx, w, c, response)
			return
		}
		failed := c.recordOutcome(explainEnd(ctx, failure.From(err)))
		if !g.mayRequeue(c, failed) || !g.waitBeforeRequeue(ctx, failed) {
			g.fail(w, c, failed)
			return
		}
	}
}

// serveOnce waits for a slot in the queue and obtains a response; release
// returns the slot.
func (g *Gateway) serveOnce(ctx context.Context, c *call, view *poolView) (*targetResponse, func(), error) {
	if err := g.refuseUnfinishable(c); err != nil {
		return nil, nil, err
	}
	release, err := view.queue.Acquire(ctx, admit.Request{
		Organisation: c.organisation.Name, Class: c.class, Weight: c.weight(), Cost: c.cost(),
	})
	if err != nil {
		return nil, nil, err
	}
	// The call may have waited for the slot.
	if err := g.refuseUnfinishable(c); err != nil {
		release()
		return nil, nil, err
	}
	run := g.guard.Begin(c.id, c.route.Pool, c.finishWork())
	response, err := g.dispatch(ctx, c, view)
	if err != nil {
		run.End(failure.From(err).Kind == failure.DeadlineExceeded)
		release()
		return nil, nil, err
	}
	return response, func() {
		run.End(true)
		release()
	}, nil
}

// maxTargetWait bounds the wait for a pool in which no target is reachable or
// may start work. A lost link is re-established, and a restarted agent is
// available again, within the heartbeat time-out and a little more.
const maxTargetWait = link.DefaultHeartbeatTimeout + 500*time.Millisecond

// mayRequeue reports whether a request that no target accepted goes back to the
// queue. It must be safe to send again, because it did not run or is
// idempotent; its deadline must leave time for a target to accept it; and
// targets must be likely to be available soon.
func (g *Gateway) mayRequeue(c *call, err *failure.Error) bool {
	if c.mayHaveRun && !c.route.Idempotent {
		return false
	}
	now := g.clock.Now()
	if !err.RejectedByGate && !c.mayAwaitTarget(err, now) {
		return false
	}
	return c.deadline.Sub(now) > 2*err.RetryAfter
}

// waitBeforeRequeue waits for the time that a refusal asked for, with jitter.
// After a refusal by a full gate it does not wait: the queue's capacity holds
// the request until a target reports free slots. It returns false if ctx ends
// first.
func (g *Gateway) waitBeforeRequeue(ctx context.Context, err *failure.Error) bool {
	if err.Kind == failure.Overloaded {
		return ctx.Err() == nil
	}
	wait := err.RetryAfter/2 + time.Duration(g.environment.Random()*float64(err.RetryAfter))
	select {
	case <-g.clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// fail records the failure of a call and writes it as the response.
func (g *Gateway) fail(w http.ResponseWriter, c *call, err *failure.Error) {
	g.metrics.CountFailure(string(err.Kind))
	if err.Cause != nil {
		g.log.WithError(err.Cause).WithField("type", string(err.Kind)).Debug("request failed")
	}
	g.finish(c, err.Outcome)
	if g.guard.Ending() {
		w.Header().Set("Connection", "close")
	}
	WriteFailure(w, err)
}

// finish records the end of a call. A request that failed before it had a route
// has no organisation and class to be counted under.
func (g *Gateway) finish(c *call, outcome failure.Outcome) {
	if c == nil || c.route == nil {
		return
	}
	g.metrics.ObserveRequest(c.organisation.Name, string(c.class), string(outcome), g.clock.Since(c.started))
}
