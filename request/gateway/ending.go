package gateway

import (
	"context"
	"errors"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/finish"
)

// EndBy announces the end of the process. From then on calls that cannot be finished by it are
// refused before they are passed on.
func (g *Gateway) EndBy(ending finish.Ending) { g.guard.EndBy(ending) }

// End ends all calls: those that have no response yet get a failure, streams are cut off.
func (g *Gateway) End() { g.guard.End() }

// Unfinished returns the calls that were passed on and have not ended, the oldest first.
func (g *Gateway) Unfinished() []*finish.Run { return g.guard.Unfinished() }

// unfinishable returns the failure of a call that cannot be finished before the process ends.
func unfinishable(outcome failure.Outcome) *failure.Error {
	return failure.New(failure.Leaving, outcome, finish.ErrProcessEnds.Error()).WithRetryAfter(defaultRetryAfter)
}

// refuseUnfinishable returns the failure of a call that could not be finished before the process
// ends if it were passed on now, or nil.
func (g *Gateway) refuseUnfinishable(c *call) error {
	if g.guard.Allows(finish.Request{Work: c.finishWork(), Deadline: c.deadline, Repeatable: c.route.Idempotent}) {
		return nil
	}
	return unfinishable(failure.NotRun)
}

// finishWork returns by what the time is estimated that a call takes.
func (c *call) finishWork() finish.Work {
	return finish.Work{Route: c.route.Name, Resource: c.fingerprint}
}

// explainEnd replaces the failure of a call that ran out of time because the process ends.
func explainEnd(ctx context.Context, err *failure.Error) *failure.Error {
	if err.Kind == failure.DeadlineExceeded && errors.Is(context.Cause(ctx), finish.ErrProcessEnds) {
		return unfinishable(err.Outcome)
	}
	return err
}
