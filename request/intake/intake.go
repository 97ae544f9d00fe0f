// Package intake takes in a caller's request: it finds whose key it carries, and
// reads its body in time. Each failure says that the request has not run.
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

// KeyOf returns the key that a header's value carries after the scheme, empty for
// none.
func KeyOf(value, scheme string) string {
	key, ok := strings.CutPrefix(value, scheme)
	if !ok {
		return ""
	}
	return key
}

// Organisation finds the organisation whose key it is.
func Organisation(snapshot *table.Snapshot, key string) (*table.Organisation, *failure.Error) {
	if organisation, found := snapshot.OrganisationByKey(key); found {
		return organisation, nil
	}
	return nil, failure.New(failure.Unauthorized, failure.NotRun, "the key is missing or wrong")
}

// ReadBody reads a body of at most limit bytes, 0 for any number, until a time of
// the wall clock. After a failure the rest of the body is not waited for.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, until time.Time) ([]byte, *failure.Error) {
	body := r.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	control := http.NewResponseController(w)
	// The errors are those of a connection that is closed already.
	_ = control.SetReadDeadline(until)
	whole, err := io.ReadAll(body)
	if err != nil {
		return nil, bodyFailure(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return whole, nil
}

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
