package order

import (
	"context"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
)

// endDone records the result and ends the call with it, even if it cannot be
// recorded now: the agent keeps it, and the order can have no other result.
func (c *call) endDone(ctx context.Context, reply Reply) step {
	attempt := c.current.record.attempt()
	stored := *reply.Result
	if len(stored.Body) > c.config.MaxResultBytes {
		stored.Body, stored.Omitted = nil, true
	}
	if c.applyChange(ctx, Change{Kind: ChangeFinish, Nonce: attempt.Nonce, Result: &stored}) {
		c.config.Dispatcher.Release(ctx, attempt)
	}
	return step{done: true, answer: Answer{Result: *reply.Result}}
}

// endWithError ends the call with err. If the last attempt is known never to
// run, that is recorded first.
func (c *call) endWithError(ctx context.Context, err *failure.Error) step {
	if c.confirmedNotRun {
		c.applyChange(ctx, Change{Kind: ChangeMarkNotRun, Nonce: c.current.record.Nonce})
	}
	return fail(err)
}

// endUnknown records that the outcome is unknown, or ends the call with the
// result if the record holds one by now.
func (c *call) endUnknown(ctx context.Context) step {
	previous := c.current.record
	c.applyChange(ctx, Change{Kind: ChangeMarkUnknown, Nonce: previous.Nonce})
	latest := c.current.record
	sameRecord := latest.Created.Equal(previous.Created) && latest.Fingerprint == previous.Fingerprint
	if latest.State == StateDone && sameRecord {
		return c.answerRecorded(latest)
	}
	return unknownStep()
}

func unknownStep() step {
	return fail(failure.New(failure.OutcomeUnknown, failure.Unknown, "nobody can tell whether the order ran"))
}

// answerRecorded ends the call with the recorded result.
func (c *call) answerRecorded(record Record) step {
	if record.Result.Omitted {
		return fail(failure.New(failure.IncompleteAnswer, failure.Done, "the order ran; its answer was too large to keep"))
	}
	return step{done: true, answer: Answer{Result: *record.Result, Repeated: true}}
}

// maxChangeWrites bounds the writes of one change.
const maxChangeWrites = 3

// applyChange applies a change to the record, best effort, and leaves the row's
// last known content in c.current. It reports whether the row reflects the
// change.
func (c *call) applyChange(ctx context.Context, change Change) bool {
	if !c.hasRecord() {
		return true
	}
	ctx = context.WithoutCancel(ctx)
	for range maxChangeWrites {
		next, err := Apply(c.current.record, change)
		if err != nil {
			return c.current.record.Nonce == change.Nonce && c.current.record.State == StateDone && change.Kind == ChangeFinish
		}
		written := c.writeRecord(ctx, next)
		switch written.Effect {
		case EffectWritten:
			c.current = versionedRecord{next, written.Revision}
			return true
		case EffectConflict:
			if !c.loadRow(written.Row) {
				return false
			}
		default:
			return false
		}
	}
	return false
}

// loadRow decodes a row into c.current; it returns false if the row is absent or
// corrupt.
func (c *call) loadRow(row platform.Row) bool {
	if row.Revision.IsAbsent() {
		return false
	}
	record, err := Decode(row.Value)
	if err != nil {
		return false
	}
	c.current = versionedRecord{record, row.Revision}
	return true
}

// startFollowUp continues to resolve the current attempt after the caller has
// been answered, so that the result gets recorded. It does nothing if
// MaxFollowUps are under way.
func (c *call) startFollowUp() {
	if !c.hasRecord() {
		return
	}
	select {
	case c.followUps <- struct{}{}:
	default:
		return
	}
	followUp := &call{Coordinator: c.Coordinator, request: c.request, current: c.current}
	c.spawn(func() {
		defer func() { <-c.followUps }()
		followUp.recordLateOutcome()
	})
}

// recordLateOutcome records the outcome of an order whose caller is no longer
// waiting.
func (c *call) recordLateOutcome() {
	ctx := context.Background()
	attempt := c.current.record.attempt()
	reply := c.tombstoneUntil(ctx, attempt, c.clock.Now().Add(c.config.FollowUpDuration))
	switch reply.State {
	case ExecutionDone:
		c.endDone(ctx, reply)
	case ExecutionNeverStarts:
		c.applyChange(ctx, Change{Kind: ChangeMarkNotRun, Nonce: attempt.Nonce})
	case ExecutionOutcomeUnknown, ExecutionIncarnationGone, ExecutionForgotten:
		c.applyChange(ctx, Change{Kind: ChangeMarkUnknown, Nonce: attempt.Nonce})
	}
}
