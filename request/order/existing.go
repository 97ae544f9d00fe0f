package order

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
)

// handleExisting continues a call whose key already has a row, or had one when
// the write was rejected.
func (c *call) handleExisting(ctx context.Context, row platform.Row) step {
	c.recordKnown, c.confirmedNotRun = false, false
	if row.Revision.IsAbsent() {
		return c.handleAbsent()
	}
	if !c.loadRow(row) {
		return fail(failure.New(failure.Internal, failure.Unknown, "the order record cannot be read"))
	}
	record := c.current.record
	if record.Expired(c.clock.Now()) {
		return proceed // an expired record proves nothing; recordKnown stays unset
	}
	c.recordKnown = true
	if record.Fingerprint != c.request.Fingerprint {
		return fail(failure.New(failure.IdempotencyConflict, failure.NotRun, "the idempotency key was used with another request"))
	}
	switch record.State {
	case StateDone:
		return c.answerRecorded(record)
	case StateUnknown:
		return unknownStep()
	case StateNotRun:
		return proceed
	default:
		return c.waitForAttempt(ctx)
	}
}

// handleAbsent continues a call whose row is gone. A sweep deletes only expired records; any
// other one was lost with an older copy of the platform, and its attempt may have run.
func (c *call) handleAbsent() step {
	lost := c.current.record
	c.current = versionedRecord{}
	if lost.State == StateDispatched && !lost.Expired(c.clock.Now()) {
		return unknownStep()
	}
	return proceed
}

// waitForAttempt waits for the end of an attempt made by another call. While the
// record does not change, it queries the agent from QueryAfter on; from
// OrphanAfter on it requests a tombstone if the agent has not seen the attempt.
func (c *call) waitForAttempt(ctx context.Context) step {
	start := c.clock.Now()
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		remaining := c.remaining()
		if remaining <= 0 || ctx.Err() != nil || c.sleepWithJitter(ctx, min(interval, remaining)) != nil {
			return fail(failure.New(failure.IdempotencyInProgress, failure.Unknown, "another call with this key is in progress"))
		}
		row, changed := c.pollRecord(ctx)
		if changed {
			return c.handleExisting(ctx, row)
		}
		waited := c.clock.Now().Sub(start)
		if waited < c.config.QueryAfter || c.remaining() <= 0 {
			continue
		}
		if reply := c.queryAgent(ctx, waited); reply.State.final() {
			return c.handleReply(ctx, reply)
		}
	}
}

// pollRecord reads the row and reports whether it changed; a failed read counts
// as no change.
func (c *call) pollRecord(ctx context.Context) (platform.Row, bool) {
	row, _, err := c.readRow(ctx)
	if err != nil {
		return platform.Row{}, false
	}
	return row, row.Revision != c.current.revision
}

// readRow returns the order's row and whether it exists.
func (c *call) readRow(ctx context.Context) (platform.Row, bool, error) {
	return c.config.Reader.Read(ctx, RowKey(c.request.Organisation, c.request.Key))
}

// queryAgent asks the agent for the state of the current attempt. Once the call
// has waited for OrphanAfter, it requests a tombstone for an attempt that the
// agent has not seen. A failed query returns ExecutionAbsent.
func (c *call) queryAgent(ctx context.Context, waited time.Duration) Reply {
	attempt := c.current.record.attempt()
	timeout := min(c.remaining(), agentCallTimeout)
	reply, err := c.config.Dispatcher.Query(ctx, attempt, timeout)
	if err != nil {
		return Reply{}
	}
	if reply.State != ExecutionAbsent || waited < c.config.OrphanAfter {
		return reply
	}
	reply, err = c.config.Dispatcher.Tombstone(ctx, attempt, timeout)
	if err != nil {
		return Reply{}
	}
	return reply
}
