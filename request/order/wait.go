package order

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/platform"
)

// meet goes on with a call that found a record already there.
func (k *call) meet(ctx context.Context, row platform.Row) step {
	k.consulted, k.refused = false, false
	if row.Revision == 0 {
		k.now = stored{} // the row was swept meanwhile
		return again
	}
	if !k.adopt(row) {
		return fail(failure.New(failure.Internal, failure.Unknown, "the order record cannot be read"))
	}
	record := k.now.record
	if record.Expired(k.clock.Now()) {
		return again // says nothing of the life that is over
	}
	k.consulted = true
	if record.Fingerprint != k.request.Fingerprint {
		return fail(failure.New(failure.KeyConflict, failure.NotRun, "the idempotency key was used with another request"))
	}
	switch record.State {
	case StateDone:
		return k.answerRecorded(record)
	case StateUnknown:
		return unknownStep()
	case StateNotRun:
		return again
	default:
		return k.wait(ctx)
	}
}

// wait waits for the end of another call's attempt. If the record does not
// change, it asks the agent; if the agent has not seen the attempt for long, it
// asks for a tombstone.
func (k *call) wait(ctx context.Context) step {
	first := k.clock.Now()
	for pause := pollFirst; ; pause = min(2*pause, pollLast) {
		left := k.left()
		if left <= 0 || ctx.Err() != nil || k.pause(ctx, min(pause, left)) != nil {
			return fail(failure.New(failure.KeyInProgress, failure.Unknown, "another call with this key is in progress"))
		}
		row, changed := k.look(ctx)
		if changed {
			return k.meet(ctx, row)
		}
		waited := k.clock.Now().Sub(first)
		if waited < k.config.QueryAfter || k.left() <= 0 {
			continue
		}
		if reply := k.ask(ctx, waited); reply.State.final() {
			return k.conclude(ctx, reply)
		}
	}
}

// look reads the record; a failed read shows no change.
func (k *call) look(ctx context.Context) (platform.Row, bool) {
	row, _, err := k.read(ctx)
	if err != nil {
		return platform.Row{}, false
	}
	return row, row.Revision != k.now.revision
}

// read returns the order's row.
func (k *call) read(ctx context.Context) (platform.Row, bool, error) {
	return k.config.Reader.Read(ctx, RowKey(k.request.Organisation, k.request.Key))
}

// ask asks the agent about the attempt in k.now.
func (k *call) ask(ctx context.Context, waited time.Duration) Reply {
	attempt := k.now.record.attempt()
	timeout := min(k.left(), callTimeout)
	reply, err := k.config.Dispatcher.Query(ctx, attempt, timeout)
	if err != nil {
		return Reply{}
	}
	if reply.State != ExecutionAbsent || waited < k.config.OrphanAfter {
		return reply
	}
	reply, err = k.config.Dispatcher.Tombstone(ctx, attempt, timeout)
	if err != nil {
		return Reply{}
	}
	return reply
}
