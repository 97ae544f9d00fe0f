// Package intake authenticates a caller's request by its key and reads its body
// within a time limit. Every failure reports that the request has not run.
package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/memory"
	"verbenaseam.example/verbenaseam/request/finish"
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
	return ReadHeldBody(w, r, limit, deadline, nil)
}

// ReadHeldBody is ReadBody for a body whose bytes a holder accounts for. It fails with kind
// Overloaded if the memory of the process has no room for the body, or is needed for others
// before the body has arrived.
func ReadHeldBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time, holder *memory.Holder) ([]byte, *failure.Error) {
	control := http.NewResponseController(w)
	// It also limits how long net/http waits for the rest of a rejected body. The errors ignored
	// here are those of a connection that is already closed.
	_ = control.SetReadDeadline(deadline)
	if !holder.Servable(r.ContentLength) || limit > 0 && r.ContentLength > limit {
		return nil, errTooLarge
	}
	if !holder.Admit(max(r.ContentLength, 0)) {
		return nil, errNoMemory
	}
	body := r.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	var ended atomic.Bool
	holder.SetEnd(func(memory.Part) {
		ended.Store(true)
		_ = control.SetReadDeadline(time.Unix(1, 0))
	}, time.Now())
	content, err := readAll(body, r.ContentLength, holder)
	holder.SetEnd(nil, time.Now())
	if ended.Load() || errors.Is(err, errNoMemory) {
		return nil, errNoMemory
	}
	if err != nil {
		return nil, bodyFailure(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return content, nil
}

// EndReads ends reading from a caller when the process ends, so that a caller whose body has not
// arrived by then gets a failure. The returned function takes that back.
func EndReads(w http.ResponseWriter, guard *finish.Guard) (stop func()) {
	control := http.NewResponseController(w)
	// Setting the deadline fails only on a closed connection, which ends the read too.
	return guard.OnEnd(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
}

var (
	errTooLarge = failure.New(failure.TooLarge, failure.NotRun, "the body is too large")
	errNoMemory = failure.New(failure.Overloaded, failure.NotRun, "memory is nearly full")
)

const (
	// firstBuffer is the size of the first buffer of a body of unknown length. maxFirstBuffer
	// bounds that of a body whose length the caller states, which may not be true.
	firstBuffer    = 4 << 10
	maxFirstBuffer = 1 << 20
)

// readAll reads a body of a length that is already admitted, or is not known if it is negative.
func readAll(body io.Reader, length int64, holder *memory.Holder) ([]byte, error) {
	// A byte to spare, so that the end is read without another buffer.
	content := make([]byte, 0, min(max(length, firstBuffer-1), maxFirstBuffer-1)+1)
	for {
		if len(content) == cap(content) {
			grown := 2 * cap(content)
			if length >= int64(len(content)) && length < int64(grown) {
				grown = int(length) + 1
			}
			content = append(make([]byte, 0, grown), content...)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		holder.Moved(n)
		if length < 0 && !holder.Admit(int64(n)) {
			return nil, errNoMemory
		}
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// bodyFailure converts an error of reading a body to a failure.
func bodyFailure(err error) *failure.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errTooLarge
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the body did not arrive in time").WithCause(err)
	}
	return failure.New(failure.BadRequest, failure.NotRun, "the body did not arrive whole").WithCause(err)
}
