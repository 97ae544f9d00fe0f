package integrity

// ResetError means that a peer has reset its connection, so that its response is not complete.
type ResetError struct{}

// Error implements error.
func (*ResetError) Error() string { return "connection reset by the peer before the request was read" }
