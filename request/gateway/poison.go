package gateway

import (
	"context"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/poison"
)

// awaitVerdict waits until the call's fingerprint may run, or returns the
// failure that refuses it.
func (g *Gateway) awaitVerdict(ctx context.Context, c *call) (poison.Assessment, error) {
	for {
		verdict := g.poison.Assess(c.fingerprint)
		refusal := verdict.Failure(g.clock.Now())
		if refusal == nil {
			return verdict, nil
		}
		if verdict.Level != poison.Held || !verdict.Until.Before(c.deadline) {
			return verdict, refusal
		}
		select {
		case <-g.clock.After(verdict.Until.Sub(g.clock.Now())):
		case <-ctx.Done():
			return verdict, deadlineExceeded(failure.NotRun)
		}
	}
}

// dispatchOnTrial sends a suspected request to its trial target in a single
// attempt, so that it cannot crash a second target.
func (g *Gateway) dispatchOnTrial(ctx context.Context, c *call, view *poolView, verdict poison.Assessment) (*targetResponse, error) {
	linked := []string{}
	for _, state := range view.set.States() {
		if _, ok := g.links.Get(state.Name()); ok {
			linked = append(linked, state.Name())
		}
	}
	name, ok := poison.TrialTarget(c.fingerprint, linked, verdict.Crashed)
	if !ok {
		return nil, noTarget()
	}
	state := view.set.Find(name)
	g.metrics.CountAttempt("trial")
	result, err := g.attempt(ctx, c, state, true)
	if err != nil {
		g.recordRefusal(view, state, err)
		g.log.WithField("request", c.id).WithError(err).Info("suspected request failed on trial")
		// The agent reports a crash before it fails the stream, so the next
		// verdict takes it into account: a second crash on trial refuses the
		// request.
		return nil, markRequeueable(failure.From(err), true)
	}
	return result, nil
}

// recordCompletion records a complete response, which clears the suspicion
// against the request.
func (g *Gateway) recordCompletion(c *call) {
	if g.poison.Completed(c.fingerprint) {
		g.shareEvidence()
	}
}
