// Package failure defines the typed error that every layer reports to a caller:
// what went wrong, whether the request ran, and when to retry.
package failure

import (
	"errors"
	"net/http"
	"time"
)

// Outcome states whether a request ran.
type Outcome string

// Outcomes, as sent in the header X-Verbenaseam-Outcome.
const (
	// Done means that the request ran and that this is its response.
	Done Outcome = "done"
	// NotRun means that this attempt did not run the request and never will.
	NotRun Outcome = "not-run"
	// Unknown means that the system cannot determine whether the request ran.
	Unknown Outcome = "unknown"
)

// Kind is the machine-readable kind of a failure, sent as "type" in an error body.
type Kind string

// Kinds of failure that are reported to a caller or an operator.
const (
	BadRequest            Kind = "bad_request"
	Unauthorized          Kind = "unauthorized"
	TooLarge              Kind = "too_large"
	HeadersTooLarge       Kind = "headers_too_large"
	NoRoute               Kind = "no_route"
	Overloaded            Kind = "overloaded"
	QuotaExceeded         Kind = "quota_exceeded"
	NoTarget              Kind = "no_target"
	DeadlineExceeded      Kind = "deadline_exceeded"
	RequestPoisoned       Kind = "request_poisoned"
	IdempotencyConflict   Kind = "idempotency_conflict"
	IdempotencyInProgress Kind = "idempotency_in_progress"
	OutcomeUnknown        Kind = "outcome_unknown"
	PlatformUnavailable   Kind = "platform_unavailable"
	IncompleteAnswer      Kind = "incomplete_answer"
	EngineFailed          Kind = "engine_failed"
	Leaving               Kind = "leaving"
	NotReady              Kind = "not_ready"
	VersionConflict       Kind = "version_conflict"
	InvalidTables         Kind = "invalid_tables"
	NotFound              Kind = "not_found"
	Internal              Kind = "internal"
)

// Error is a failure with the information that a caller needs to react to it.
type Error struct {
	Kind Kind
	// Message is one short sentence for human readers.
	Message string
	// Outcome states whether the request ran.
	Outcome Outcome
	// RetryAfter is how long the caller should wait before a retry; zero means no advice.
	RetryAfter time.Duration
	// RejectedByGate is set when an agent's admission gate rejected the request. The entry
	// may then queue the request again, because capacity is likely to become available.
	RejectedByGate bool
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

// WithRetryAfter returns a copy of e that advises the caller to retry after wait.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	next := *e
	next.RetryAfter = wait
	return &next
}

// From returns the first Error in err's chain. An err without one is wrapped in an
// Error of kind Internal with outcome Unknown.
func From(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return New(Internal, Unknown, "unexpected failure").WithCause(err)
}

var statusOfKind = map[Kind]int{
	BadRequest:            http.StatusBadRequest,
	Unauthorized:          http.StatusUnauthorized,
	TooLarge:              http.StatusRequestEntityTooLarge,
	NoRoute:               http.StatusNotFound,
	NotFound:              http.StatusNotFound,
	Overloaded:            http.StatusServiceUnavailable,
	QuotaExceeded:         http.StatusTooManyRequests,
	NoTarget:              http.StatusServiceUnavailable,
	DeadlineExceeded:      http.StatusGatewayTimeout,
	RequestPoisoned:       http.StatusUnprocessableEntity,
	IdempotencyConflict:   http.StatusConflict,
	IdempotencyInProgress: http.StatusConflict,
	VersionConflict:       http.StatusPreconditionFailed,
	InvalidTables:         http.StatusUnprocessableEntity,
	OutcomeUnknown:        http.StatusBadGateway,
	IncompleteAnswer:      http.StatusBadGateway,
	EngineFailed:          http.StatusBadGateway,
	PlatformUnavailable:   http.StatusServiceUnavailable,
	Leaving:               http.StatusServiceUnavailable,
	NotReady:              http.StatusServiceUnavailable,
}

// Status returns the HTTP status code for the kind; kinds that are not in statusOfKind
// map to 500.
func (k Kind) Status() int {
	if status, ok := statusOfKind[k]; ok {
		return status
	}
	return http.StatusInternalServerError
}
