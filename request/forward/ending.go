package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/finish"
)

// EndBy announces the end of the process. From then on calls that cannot be finished by it are
// refused before they are passed on.
func (h *Handler) EndBy(ending finish.Ending) { h.guard.EndBy(ending) }

// End ends all calls: those that have no response yet get a failure, streams are cut off after
// their last whole event.
func (h *Handler) End() { h.guard.End() }

// Unfinished returns the attempts that have not ended, the oldest first.
func (h *Handler) Unfinished() []*finish.Run { return h.guard.Unfinished() }

// finishWork returns by what the time is estimated that a request takes.
func finishWork(r *http.Request, route string) finish.Work {
	return finish.Work{Route: route, Resource: xxhash.Sum64String(r.Host + r.RequestURI)}
}

// elsewhereRetryAfter is the Retry-After of calls that another entry may serve at once.
const elsewhereRetryAfter = 10 * time.Millisecond

// unfinishable returns the failure of a call that cannot be finished before the process ends.
func unfinishable(c *call) *failure.Error {
	return failure.New(failure.Leaving, c.attempts.Outcome(), finish.ErrProcessEnds.Error()).WithRetryAfter(elsewhereRetryAfter)
}

// refuseUnfinishable returns the failure of a call that could not be finished before the process
// ends if it were passed on now, or nil. A stream that has begun goes on as long as the process.
func (h *Handler) refuseUnfinishable(c *call) *failure.Error {
	if c.resuming || h.guard.Allows(finish.Request{Work: c.finishWork, Deadline: c.deadline, Repeatable: c.route.Idempotent}) {
		return nil
	}
	return unfinishable(c)
}

// processEnds reports whether a call's context has ended because the process ends.
func processEnds(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), finish.ErrProcessEnds)
}
