package integrity

import "fmt"

// ResetError means that a peer has reset its connection, so that its response is not complete.
type ResetError struct{}

// Error implements error.
func (*ResetError) Error() string { return "connection reset by the peer before the request was read" }

// HeadError means that the head of a response is malformed, so that nothing in the response may be believed.
type HeadError struct {
	// Status is the status of the response.
	Status int
	Reason string
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("malformed head of a response with status %03d: %s", e.Status, e.Reason)
}
