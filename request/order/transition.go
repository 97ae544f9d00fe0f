package order

import "time"

// ChangeKind names a transition of a record.
type ChangeKind string

// Transitions, with the processes that may make each and the evidence required.
const (
	// ChangeInsert makes the first attempt. Any entry may make it if there is no
	// record or only an expired one.
	ChangeInsert ChangeKind = "insert"
	// ChangeFinish records the result. Any entry that has the agent's result may
	// make it. It is also allowed in StateUnknown, since a result that arrives
	// late is still the only result.
	ChangeFinish ChangeKind = "finish"
	// ChangeMarkNotRun records that the attempt did not run and never will. Any
	// entry that has the agent's tombstone may make it, or the entry that recorded
	// the attempt if it never sent the dispatch.
	ChangeMarkNotRun ChangeKind = "refuse"
	// ChangeMarkUnknown records that the outcome cannot be determined. Any entry
	// may make it that found the agent incarnation gone, the attempt forgotten by
	// the agent, or the run interrupted.
	ChangeMarkUnknown ChangeKind = "lose"
	// ChangeRetry makes the next attempt. Any entry may make it from StateNotRun,
	// or from StateDispatched with the evidence of ChangeMarkNotRun.
	ChangeRetry ChangeKind = "retry"
)

// Change is a transition of a record and the evidence for it.
type Change struct {
	Kind ChangeKind
	// Nonce identifies the attempt that the evidence is about; unused by
	// ChangeInsert.
	Nonce string
	// ConfirmedNotRun is set if there is evidence that the current attempt never
	// runs; it allows ChangeRetry from StateDispatched.
	ConfirmedNotRun bool
	// Result is the evidence of ChangeFinish.
	Result *Result
	// Next is the new attempt of ChangeInsert and ChangeRetry.
	Next NextAttempt
	// Now is the entry's current time, used by ChangeInsert.
	Now time.Time
}

// NextAttempt describes a new attempt.
type NextAttempt struct {
	Nonce     string
	Placement Placement
	// NotAfter is the attempt's latest start time on the agent's clock.
	NotAfter time.Duration
	// Organisation, Key, Fingerprint and Expires are used by ChangeInsert.
	Organisation, Key string
	Fingerprint       [32]byte
	Expires           time.Time
}

// Apply returns the record after the change, or a *TransitionError.
func Apply(record Record, change Change) (Record, error) {
	if change.Kind == ChangeInsert {
		return applyInsert(record, change)
	}
	if record.Nonce != change.Nonce {
		return record, &TransitionError{From: record.State, Change: change.Kind, OtherAttempt: true}
	}
	if !allowed(record.State, change) {
		return record, &TransitionError{From: record.State, Change: change.Kind}
	}
	switch change.Kind {
	case ChangeFinish:
		record.State = StateDone
		record.Result = change.Result
	case ChangeMarkNotRun:
		record.State = StateNotRun
	case ChangeMarkUnknown:
		record.State = StateUnknown
	case ChangeRetry:
		record.State = StateDispatched
		record.Attempt++
		record.setAttempt(change.Next)
	}
	return record, nil
}

// allowed reports whether a change is allowed in a state.
func allowed(from State, change Change) bool {
	switch change.Kind {
	case ChangeFinish:
		return change.Result != nil && (from == StateDispatched || from == StateUnknown)
	case ChangeMarkNotRun, ChangeMarkUnknown:
		return from == StateDispatched
	case ChangeRetry:
		return from == StateNotRun || (from == StateDispatched && change.ConfirmedNotRun)
	default:
		return false
	}
}

func applyInsert(record Record, change Change) (Record, error) {
	if record.State != StatePending && !record.Expired(change.Now) {
		return record, &TransitionError{From: record.State, Change: change.Kind}
	}
	next := Record{
		Organisation: change.Next.Organisation,
		Key:          change.Next.Key,
		State:        StateDispatched,
		Attempt:      1,
		Fingerprint:  change.Next.Fingerprint,
		Created:      change.Now,
		Expires:      change.Next.Expires,
	}
	next.setAttempt(change.Next)
	return next, nil
}

func (r *Record) setAttempt(next NextAttempt) {
	r.Nonce = next.Nonce
	r.Target = next.Placement.Target
	r.Incarnation = next.Placement.Incarnation
	r.NotAfter = next.NotAfter
}

// expiryMarginDivisor is the inverse of the share of a record's lifetime that is
// added to it to allow for clock drift.
const expiryMarginDivisor = 50

// Expired reports whether the record's lifetime is over, including a margin of
// two per cent of it.
func (r Record) Expired(now time.Time) bool {
	margin := r.Expires.Sub(r.Created) / expiryMarginDivisor
	return now.After(r.Expires.Add(margin))
}
