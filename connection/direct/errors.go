package direct

import "fmt"

// SendError means that a request got no answer from the target.
type SendError struct {
	// Sent tells that bytes of the request may have reached the target, so that it
	// may have run.
	Sent bool
	// Cause is what went wrong.
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return "the target gave no answer: " + e.Cause.Error()
	}
	return "the request could not be sent: " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Cause }

// CrossedError means that an answer names another request.
type CrossedError struct{ Want, Got string }

// Error implements error.
func (e *CrossedError) Error() string {
	return fmt.Sprintf("the answer is for request %q and not %q", e.Got, e.Want)
}

// LimitError means that all connections that may be open to the target are in
// use.
type LimitError struct{ Limit int }

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("all %d connections to the target are in use", e.Limit)
}
