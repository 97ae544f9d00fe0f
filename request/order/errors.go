package order

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrNotSent is returned by a Dispatcher when it is certain that the dispatch
// never left this process.
var ErrNotSent = eris.New("order dispatch was not sent")

// ErrNoTarget is returned by a Dispatcher when no target can take the order.
var ErrNoTarget = eris.New("no target can take the order")

// ErrQueueFull means that a record write was rejected before it was sent,
// because too many writes were waiting.
var ErrQueueFull = eris.New("order record queue is full")

// ErrQueueTimeout means that a record write was rejected before it was sent,
// because it had waited too long or the recorder was closed.
var ErrQueueTimeout = eris.New("order record write was not sent in time")

// ErrRetentionTooShort means that Config.Retention is less than ten times
// Config.MaxStartWindow.
var ErrRetentionTooShort = eris.New("order retention must be at least ten times the maximum start window")

// CorruptRecordError means that a row does not hold a valid record.
type CorruptRecordError struct {
	Organisation, Key string
	// Cause is the codec's error; nil if the content decodes, but is
	// inconsistent.
	Cause error
}

// Error implements error.
func (e *CorruptRecordError) Error() string {
	text := fmt.Sprintf("order record %s/%s is corrupt", e.Organisation, e.Key)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the codec's error.
func (e *CorruptRecordError) Unwrap() error { return e.Cause }

// TransitionError means that a change cannot be applied to a record.
type TransitionError struct {
	// From is the record's state and Change the requested transition.
	From   State
	Change ChangeKind
	// OtherAttempt is set if the change refers to another attempt than the
	// record's.
	OtherAttempt bool
}

// Error implements error.
func (e *TransitionError) Error() string {
	if e.OtherAttempt {
		return fmt.Sprintf("order change %s refers to another attempt than the record's", e.Change)
	}
	return fmt.Sprintf("order change %s is not allowed in state %s", e.Change, e.From)
}
