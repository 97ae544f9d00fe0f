package gateway

import (
	"context"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/poison"
)

// awaitAssessment waits until a request with the call's fingerprint may run, or
// returns the failure that refuses it. It does not wait past the call's deadline.
func (g *Gateway) awaitAssessment(ctx context.Context, c *call) (poison.Assessment, error) {
	for {
		assessment := g.poison.Assess(c.fingerprint)
		refusal := assessment.Failure(g.clock.Now())
		if refusal == nil {
			return assessment, nil
		}
		if assessment.Level != poison.Held || !assessment.Until.Before(c.deadline) {
			return assessment, refusal
		}
		select {
		case <-g.clock.After(assessment.Until.Sub(g.clock.Now())):
		case <-ctx.Done():
			return assessment, deadlineExceeded(failure.NotRun)
		}
	}
}

// dispatchOnTrial sends a suspected request to its trial target in a single
// attempt, so that it cannot crash a second target.
func (g *Gateway) dispatchOnTrial(ctx context.Context, c *call, view *poolView, assessment poison.Assessment) (*targetResponse, error) {
	linked := []string{}
	for _, state := range view.set.States() {
		if _, ok := g.links.Get(state.Name()); ok {
			linked = append(linked, state.Name())
		}
	}
	name, ok := poison.TrialTarget(c.fingerprint, linked, assessment.Crashed)
	if !ok {
		return nil, noTarget()
	}
	state := view.set.Find(name)
	g.metrics.CountAttempt("trial")
	response, err := g.attempt(ctx, c, state, true)
	if err != nil {
		g.recordRefusal(view, state, err)
		g.log.WithField("request", c.id).WithError(err).Info("suspected request failed on trial")
		// The agent reports a crash before it fails the stream, so the next
		// assessment takes it into account: a second crash on trial refuses the
		// request.
		return nil, markRequeueable(failure.From(err), true)
	}
	return response, nil
}

// recordCompletion records a complete response, which clears the suspicion
// against the request.
func (g *Gateway) recordCompletion(c *call) {
	if g.poison.Completed(c.fingerprint) {
		g.shareEvidence()
	}
}
