package forward

import (
	"strconv"
	"strings"
	"time"
)

// Headers holds the names of the HTTP headers that callers, entries and targets
// exchange.
type Headers struct {
	// Attempt is the ID that a caller gives to one attempt; targets echo it.
	Attempt string
	// Deadline is how many milliseconds the sender waits for the response.
	Deadline string
	// Expect is the ID of the target that may run the request, Instance that of the
	// target that responded.
	Expect, Instance string
	// Leaving is set by a target that is about to exit. RetryAfter is, with status 503, for
	// how many seconds a target wants no requests from this process.
	Leaving, RetryAfter string
	// Limit is how many requests a second a target takes from all processes together.
	Limit string
	// NotRun is set by a target that has not run the request.
	NotRun string
	// Signature is the target's signature of its response.
	Signature string
	// Organisation is the organisation that the caller's key belongs to.
	Organisation string
	// Key carries the caller's key, prefixed with KeyScheme.
	Key, KeyScheme string
	// Urgency tells a target, from 0 to 9, which requests to run first; lower values go
	// first.
	Urgency string
	// LastEvent is the ID of the last event of a stream that the caller received.
	LastEvent string
}

// maxTimeout bounds the timeout that a caller may request.
const maxTimeout = time.Hour

// parseTimeout parses a number of milliseconds, capped at maxTimeout. It returns false
// if the text is not a positive integer.
func parseTimeout(text string) (time.Duration, bool) {
	millis, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || millis <= 0 {
		return 0, false
	}
	// The product of a larger number would overflow.
	return time.Duration(min(millis, maxTimeout.Milliseconds())) * time.Millisecond, true
}
