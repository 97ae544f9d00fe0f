// Package intake authenticates a caller's request by its key and reads its body
// within a time limit. Every failure reports that the request has not run.
package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/version/table"
)

// KeyFromHeader returns the rest of a header value after the scheme, which
// includes its trailing space ("Bearer "). It returns an empty string if the
// value does not start with the scheme.
func KeyFromHeader(value, scheme string) string {
	key, ok := strings.CutPrefix(value, scheme)
	if !ok {
		return ""
	}
	return key
}

// Authenticate returns the organisation to which the key belongs.
func Authenticate(snapshot *table.Snapshot, key string) (*table.Organisation, *failure.Error) {
	if organisation, found := snapshot.OrganisationByKey(key); found {
		return organisation, nil
	}
	return nil, failure.New(failure.Unauthorized, failure.NotRun, "the key is missing or wrong")
}

// ReadBody reads a body of at most limit bytes (0 means no limit). It fails if
// the body has not arrived completely by the deadline, a wall-clock time. After
// a failure it does not wait for the rest of the body.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *failure.Error) {
	body := r.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	control := http.NewResponseController(w)
	// The errors ignored here are those of a connection that is already closed.
	_ = control.SetReadDeadline(deadline)
	content, err := io.ReadAll(body)
	if err != nil {
		return nil, bodyFailure(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return content, nil
}

// bodyFailure converts an error of reading a body to a failure.
func bodyFailure(err error) *failure.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure.New(failure.TooLarge, failure.NotRun, "the body is too large")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the body did not arrive in time").WithCause(err)
	}
	return failure.New(failure.BadRequest, failure.NotRun, "the body did not arrive whole").WithCause(err)
}
