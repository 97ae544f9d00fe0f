// Package forward sends a caller's request to a target over HTTP/1.1 and returns
// either the complete response or a single failure that states correctly whether
// the request may have run.
//
// It serves platforms whose targets accept requests directly. Package dispatch
// decides which target gets a request and when; the functions of verdict.go, which
// do no input or output, decide what a response or an error means for a retry.
package forward
