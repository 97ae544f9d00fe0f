package admit

import (
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
)

// Reason is the reason why a gate refused a request.
type Reason string

// Reasons of a refusal.
const (
	// ReasonFull means that the work in flight at the target has reached the
	// limit.
	ReasonFull Reason = "full"
	// ReasonUnproven means that too many admitted requests have not yet produced a
	// first token in normal time.
	ReasonUnproven Reason = "unproven"
	// ReasonEngineUnknown means that the engine's state is not known yet.
	ReasonEngineUnknown Reason = "engine_unknown"
	// ReasonLeaving means that the target is leaving.
	ReasonLeaving Reason = "leaving"
	// ReasonFailureDomainOut means that the target's failure domain was taken out of
	// service.
	ReasonFailureDomainOut Reason = "failure_domain_out"
)

// RefusedError reports that a gate did not admit a request, so it did not run.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the estimated time until this target has capacity; zero means
	// that a retry here is not useful.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "not admitted: " + string(e.Reason) }

// Unwrap returns the failure that callers receive for the refusal.
func (e *RefusedError) Unwrap() error {
	kind := failure.Overloaded
	switch e.Reason {
	case ReasonLeaving, ReasonFailureDomainOut:
		kind = failure.Leaving
	case ReasonEngineUnknown:
		kind = failure.NotReady
	}
	return failure.New(kind, failure.NotRun, "the target did not admit the request").WithRetryAfter(e.RetryAfter)
}
