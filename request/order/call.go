package order

import (
	"context"
	"errors"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
)

// versionedRecord is a record with the revision of its row.
type versionedRecord struct {
	record   Record
	revision platform.Revision
}

// call is the processing of one request for an order at one entry.
type call struct {
	*Coordinator
	request  Request
	deadline time.Time
	// current is the record as last written or read by this call.
	// confirmedNotRun is set once it is certain that the attempt in current
	// never runs.
	current         versionedRecord
	confirmedNotRun bool
	// recordKnown is set once this call knows the record of the key. Until then
	// it cannot report that the order did not run, because an earlier call may
	// have run it.
	recordKnown bool
	// attempts counts the attempts made by this call; excluded holds the targets
	// that did not run them.
	attempts int
	excluded []string
	// lastReply is the agent's reply that ended the last attempt.
	lastReply Reply
}

// step is the result of one stage of a call: the call has ended with an answer
// or an error, or goes on.
type step struct {
	done   bool
	answer Answer
	err    error
}

func fail(err *failure.Error) step { return step{done: true, err: err} }

// proceed is the step of a call that goes on with the next attempt.
var proceed = step{}

// remaining returns the time left until the call's deadline.
func (c *call) remaining() time.Duration { return c.deadline.Sub(c.clock.Now()) }

// run makes attempts until one of them ends the call.
func (c *call) run(ctx context.Context) (Answer, error) {
	for {
		result := c.makeAttempt(ctx)
		if result.done {
			return result.answer, result.err
		}
	}
}

// makeAttempt records one attempt and dispatches it.
func (c *call) makeAttempt(ctx context.Context) step {
	if result := c.checkLimits(ctx); result.done {
		return result
	}
	placement, err := c.config.Dispatcher.Place(ctx, c.request, c.excluded)
	if err != nil {
		return c.endNoTarget(ctx, err)
	}
	next, err := Apply(c.current.record, c.attemptChange(placement))
	if err != nil {
		return fail(failure.New(failure.Internal, failure.NotRun, "the order record cannot take an attempt").WithCause(err))
	}
	c.attempts++
	written := c.writeRecord(ctx, next)
	switch written.Effect {
	case EffectWritten:
		c.current, c.confirmedNotRun, c.recordKnown = versionedRecord{next, written.Revision}, false, true
		return c.dispatch(ctx)
	case EffectConflict:
		return c.handleExisting(ctx, written.Row)
	case EffectNone:
		return fail(failure.New(failure.PlatformUnavailable, failure.NotRun, "the order cannot be recorded; this request did not run").WithCause(written.Cause))
	default:
		return c.endUncertainWrite(ctx, next, written.Cause)
	}
}

// checkLimits ends a call that has no time or no attempts left. Past its
// deadline a call reports an unknown outcome, because the process may have been
// paused for longer than the lifetime of a record.
func (c *call) checkLimits(ctx context.Context) step {
	const message = "no time was left for the order"
	remaining := c.remaining()
	switch {
	case ctx.Err() != nil || remaining <= 0:
		return c.endWithError(ctx, failure.New(failure.DeadlineExceeded, failure.Unknown, message))
	case c.confirmedNotRun && remaining < minRetryTime:
		return c.endWithError(ctx, failure.New(failure.DeadlineExceeded, failure.NotRun, message))
	case c.attempts >= c.config.MaxAttempts:
		refusal := failure.New(failure.Overloaded, failure.NotRun, "no target took the order: "+c.lastReply.Reason)
		return c.endWithError(ctx, refusal.WithRetryAfter(c.lastReply.RetryAfter))
	default:
		return proceed
	}
}

// endNoTarget ends a call for which there is no target. If the record has not
// been read yet, it is read first, since a recorded answer needs no target.
func (c *call) endNoTarget(ctx context.Context, cause error) step {
	if !c.recordKnown {
		row, found, err := c.readRow(ctx)
		if err == nil && found {
			return c.handleExisting(ctx, row)
		}
		c.recordKnown = err == nil
	}
	outcome := failure.NotRun
	if !c.recordKnown || c.remaining() <= 0 {
		outcome = failure.Unknown
	}
	return c.endWithError(ctx, failure.New(failure.NoTarget, outcome, "no target can take the order").WithCause(cause))
}

// attemptChange returns the change that adds the next attempt to the record.
func (c *call) attemptChange(placement Placement) Change {
	now := c.clock.Now()
	change := Change{
		Kind:            ChangeInsert,
		Nonce:           c.current.record.Nonce,
		ConfirmedNotRun: c.confirmedNotRun,
		Now:             now,
		Next: NextAttempt{
			Nonce:        c.config.NewNonce(),
			Placement:    placement,
			NotAfter:     placement.AgentTime + c.startWindow(now),
			Organisation: c.request.Organisation,
			Key:          c.request.Key,
			Fingerprint:  c.request.Fingerprint,
			Expires:      now.Add(c.config.Retention),
		},
	}
	if c.current.record.State != StatePending && !c.current.record.Expired(now) {
		change.Kind = ChangeRetry
	}
	return change
}

// startWindow returns the duration within which the next attempt may start. It
// is at most MaxStartWindow and ends no later than the call's deadline and, if
// there is an unexpired record, no later than the record's expiry.
func (c *call) startWindow(now time.Time) time.Duration {
	window := min(c.deadline.Sub(now), c.config.MaxStartWindow)
	if record := c.current.record; record.State != StatePending && !record.Expired(now) {
		window = min(window, record.Expires.Sub(now))
	}
	return window
}

