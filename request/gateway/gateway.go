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
	"verbenaseam.example/verbenaseam/request/order"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/retry"
	"verbenaseam.example/verbenaseam/version/table"
)

// Tables gives the configuration in force.
type Tables interface {
	// Current returns the snapshot in force, nil before the first.
	Current() *table.Snapshot
}

// Links gives the link to a target's agent.
type Links interface {
	// Get returns the live link to the process of that name.
	Get(name string) (*link.Link, bool)
}

// Orders makes requests that may not run twice.
type Orders interface {
	// Run makes an order at most once; any error is a *failure.Error.
	Run(ctx context.Context, request order.Request) (order.Answer, error)
}

// Config is what a gateway is made of.
type Config struct {
	Tables  Tables
	Links   Links
	Targets *Targets
	Clock   clockwork.Clock
	Limits  settings.Limits
	Metrics *metrics.Metrics
	Log     *logrus.Entry
	// API serves the paths of the caller API.
	API http.Handler
	// Quotas bound requests a second of an organisation over all entries.
	Quotas *admit.Quotas
	// Poison knows requests that crash targets; ShareEvidence passes on what it
	// learned.
	Poison        *poison.Tracker
	ShareEvidence func()
	// Health knows targets that fail together.
	Health *health.Correlator
}

// Gateway is the callers' HTTP handler.
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
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	return &Gateway{
		tables: cfg.Tables, links: cfg.Links, targets: cfg.Targets,
		clock: cfg.Clock, limits: cfg.Limits, metrics: cfg.Metrics, log: cfg.Log, api: cfg.API,
		quotas: cfg.Quotas, poison: cfg.Poison, health: cfg.Health, shareEvidence: cfg.ShareEvidence,
		environment: retry.Environment{Clock: cfg.Clock, Random: rand.Float64},
	}
}

// SetOrders sets what makes orders; it comes before the first request.
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
	c, err := g.read(w, r, id)
	if err != nil {
		g.fail(w, c, failure.From(err))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	g.serve(ctx, w, c)
}

// serve answers a call that has been read.
func (g *Gateway) serve(ctx context.Context, w http.ResponseWriter, c *call) {
	view, ok := g.targets.pool(c.route.Pool)
	if !ok {
		g.fail(w, c, noPool())
		return
	}
	if err := g.quotas.Allow(c.organisation.Name, c.route.QuotaPerSecond); err != nil {
		g.fail(w, c, failure.From(err))
		return
	}
	for {
		answer, release, err := g.serveOnce(ctx, c, view)
		if err == nil {
			defer release()
			g.relay(ctx, w, c, answer)
			return
		}
		found := c.noted(failure.From(err))
		if !g.mayWait(c, found) || !g.waitOut(ctx, found) {
			g.fail(w, c, found)
			return
		}
	}
}

// serveOnce waits for a place and gets an answer; release gives the place back.
func (g *Gateway) serveOnce(ctx context.Context, c *call, view *poolView) (*answer, func(), error) {
	release, err := view.queue.Enter(ctx, admit.Request{
		Organisation: c.organisation.Name, Class: c.class, Weight: c.weight(), Cost: c.cost(),
	})
	if err != nil {
		return nil, nil, err
	}
	result, err := g.dispatch(ctx, c, view)
	if err != nil {
		release()
		return nil, nil, err
	}
	return result, release, nil
}

// rejoinTime bounds the wait for a pool none of whose targets can be reached or
// may start work: a lost link is dialled again, and a restarted agent is back,
// within a heartbeat's time-out and a little more.
const rejoinTime = link.DefaultHeartbeatTimeout + 500*time.Millisecond

// mayWait tells whether a request that no target took goes back to the queue: it
// may be sent again, for it did not run or is idempotent, its deadline leaves
// time for the targets to take it, and they are likely to be back soon.
func (g *Gateway) mayWait(c *call, err *failure.Error) bool {
	if c.mayHaveRun && !c.route.Idempotent {
		return false
	}
	now := g.clock.Now()
	if !err.FromGate && !c.mayRejoin(err, now) {
		return false
	}
	return c.deadline.Sub(now) > 2*err.RetryAfter
}

// waitOut lets the time pass that a refusal asked for. A full gate asks for
// none: the queue's capacity holds the request until a target reports room.
func (g *Gateway) waitOut(ctx context.Context, err *failure.Error) bool {
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

// fail answers with a typed failure, at once.
func (g *Gateway) fail(w http.ResponseWriter, c *call, err *failure.Error) {
	g.metrics.Failure(string(err.Kind))
	if err.Cause != nil {
		g.log.WithError(err.Cause).WithField("type", string(err.Kind)).Debug("request failed")
	}
	g.finish(c, err.Outcome)
	WriteFailure(w, err)
}

// finish records the end of a call; a request that never became a call has no
// organisation to count it under.
func (g *Gateway) finish(c *call, outcome failure.Outcome) {
	if c == nil || c.route == nil {
		return
	}
	g.metrics.Request(c.organisation.Name, string(c.class), string(outcome), g.clock.Since(c.started))
}
