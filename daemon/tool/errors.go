package tool

import (
	"errors"
	"net"
	"net/url"
	"strings"

	"verbenaseam.example/verbenaseam/api/gen/operatorapi"
)

// usageError means that the command line or a file is invalid.
type usageError struct {
	Message string
}

// Error implements error.
func (e *usageError) Error() string { return e.Message }

// unreachableError means that no entry answered.
type unreachableError struct {
	Cause error
}

// Error implements error.
func (e *unreachableError) Error() string { return "cannot reach the entry: " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *unreachableError) Unwrap() error { return e.Cause }

// refusedError means that the entry rejected the request.
type refusedError struct {
	Type, Message string
	Lines         []string
}

// Error implements error.
func (e *refusedError) Error() string {
	lines := append([]string{e.Type + ": " + e.Message}, e.Lines...)
	return strings.Join(lines, "\n  ")
}

// unconfirmedError means that a change was accepted but not confirmed by all processes in
// time.
type unconfirmedError struct {
	Missing []string
}

// Error implements error.
func (e *unconfirmedError) Error() string {
	return "accepted, but not confirmed by: " + strings.Join(e.Missing, ", ")
}

// fromClientError converts an error of the API client to an error of this package.
func fromClientError(err error) error {
	if err == nil {
		return nil
	}
	var failed *operatorapi.FailureStatusCode
	if errors.As(err, &failed) {
		detail := failed.Response.Error
		return &refusedError{Type: detail.Type, Message: detail.Message, Lines: detail.Lines}
	}
	var network net.Error
	var address *url.Error
	if errors.As(err, &network) || errors.As(err, &address) {
		return &unreachableError{Cause: err}
	}
	return &refusedError{Type: "unexpected_answer", Message: err.Error()}
}
