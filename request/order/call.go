package order

import (
	"context"
	"errors"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
)

// stored is a record with the revision of its row.
type stored struct {
	record   Record
	revision int64
}

// call is one run of one order at one entry.
type call struct {
	*Coordinator
	request  Request
	deadline time.Time
	// now is the record as this call knows it; with refused set, there is the
	// evidence that its attempt never runs.
	now     stored
	refused bool
	// consulted tells that this call knows the key's record. Before, it cannot
	// say that the order did not run: an earlier call may have run it.
	consulted bool
	// attempts counts those that this call has made; avoid names their targets.
	attempts int
	avoid    []string
	// last is the agent's word that ended the last attempt.
	last Reply
}

// step is where a call stands: at its end, or before another attempt.
type step struct {
	end    bool
	answer Answer
	err    error
}

func fail(err *failure.Error) step { return step{end: true, err: err} }

var again = step{}

// left returns the call's remaining time.
func (k *call) left() time.Duration { return k.deadline.Sub(k.clock.Now()) }

// run makes attempts until one of them ends the call.
func (k *call) run(ctx context.Context) (Answer, error) {
	for {
		at := k.attempt(ctx)
		if at.end {
			return at.answer, at.err
		}
	}
}

// attempt records one attempt and dispatches it.
func (k *call) attempt(ctx context.Context) step {
	if end := k.mayTry(ctx); end.end {
		return end
	}
	placement, err := k.config.Dispatcher.Place(ctx, k.request, k.avoid)
	if err != nil {
		return k.endNoTarget(ctx, err)
	}
	next, err := Apply(k.now.record, k.proposal(placement))
	if err != nil {
		return fail(failure.New(failure.Internal, failure.NotRun, "the order record cannot take an attempt").WithCause(err))
	}
	k.attempts++
	written := k.write(ctx, next)
	switch written.Effect {
	case EffectWritten:
		k.now, k.refused, k.consulted = stored{next, written.Revision}, false, true
		return k.dispatch(ctx)
	case EffectConflict:
		return k.meet(ctx, written.Row)
	case EffectNone:
		return fail(failure.New(failure.PlatformDown, failure.NotRun, "the order cannot be recorded; this request did not run").WithCause(written.Cause))
	default:
		return k.abandon(ctx, next, written.Cause)
	}
}

// mayTry ends a call that has no time or no attempt left. Past its deadline a
// call says nothing for sure: it may have been paused for longer than a record
// lives.
func (k *call) mayTry(ctx context.Context) step {
	const message = "no time was left for the order"
	left := k.left()
	switch {
	case ctx.Err() != nil || left <= 0:
		return k.endNotRun(ctx, failure.New(failure.DeadlineExceeded, failure.Unknown, message))
	case k.refused && left < retryTime:
		return k.endNotRun(ctx, failure.New(failure.DeadlineExceeded, failure.NotRun, message))
	case k.attempts >= k.config.MaxAttempts:
		refusal := failure.New(failure.Overloaded, failure.NotRun, "no target took the order: "+k.last.Reason)
		return k.endNotRun(ctx, refusal.WithRetryAfter(k.last.RetryAfter))
	default:
		return again
	}
}

// endNoTarget ends a call for which there is no target; a recorded answer needs
// none.
func (k *call) endNoTarget(ctx context.Context, cause error) step {
	if !k.consulted {
		row, found, err := k.read(ctx)
		if err == nil && found {
			return k.meet(ctx, row)
		}
		k.consulted = err == nil
	}
	outcome := failure.NotRun
	if !k.consulted || k.left() <= 0 {
		outcome = failure.Unknown
	}
	return k.endNotRun(ctx, failure.New(failure.NoTarget, outcome, "no target can take the order").WithCause(cause))
}

// proposal returns the change that makes the next attempt.
func (k *call) proposal(placement Placement) Change {
	now := k.clock.Now()
	change := Change{
		Kind:    ChangeInsert,
		Nonce:   k.now.record.Nonce,
		Refused: k.refused,
		Now:     now,
		Next: NextAttempt{
			Nonce:        k.config.NewNonce(),
			Placement:    placement,
			NotAfter:     placement.AgentTime + k.window(now),
			Organisation: k.request.Organisation,
			Key:          k.request.Key,
			Fingerprint:  k.request.Fingerprint,
			Expires:      now.Add(k.config.Retention),
		},
	}
	if k.now.record.State != StatePending && !k.now.record.Expired(now) {
		change.Kind = ChangeRetry
	}
	return change
}

// window returns the time in which the next attempt may start: not past the
// call's deadline, nor past the end of a record that has had attempts.
func (k *call) window(now time.Time) time.Duration {
	window := min(k.deadline.Sub(now), k.config.MaxWindow)
	if record := k.now.record; record.State != StatePending && !record.Expired(now) {
		window = min(window, record.Expires.Sub(now))
	}
	return window
}

