package rollout

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrNotRunning means that the service has not been started or has stopped.
var ErrNotRunning = eris.New("rollout service is not running")

// ConflictError means that a change was rejected because another change was
// accepted after its base version.
type ConflictError struct {
	// Base is the version that the rejected change is based on.
	Base uint64
	// Current is the newest accepted version.
	Current uint64
	// Operator is the name of the operator who made the newest of the changes since
	// Base that were read.
	Operator string
	// Lines describes what changed since Base, one table entry per line.
	Lines []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("version is %d, not %d; changed by %s", e.Current, e.Base, e.Operator)
	return text + ":\n" + strings.Join(e.Lines, "\n")
}

// OutcomeUnknownError means that the platform's reply to a change was lost and
// the outcome could not be read back. Retrying the same change is safe.
type OutcomeUnknownError struct {
	ChangeID string
	// Cause is the last error.
	Cause error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return "outcome of change " + e.ChangeID + " is unknown: " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// CorruptLogError means that a row of the log is missing or cannot be decoded.
type CorruptLogError struct {
	// Key is the key of the row, or the key prefix if the row is one of several
	// parts.
	Key string
	// Cause is the underlying error, nil when the row is missing.
	Cause error
}

// Error implements error.
func (e *CorruptLogError) Error() string {
	if e.Cause == nil {
		return "configuration log: missing row " + e.Key
	}
	return "configuration log: cannot decode row " + e.Key + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *CorruptLogError) Unwrap() error { return e.Cause }

// VersionMismatchError means that a delta or a table in the log is of another version than its row.
type VersionMismatchError struct {
	Want, Have uint64
}

// Error implements error.
func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("version is %d, expected %d", e.Have, e.Want)
}

// TrimmedError means that the entries after a version were trimmed from the log.
type TrimmedError struct {
	// Version is the version after which entries were requested.
	Version uint64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("configuration log: entries after version %d were trimmed", e.Version)
}
