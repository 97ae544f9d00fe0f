package gateway

import (
	"net/http"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/prompt"
	"verbenaseam.example/verbenaseam/request/stream"
	"verbenaseam.example/verbenaseam/version/table"
)

// call is one request of a caller on its way through the gateway. It is used by
// the request's goroutines alone and changes only while it is read.
type call struct {
	id           string
	organisation *table.Organisation
	snapshot     *table.Snapshot
	route        *table.Route
	class        table.Class
	method, path string
	header       http.Header
	body         []byte
	prompt       prompt.Prompt
	key          string
	fingerprint  uint64
	started      time.Time
	deadline     time.Time
	// mayHaveRun tells that an attempt ended without the word that it did not run.
	mayHaveRun bool
	// unreachable is when the call first found no target that may start work.
	unreachable time.Time
}

// head is what an agent is told of the call; the target and the remaining time
// are set for each attempt.
func (c *call) head() *stream.RequestHead {
	return &stream.RequestHead{
		RequestID:    c.id,
		Organisation: c.organisation.Name,
		Class:        string(c.class),
		Method:       c.method,
		Path:         c.path,
		Header:       stream.FieldsOf(c.header),
		Fingerprint:  c.fingerprint,
		Pool:         c.route.Pool,
	}
}

// weight is the organisation's share under contention.
func (c *call) weight() float64 {
	if c.organisation.Weight > 0 {
		return c.organisation.Weight
	}
	return 1
}

// cost estimates the work of the call in tokens.
func (c *call) cost() float64 {
	if c.prompt.Cost > 0 {
		return c.prompt.Cost
	}
	return 1
}

// deadlinePassed is the failure of a call whose time ran out.
// noted remembers whether the call may have run, and returns the failure with the
// outcome of all attempts so far: the last may not have run, and one before may.
func (c *call) noted(err *failure.Error) *failure.Error {
	if err.Outcome != failure.NotRun {
		c.mayHaveRun = true
	}
	if !c.mayHaveRun || err.Outcome != failure.NotRun {
		return err
	}
	copied := *err
	copied.Outcome = failure.Unknown
	return &copied
}

// mayRejoin tells whether a call for which there was no target waits for one.
func (c *call) mayRejoin(err *failure.Error, now time.Time) bool {
	if err.Kind != failure.NoTarget && err.Kind != failure.NotReady {
		return false
	}
	if c.unreachable.IsZero() {
		c.unreachable = now
	}
	return now.Sub(c.unreachable) < rejoinTime
}

func deadlinePassed(outcome failure.Outcome) *failure.Error {
	return failure.New(failure.DeadlineExceeded, outcome, "the request's time ran out")
}
