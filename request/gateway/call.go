package gateway

import (
	"net/http"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/prompt"
	"verbenaseam.example/verbenaseam/request/stream"
	"verbenaseam.example/verbenaseam/version/table"
)

// call is one caller's request in the gateway. Only the goroutines of that
// request use it. Its fields are set while the request is being read, except
// mayHaveRun and unreachableSince.
type call struct {
	id             string
	organisation   *table.Organisation
	snapshot       *table.Snapshot
	route          *table.Route
	class          table.Class
	method, path   string
	header         http.Header
	body           []byte
	prompt         prompt.Prompt
	idempotencyKey string
	fingerprint    uint64
	started        time.Time
	deadline       time.Time
	// mayHaveRun is set once an attempt has ended without confirmation that it
	// did not run.
	mayHaveRun bool
	// unreachableSince is when the call first found no target that may start
	// work.
	unreachableSince time.Time
}

// head returns the request head for an agent, without the target and the
// remaining time, which are set for each attempt.
func (c *call) head() *stream.RequestHead {
	return &stream.RequestHead{
		RequestID:    c.id,
		Organisation: c.organisation.Name,
		Class:        string(c.class),
		Method:       c.method,
		Path:         c.path,
		Header:       stream.ForwardedFields(c.header),
		Fingerprint:  c.fingerprint,
		Pool:         c.route.Pool,
	}
}

// weight returns the organisation's fair-share weight, 1 by default.
func (c *call) weight() float64 {
	if c.organisation.Weight > 0 {
		return c.organisation.Weight
	}
	return 1
}

// cost returns the estimated work of the call in tokens, 1 if it is not known.
func (c *call) cost() float64 {
	if c.prompt.Cost > 0 {
		return c.prompt.Cost
	}
	return 1
}

// recordOutcome records whether the call may have run, and returns the failure
// with the combined outcome of all attempts so far: even if the last attempt
// did not run, an earlier one may have.
func (c *call) recordOutcome(err *failure.Error) *failure.Error {
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

// mayAwaitTarget reports whether a call that failed with err may wait for a
// target to become available. It may do so for maxTargetWait from the first time
// that it found none.
func (c *call) mayAwaitTarget(err *failure.Error, now time.Time) bool {
	if err.Kind != failure.NoTarget && err.Kind != failure.NotReady {
		return false
	}
	if c.unreachableSince.IsZero() {
		c.unreachableSince = now
	}
	return now.Sub(c.unreachableSince) < maxTargetWait
}

// deadlineExceeded returns the failure of a call whose time ran out.
func deadlineExceeded(outcome failure.Outcome) *failure.Error {
	return failure.New(failure.DeadlineExceeded, outcome, "the request's time ran out")
}
