package forward

import (
	"strconv"
	"strings"
	"time"
)

// Headers names the headers by which callers, entries and targets speak.
type Headers struct {
	// Attempt names one attempt of a caller; targets echo it.
	Attempt string
	// Deadline is how many milliseconds the sender waits.
	Deadline string
	// Expect names the incarnation that may run the request, Instance the one that
	// answered.
	Expect, Instance string
	// NotRun says that a target has not run the request.
	NotRun string
	// Signature is the target's over its answer.
	Signature string
	// Organisation names the organisation whose key the caller showed.
	Organisation string
	// Key carries the caller's key after KeyScheme.
	Key, KeyScheme string
	// LastEvent is the id of the last event that arrived of a stream.
	LastEvent string
}

// maxWait bounds the deadline that a caller may name.
const maxWait = time.Hour

// waitOf reads a number of milliseconds; it returns false where there is none
// that can be read.
func waitOf(text string) (time.Duration, bool) {
	millis, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || millis <= 0 {
		return 0, false
	}
	return min(time.Duration(millis)*time.Millisecond, maxWait), true
}
