package platform

import "fmt"

// UnavailableError means the platform did not take the call: it had no effect.
type UnavailableError struct {
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return "platform unavailable"
	}
	return "platform unavailable: " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownEffectError means the reply was lost: a write may have taken effect.
type UnknownEffectError struct {
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *UnknownEffectError) Error() string {
	if e.Cause == nil {
		return "platform reply lost"
	}
	return "platform reply lost: " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *UnknownEffectError) Unwrap() error { return e.Cause }

// RateLimitedError means the platform refused the call for its rate: it had no
// effect.
type RateLimitedError struct{}

// Error implements error.
func (e *RateLimitedError) Error() string { return "platform rate limit reached" }

// TooLargeError means that a transaction has more than MostEntries entries; it is
// the Cause of an UnavailableError.
type TooLargeError struct{ Entries int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the transaction has %d entries, at most %d are taken", e.Entries, MostEntries)
}