// write sets the order's row to the record if it is at the known revision.
func (k *call) write(ctx context.Context, record Record) Written {
	content, err := record.Encode()
	if err != nil {
		return Written{Effect: EffectNone, Cause: err}
	}
	return k.config.Writer.Write(ctx, Write{
		Row:      RowKey(record.Organisation, record.Key),
		Revision: k.now.revision,
		Content:  content,
	})
}

// dispatch sends the recorded attempt to its agent.
func (k *call) dispatch(ctx context.Context) step {
	attempt := k.now.record.attempt()
	timeout := k.left()
	timeout -= min(timeout/resolveShare, resolveMost)
	if timeout <= 0 {
		return k.conclude(ctx, Reply{State: ExecutionNever, Reason: "no time was left"})
	}
	reply, err := k.config.Dispatcher.Dispatch(ctx, Dispatch{Attempt: attempt, Payload: k.request.Payload, Timeout: timeout})
	switch {
	case errors.Is(err, ErrNotSent):
		reply = Reply{State: ExecutionNever, Reason: "the target cannot be reached"}
	case err != nil || !reply.State.final():
		reply = k.resolve(ctx, attempt)
	}
	return k.conclude(ctx, reply)
}

// final tells that the state of an attempt cannot change any more.
func (s ExecutionState) final() bool { return s != ExecutionAbsent && s != ExecutionRunning }

// resolve finds out about an attempt whose dispatch did not return: it stops it
// from starting, or waits for its end, until the call's deadline.
func (k *call) resolve(ctx context.Context, attempt Attempt) Reply {
	return k.pursue(ctx, attempt, k.deadline)
}

// pursue asks for a tombstone until the attempt's state is final or the time
// has come; it returns the last state known.
func (k *call) pursue(ctx context.Context, attempt Attempt, until time.Time) Reply {
	var reply Reply
	for pause := pollFirst; ; pause = min(2*pause, pollLast) {
		left := until.Sub(k.clock.Now())
		if left <= 0 || ctx.Err() != nil {
			return reply
		}
		got, err := k.config.Dispatcher.Tombstone(ctx, attempt, min(left, callTimeout))
		if err == nil {
			reply = got
		}
		if reply.State.final() {
			return reply
		}
		if k.pause(ctx, min(pause, left)) != nil {
			return reply
		}
	}
}

// pause sleeps for half the time and a random part of the other half.
func (k *call) pause(ctx context.Context, wait time.Duration) error {
	half := wait / 2
	return k.clock.Sleep(ctx, half+time.Duration(k.config.Random()*float64(half)))
}

// conclude ends or goes on with the call by the agent's word on the attempt in
// k.now.
func (k *call) conclude(ctx context.Context, reply Reply) step {
	switch reply.State {
	case ExecutionDone:
		return k.endDone(ctx, reply)
	case ExecutionNever:
		k.refused, k.last = true, reply
		k.avoid = append(k.avoid, k.now.record.Target)
		return again
	case ExecutionLost, ExecutionGone, ExecutionForgotten:
		return k.endUnknown(ctx)
	default:
		k.follow()
		return fail(failure.New(failure.DeadlineExceeded, failure.Unknown, "the order had not ended in time"))
	}
}

// abandon ends a call whose record may or may not have been written. It has not
// dispatched the attempt; the agent's tombstone makes sure of it.
func (k *call) abandon(ctx context.Context, next Record, cause error) step {
	reply := k.pursue(ctx, next.attempt(), k.deadline)
	if reply.State == ExecutionNever {
		return fail(failure.New(failure.PlatformDown, failure.NotRun, "the order cannot be recorded").WithCause(cause))
	}
	return fail(failure.New(failure.OutcomeUnknown, failure.Unknown, "the order's record is in doubt").WithCause(cause))
}

// runUnrecorded makes an order without a key at most once.
func (k *call) runUnrecorded(ctx context.Context) (Answer, error) {
	placement, err := k.config.Dispatcher.Place(ctx, k.request, nil)
	if err != nil {
		return Answer{}, failure.New(failure.NoTarget, failure.NotRun, "no target can take the order").WithCause(err)
	}
	nonce := k.config.NewNonce()
	k.now.record = Record{
		Organisation: k.request.Organisation,
		Key:          unrecordedKey + nonce,
		State:        StateDispatched,
		Attempt:      1,
		Fingerprint:  k.request.Fingerprint,
	}
	k.now.record.place(NextAttempt{
		Nonce:     nonce,
		Placement: placement,
		NotAfter:  placement.AgentTime + k.window(k.clock.Now()),
	})
	at := k.dispatch(ctx)
	if at.end {
		return at.answer, at.err
	}
	refusal := failure.New(failure.Overloaded, failure.NotRun, "the target did not take the order: "+k.last.Reason)
	return Answer{}, refusal.WithRetryAfter(k.last.RetryAfter)
}

// unrecordedKey starts the agents' names of orders without a key; no caller's
// key holds a control character.
const unrecordedKey = "\x00"

// recorded tells that the order has a row.
func (k *call) recorded() bool { return k.request.Key != "" }
