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

// tokensPerBlock is the prefill work, in tokens, that one cached block saves.
const tokensPerBlock = prompt.BlockBytes / 4

// dispatch obtains a response for a call. It tries the fallback pool of the
// route if an idempotent call found no target or no capacity in the first pool.
func (g *Gateway) dispatch(ctx context.Context, c *call, view *poolView) (*targetResponse, error) {
	if !c.route.Idempotent {
		if _, err := g.awaitAssessment(ctx, c); err != nil {
			return nil, err
		}
		return g.dispatchOrder(ctx, c)
	}
	response, err := g.dispatchWithRetries(ctx, c, view)
	if err == nil || !mayUseFallback(failure.From(err)) || ctx.Err() != nil {
		return response, err
	}
	fallback, ok := g.targets.pool(c.route.FallbackPool)
	if !ok {
		return nil, err
	}
	c.recordOutcome(failure.From(err))
	return g.dispatchWithRetries(ctx, c, fallback)
}

// mayUseFallback reports whether the failure means that the pool had no
// capacity or no target for the request, so that the fallback pool is worth
// trying.
func mayUseFallback(err *failure.Error) bool {
	switch err.Kind {
	case failure.NoTarget, failure.Overloaded, failure.Leaving, failure.NotReady:
		return true
	}
	return false
}

// dispatchWithRetries obtains a response from one pool, within the pool's retry
// budget.
func (g *Gateway) dispatchWithRetries(ctx context.Context, c *call, view *poolView) (*targetResponse, error) {
	assessment, err := g.awaitAssessment(ctx, c)
	if err != nil {
		return nil, err
	}
	if assessment.Level == poison.OnTrial {
		return g.dispatchOnTrial(ctx, c, view, assessment)
	}
	policy := g.policy(c, view)
	// gateFull is set once an admission gate has refused the call for lack of
	// capacity.
	var gateFull atomic.Bool
	response, report, err := retry.Do(ctx, g.environment, policy, func(ctx context.Context, info retry.AttemptInfo) (*targetResponse, error) {
		g.metrics.CountAttempt(attemptKind(info))
		response, err := g.attemptUntried(ctx, c, view, info, gateFull.Load())
		if err != nil && failure.From(err).RejectedByGate {
			gateFull.Store(true)
		}
		return response, err
	}, discardResponse)
	g.metrics.SetRetryBudget(view.retryState.budget.Tokens())
	if err == nil {
		return response, nil
	}
	g.log.WithFields(logrus.Fields{
		"request": c.id, "attempts": report.Attempts, "gave_up": string(report.Reason),
	}).WithError(err).Info("no attempt succeeded")
	return nil, markRequeueable(failure.From(err), gateFull.Load())
}

// markRequeueable marks a retriable failure as a rejection by an admission gate
// if gateFull is set, which means that a gate without capacity used up some of
// the call's attempts. The call then goes back to the queue, as a call that was
// rejected by a gate does.
func markRequeueable(err *failure.Error, gateFull bool) error {
	if !gateFull || !retry.Retriable(err.Kind) {
		return err
	}
	marked := *err
	marked.RejectedByGate = true
	return &marked
}

// policy returns the retry policy of a call. Hedging is off while many targets
// fail at once, because the surviving targets need their capacity.
func (g *Gateway) policy(c *call, view *poolView) retry.Policy {
	policy := retry.Policy{
		MaxAttempts: retry.DefaultMaxAttempts,
		Deadline:    c.deadline,
		Backoff:     retry.Backoff{Base: retry.DefaultBackoffBase, Max: retry.DefaultBackoffMax},
		Budget:      view.retryState.budget,
		HedgeAfter:  view.retryState.latency.HedgeAfter(),
		Groups:      g.health,
	}
	if !g.hedgesAllowed(len(view.set.States())) {
		policy.HedgeAfter = 0
	}
	return policy
}

// hedgesAllowed reports whether few enough targets were lost recently for
// hedging.
func (g *Gateway) hedgesAllowed(targets int) bool {
	lost := g.health.CountRecentlyFailed(health.MassFailureWindow)
	return !health.Advise(lost, targets, health.Demand{}).MassFailure
}

// attemptUntried sends a call to one target that this request has not tried,
// preferably one that is not related to a tried target. gateFull reports that a
// tried target had no capacity.
func (g *Gateway) attemptUntried(ctx context.Context, c *call, view *poolView, info retry.AttemptInfo, gateFull bool) (*targetResponse, error) {
	state, ok := g.pick(c, view, func(s *pick.TargetState) bool { return info.Avoid.Excludes(s.Name()) })
	if !ok {
		state, ok = g.pick(c, view, func(s *pick.TargetState) bool { return info.Avoid.Tried(s.Name()) })
	}
	if !ok && gateFull {
		return nil, poolFull()
	}
	if !ok {
		return nil, noTarget()
	}
	info.SetTarget(state.Name())
	started := g.clock.Now()
	response, err := g.attempt(ctx, c, state, false)
	if err != nil {
		g.recordRefusal(view, state, err)
		return nil, err
	}
	view.retryState.latency.Record(g.clock.Since(started), g.clock.Now())
	return response, nil
}

// discardResponse cancels the response of an attempt that retry.Do no longer
// needs.
func discardResponse(response *targetResponse) {
	if response.stream != nil {
		response.stream.Cancel("another attempt won")
		response.finish(false)
	}
}

func attemptKind(info retry.AttemptInfo) string {
	switch {
	case info.Hedge:
		return "hedge"
	case info.Number > 0:
		return "retry"
	default:
		return "first"
	}
}

// pick chooses a target that has a live link and for which exclude returns
// false.
func (g *Gateway) pick(c *call, view *poolView, exclude func(*pick.TargetState) bool) (*pick.TargetState, bool) {
	query := pick.Query{
		PrefixHashes: c.prompt.PrefixHashes, Cost: c.cost(), BlockCost: tokensPerBlock,
		Random: rand.Uint64(), Now: g.targets.now(),
		Avoid: func(s *pick.TargetState) bool {
			if exclude(s) {
				return true
			}
			_, linked := g.links.Get(s.Name())
			return !linked
		},
	}
	return view.set.Pick(&query)
}

// recordRefusal updates the target's state and the queue's capacity if the
// target refused the request because it is overloaded.
func (g *Gateway) recordRefusal(view *poolView, state *pick.TargetState, err error) {
	failed := failure.From(err)
	if failed.Kind == failure.Overloaded && failed.Outcome == failure.NotRun {
		g.targets.RecordRefusal(view, state, failed.RetryAfter)
	}
}

// unknownPool returns the failure of a call whose pool is not in the snapshot
// in use.
func unknownPool() *failure.Error {
	return failure.New(failure.NoTarget, failure.NotRun, "the route's pool is not known here yet").WithRetryAfter(defaultRetryAfter)
}

// poolFull returns the failure of a call for which no gate of the pool had
// capacity.
func poolFull() *failure.Error {
	err := failure.New(failure.Overloaded, failure.NotRun, "no target of the pool has room for the request")
	err.RejectedByGate = true
	return err.WithRetryAfter(defaultRetryAfter)
}

// noTarget returns the failure of a call for which no target is available.
func noTarget() *failure.Error {
	return failure.New(failure.NoTarget, failure.NotRun, "no target of the pool can take the request").WithRetryAfter(defaultRetryAfter)
}
