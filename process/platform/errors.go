package platform

import "fmt"

// UnavailableError means that the platform did not accept the call; the call had
// no effect.
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

// UnknownEffectError means that the reply to a call was lost; a write may have taken
// effect.
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

// RateLimitedError means that the platform rejected the call because of its rate
// limit; the call had no effect.
type RateLimitedError struct{}

// Error implements error.
func (e *RateLimitedError) Error() string { return "platform rate limit reached" }

// TxnTooLargeError means that a transaction has more than MaxTxnOperations operations. It is
// the Cause of an UnavailableError.
type TxnTooLargeError struct{ Operations int }

// Error implements error.
func (e *TxnTooLargeError) Error() string {
	return fmt.Sprintf("transaction has %d entries, limit is %d", e.Operations, MaxTxnOperations)
}