// writeRecord writes the record if the order's row is still at the known
// revision.
func (c *call) writeRecord(ctx context.Context, record Record) WriteResult {
	content, err := record.Encode()
	if err != nil {
		return WriteResult{Effect: EffectNone, Cause: err}
	}
	return c.config.Writer.Write(ctx, Write{
		Key:      RowKey(record.Organisation, record.Key),
		Revision: c.current.revision,
		Content:  content,
	})
}

// dispatch sends the recorded attempt to its agent and handles the reply. Part
// of the remaining time is held back to resolve a dispatch that does not return.
func (c *call) dispatch(ctx context.Context) step {
	attempt := c.current.record.attempt()
	timeout := c.remaining()
	timeout -= min(timeout/resolveReserveDivisor, maxResolveReserve)
	if timeout <= 0 {
		return c.handleReply(ctx, Reply{State: ExecutionNeverStarts, Reason: "no time was left"})
	}
	reply, err := c.config.Dispatcher.Dispatch(ctx, Dispatch{Attempt: attempt, Payload: c.request.Payload, Timeout: timeout})
	switch {
	case errors.Is(err, ErrNotSent):
		reply = Reply{State: ExecutionNeverStarts, Reason: "the target cannot be reached"}
	case err != nil || !reply.State.final():
		reply = c.resolve(ctx, attempt)
	}
	return c.handleReply(ctx, reply)
}

// final reports whether the state can no longer change.
func (s ExecutionState) final() bool { return s != ExecutionAbsent && s != ExecutionRunning }

// resolve determines the state of an attempt whose dispatch did not return: it
// prevents the attempt from starting, or waits for its end until the call's
// deadline.
func (c *call) resolve(ctx context.Context, attempt Attempt) Reply {
	return c.tombstoneUntil(ctx, attempt, c.deadline)
}

// tombstoneUntil requests a tombstone repeatedly until the attempt's state is
// final or the given time is reached. It returns the last known state.
func (c *call) tombstoneUntil(ctx context.Context, attempt Attempt, until time.Time) Reply {
	var last Reply
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		remaining := until.Sub(c.clock.Now())
		if remaining <= 0 || ctx.Err() != nil {
			return last
		}
		reply, err := c.config.Dispatcher.Tombstone(ctx, attempt, min(remaining, agentCallTimeout))
		if err == nil {
			last = reply
		}
		if last.State.final() {
			return last
		}
		if c.sleepWithJitter(ctx, min(interval, remaining)) != nil {
			return last
		}
	}
}

// sleepWithJitter sleeps for half of wait plus a random part of the other half.
func (c *call) sleepWithJitter(ctx context.Context, wait time.Duration) error {
	half := wait / 2
	return c.clock.Sleep(ctx, half+time.Duration(c.config.Random()*float64(half)))
}

// handleReply ends or continues the call according to the agent's reply about
// the current attempt.
func (c *call) handleReply(ctx context.Context, reply Reply) step {
	switch reply.State {
	case ExecutionDone:
		return c.endDone(ctx, reply)
	case ExecutionNeverStarts:
		c.confirmedNotRun, c.lastReply = true, reply
		c.excluded = append(c.excluded, c.current.record.Target)
		return proceed
	case ExecutionOutcomeUnknown, ExecutionIncarnationGone, ExecutionForgotten:
		return c.endUnknown(ctx)
	default:
		c.startFollowUp()
		return fail(failure.New(failure.DeadlineExceeded, failure.Unknown, "the order had not ended in time"))
	}
}

// endUncertainWrite ends a call that cannot tell whether its record was written.
// The attempt has not been dispatched; the agent's tombstone guarantees that it
// never runs.
func (c *call) endUncertainWrite(ctx context.Context, next Record, cause error) step {
	reply := c.tombstoneUntil(ctx, next.attempt(), c.deadline)
	if reply.State == ExecutionNeverStarts {
		return fail(failure.New(failure.PlatformUnavailable, failure.NotRun, "the order cannot be recorded").WithCause(cause))
	}
	return fail(failure.New(failure.OutcomeUnknown, failure.Unknown, "the order's record is in doubt").WithCause(cause))
}

// runUnrecorded runs an order without an idempotency key at most once, in a
// single attempt.
func (c *call) runUnrecorded(ctx context.Context) (Answer, error) {
	placement, err := c.config.Dispatcher.Place(ctx, c.request, nil)
	if err != nil {
		return Answer{}, failure.New(failure.NoTarget, failure.NotRun, "no target can take the order").WithCause(err)
	}
	nonce := c.config.NewNonce()
	c.current.record = Record{
		Organisation: c.request.Organisation,
		Key:          unrecordedKeyPrefix + nonce,
		State:        StateDispatched,
		Attempt:      1,
		Fingerprint:  c.request.Fingerprint,
	}
	c.current.record.setAttempt(NextAttempt{
		Nonce:     nonce,
		Placement: placement,
		NotAfter:  placement.AgentTime + c.startWindow(c.clock.Now()),
	})
	result := c.dispatch(ctx)
	if result.done {
		return result.answer, result.err
	}
	refusal := failure.New(failure.Overloaded, failure.NotRun, "the target did not take the order: "+c.lastReply.Reason)
	return Answer{}, refusal.WithRetryAfter(c.lastReply.RetryAfter)
}

// unrecordedKeyPrefix starts the keys under which agents track orders without an
// idempotency key. It cannot clash with a caller's key, which holds no control
// characters.
const unrecordedKeyPrefix = "\x00"

// hasRecord reports whether the order is recorded in a row, which requires an
// idempotency key.
func (c *call) hasRecord() bool { return c.request.Key != "" }
