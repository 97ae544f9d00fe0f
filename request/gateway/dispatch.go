package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/health"
	"verbenaseam.example/verbenaseam/request/pick"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/prompt"
	"verbenaseam.example/verbenaseam/request/retry"
)

// tokensPerBlock is the prefill work that one cached block saves.
const tokensPerBlock = prompt.BlockBytes / 4

// dispatch gets an answer for a call.
func (g *Gateway) dispatch(ctx context.Context, c *call, view *poolView) (*answer, error) {
	if !c.route.Idempotent {
		if _, err := g.cleared(ctx, c); err != nil {
			return nil, err
		}
		return g.dispatchOrder(ctx, c)
	}
	result, err := g.dispatchRetrying(ctx, c, view)
	if err == nil || !exhausted(failure.From(err)) || ctx.Err() != nil {
		return result, err
	}
	fallback, ok := g.targets.pool(c.route.FallbackPool)
	if !ok {
		return nil, err
	}
	c.noted(failure.From(err))
	return g.dispatchRetrying(ctx, c, fallback)
}

// exhausted tells that the pool had no room or no target for a request, which
// the fallback pool may have.
func exhausted(err *failure.Error) bool {
	switch err.Kind {
	case failure.NoTarget, failure.Overloaded, failure.Leaving, failure.NotReady:
		return true
	}
	return false
}

// dispatchRetrying gets an answer from one pool, under the pool's retry budget.
func (g *Gateway) dispatchRetrying(ctx context.Context, c *call, view *poolView) (*answer, error) {
	verdict, err := g.cleared(ctx, c)
	if err != nil {
		return nil, err
	}
	if verdict.Level == poison.Alone {
		return g.dispatchAlone(ctx, c, view, verdict)
	}
	policy := g.policy(c, view)
	// full is set once a gate has refused the call for want of room.
	var full atomic.Bool
	result, report, err := retry.Do(ctx, g.environment, policy, func(ctx context.Context, try retry.Try) (*answer, error) {
		g.metrics.Attempt(attemptKind(try))
		result, err := g.tryOnce(ctx, c, view, try, full.Load())
		if err != nil && failure.From(err).FromGate {
			full.Store(true)
		}
		return result, err
	}, discard)
	g.metrics.RetryBudget(view.shared.budget.Tokens())
	if err == nil {
		return result, nil
	}
	g.log.WithFields(logrus.Fields{
		"request": c.id, "attempts": report.Attempts, "gave_up": string(report.Reason),
	}).WithError(err).Info("request not answered")
	return nil, worthAnother(failure.From(err), full.Load())
}

// worthAnother marks the failure of a call some of whose attempts were used up
// by gates without room: it goes back to the queue like a refused one.
func worthAnother(err *failure.Error, full bool) error {
	if !full || !retry.Retriable(err.Kind) {
		return err
	}
	marked := *err
	marked.FromGate = true
	return &marked
}

// policy is how a call may be sent again. While many targets fail at once there
// are no hedges: the survivors need their capacity.
func (g *Gateway) policy(c *call, view *poolView) retry.Policy {
	policy := retry.Policy{
		MaxAttempts: retry.DefaultMaxAttempts,
		Deadline:    c.deadline,
		Backoff:     retry.Backoff{Base: retry.DefaultBackoffBase, Max: retry.DefaultBackoffMax},
		Budget:      view.shared.budget,
		HedgeAfter:  view.shared.latency.HedgeAfter(),
		Groups:      g.health,
	}
	if !g.hedgesAllowed(len(view.set.States())) {
		policy.HedgeAfter = 0
	}
	return policy
}

// hedgesAllowed tells whether few enough targets were lost lately.
func (g *Gateway) hedgesAllowed(targets int) bool {
	lost := g.health.Lost(health.MassSpan)
	return !health.Advise(lost, targets, health.Demand{}).Mass
}

// tryOnce sends a call to one target that this request has not tried; full
// tells that a tried one had no room.
func (g *Gateway) tryOnce(ctx context.Context, c *call, view *poolView, try retry.Try, full bool) (*answer, error) {
	state, ok := g.pick(c, view, func(s *pick.State) bool { return try.Avoid.Has(s.Name()) })
	if !ok {
		state, ok = g.pick(c, view, func(s *pick.State) bool { return try.Avoid.Tried(s.Name()) })
	}
	if !ok && full {
		return nil, allFull()
	}
	if !ok {
		return nil, noTarget()
	}
	try.Use(state.Name())
	started := g.clock.Now()
	result, err := g.attempt(ctx, c, state, false)
	if err != nil {
		g.noteFailure(view, state, err)
		return nil, err
	}
	view.shared.latency.Record(g.clock.Since(started), g.clock.Now())
	return result, nil
}

// discard drops the answer of an attempt that lost.
func discard(lost *answer) {
	if lost.rest != nil {
		lost.rest.Cancel("another attempt won")
		lost.end(false)
	}
}

func attemptKind(try retry.Try) string {
	switch {
	case try.Hedge:
		return "hedge"
	case try.Number > 0:
		return "retry"
	default:
		return "first"
	}
}

// pick chooses a target with a live link that is not to be avoided.
func (g *Gateway) pick(c *call, view *poolView, avoid func(*pick.State) bool) (*pick.State, bool) {
	query := pick.Query{
		Prefix: c.prompt.Prefix, Cost: c.cost(), BlockCost: tokensPerBlock,
		Random: rand.Uint64(), Now: g.targets.now(),
		Avoid: func(s *pick.State) bool {
			if avoid(s) {
				return true
			}
			_, linked := g.links.Get(s.Name())
			return !linked
		},
	}
	return view.set.Pick(&query)
}

// noteFailure lets the picker and the queue know of a refusal.
func (g *Gateway) noteFailure(view *poolView, state *pick.State, err error) {
	found := failure.From(err)
	if found.Kind == failure.Overloaded && found.Outcome == failure.NotRun {
		g.targets.Refused(view, state, found.RetryAfter)
	}
}

func noPool() *failure.Error {
	return failure.New(failure.NoTarget, failure.NotRun, "the route's pool is not known here yet").WithRetryAfter(defaultRetryAfter)
}

// allFull is the failure of a call that no gate of the pool had room for.
func allFull() *failure.Error {
	err := failure.New(failure.Overloaded, failure.NotRun, "no target of the pool has room for the request")
	err.FromGate = true
	return err.WithRetryAfter(defaultRetryAfter)
}

func noTarget() *failure.Error {
	return failure.New(failure.NoTarget, failure.NotRun, "no target of the pool can take the request").WithRetryAfter(defaultRetryAfter)
}
