// Package failure defines the typed failure that every layer reports towards a
// caller: what went wrong, whether the request ran, and when to come back.
package failure

import (
	"errors"
	"net/http"
	"time"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// Outcomes a caller can see in X-Verbenaseam-Outcome.
const (
	// Done means the request ran and this is its answer.
	Done Outcome = "done"
	// NotRun means the request did not run and never will under this attempt.
	NotRun Outcome = "not-run"
	// Unknown means the system cannot tell whether the request ran.
	Unknown Outcome = "unknown"
)

// Kind names a failure for programs; it is the "type" of an error body.
type Kind string

// Kinds of failure that reach a caller or an operator.
const (
	BadRequest       Kind = "bad_request"
	Unauthorized     Kind = "unauthorized"
	TooLarge         Kind = "too_large"
	HeadersTooLarge  Kind = "headers_too_large"
	NoRoute          Kind = "no_route"
	Overloaded       Kind = "overloaded"
	QuotaExceeded    Kind = "quota_exceeded"
	NoTarget         Kind = "no_target"
	DeadlineExceeded Kind = "deadline_exceeded"
	Poisoned         Kind = "request_poisoned"
	KeyConflict      Kind = "idempotency_conflict"
	KeyInProgress    Kind = "idempotency_in_progress"
	OutcomeUnknown   Kind = "outcome_unknown"
	PlatformDown     Kind = "platform_unavailable"
	Incomplete       Kind = "incomplete_answer"
	EngineFailed     Kind = "engine_failed"
	Leaving          Kind = "leaving"
	NotReady         Kind = "not_ready"
	VersionConflict  Kind = "version_conflict"
	Invalid          Kind = "invalid_tables"
	NotFound         Kind = "not_found"
	Internal         Kind = "internal"
)

// Error is a failure with everything the caller needs to act on it.
type Error struct {
	// Kind names the failure.
	Kind Kind
	// Message is one short sentence for people.
	Message string
	// Outcome says whether the request ran.
	Outcome Outcome
	// RetryAfter is when to come back; zero means no advice.
	RetryAfter time.Duration
	// FromGate tells that an agent's gate refused the request, so that another
	// attempt is worth the wait.
	FromGate bool
	// Cause is the underlying error, nil if there is none.
	Cause error
}

// New returns a failure with the given kind, outcome and message.
func New(kind Kind, outcome Outcome, message string) *Error {
	return &Error{Kind: kind, Outcome: outcome, Message: message}
}

// Error implements error.
func (e *Error) Error() string {
	text := string(e.Kind) + ": " + e.Message
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// WithCause returns a copy of e that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	next := *e
	next.Cause = cause
	return &next
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	next := *e
	next.RetryAfter = wait
	return &next
}

// From finds the Error in err's chain; anything else becomes Internal with
// outcome Unknown.
func From(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return New(Internal, Unknown, "unexpected failure").WithCause(err)
}

var statusOfKind = map[Kind]int{
	BadRequest:       http.StatusBadRequest,
	Unauthorized:     http.StatusUnauthorized,
	TooLarge:         http.StatusRequestEntityTooLarge,
	NoRoute:          http.StatusNotFound,
	NotFound:         http.StatusNotFound,
	Overloaded:       http.StatusServiceUnavailable,
	QuotaExceeded:    http.StatusTooManyRequests,
	NoTarget:         http.StatusServiceUnavailable,
	DeadlineExceeded: http.StatusGatewayTimeout,
	Poisoned:         http.StatusUnprocessableEntity,
	KeyConflict:      http.StatusConflict,
	KeyInProgress:    http.StatusConflict,
	VersionConflict:  http.StatusPreconditionFailed,
	Invalid:          http.StatusUnprocessableEntity,
	OutcomeUnknown:   http.StatusBadGateway,
	Incomplete:       http.StatusBadGateway,
	EngineFailed:     http.StatusBadGateway,
	PlatformDown:     http.StatusServiceUnavailable,
	Leaving:          http.StatusServiceUnavailable,
	NotReady:         http.StatusServiceUnavailable,
}

// Status returns the HTTP status code for the kind.
func (k Kind) Status() int {
	if status, ok := statusOfKind[k]; ok {
		return status
	}
	return http.StatusInternalServerError
}
