package direct

import "fmt"

// ExchangeError means that no response to a request arrived from the target.
type ExchangeError struct {
	// Sent is set if bytes of the request may have reached the target, so that the
	// request may have run.
	Sent bool
	// Cause is the error of the connection or the pool.
	Cause error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	if e.Sent {
		return "no response from target: " + e.Cause.Error()
	}
	return "the request could not be sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// StalledError means that the target has read the body of a request, or sent the head of a
// response, more slowly than Request.Pace.
type StalledError struct {
	// Sending is set if the target has stalled sending, and not reading.
	Sending bool
}

// Error implements error.
func (e *StalledError) Error() string {
	if e.Sending {
		return "target sends too slowly"
	}
	return "target reads the request too slowly"
}

// ResponseMismatchError means that a response belongs to another request. Got is
// empty if none of maxResponsesRead responses belonged to the request.
type ResponseMismatchError struct{ Want, Got string }

// Error implements error.
func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("response belongs to request %q, want %q", e.Got, e.Want)
}

// ResponseTooLongError means that the head of a response, or the body of a late one, is longer
// than Limit bytes. It may have no end.
type ResponseTooLongError struct{ Limit int }

// Error implements error.
func (e *ResponseTooLongError) Error() string {
	return fmt.Sprintf("response is longer than %d bytes", e.Limit)
}

// ConnectionLimitError means that the maximum number of connections to the target is
// open, and none is idle or a new one was required.
type ConnectionLimitError struct{ Limit int }

// Error implements error.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("limit of %d connections to the target reached", e.Limit)
}
