package health

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxFailures is the maximum number of failures kept per target.
	maxFailures = 8
	// episodeSpan is the length of the time slots within which reports of one
	// incarnation count as one failure.
	episodeSpan = 10 * time.Minute
)

// Failure is the end of a target's incarnation, or the loss of contact with it.
type Failure struct {
	Target string `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the target that failed.
	Incarnation uint64 `cbor:"2,keyasint"`
	// AtMillis is when the failure was first detected, in Unix milliseconds.
	AtMillis int64 `cbor:"3,keyasint"`
}

// at returns the time of the failure.
func (f Failure) at() time.Time { return time.UnixMilli(f.AtMillis) }

// episode returns the number of the time slot that the failure falls in.
func (f Failure) episode() int64 { return f.AtMillis / episodeSpan.Milliseconds() }

// sameFailure reports whether two records of one target describe the same failure.
func (f Failure) sameFailure(other Failure) bool {
	return f.Incarnation == other.Incarnation && f.episode() == other.episode()
}

// history holds the latest failures of one target, newest first by episode and
// incarnation.
type history []Failure

// merge adds a record and reports whether this changed the history. Of two records of
// the same failure, the one with the earlier time is kept. Beyond maxFailures, the
// oldest failures are dropped. Age is compared by episode and incarnation: they
// identify the failure that a record describes and never change, so that the result
// does not depend on the order of merges.
func (h history) merge(f Failure) (history, bool) {
	next := slices.Clone(h)
	if i := slices.IndexFunc(next, f.sameFailure); i >= 0 {
		if next[i].AtMillis <= f.AtMillis {
			return h, false
		}
		next[i] = f
		return next, true
	}
	next = append(next, f)
	slices.SortFunc(next, compareNewestFirst)
	if len(next) > maxFailures {
		next = next[:maxFailures]
	}
	return next, slices.Contains(next, f)
}

// compareNewestFirst orders failures of one target, newest first.
func compareNewestFirst(a, b Failure) int {
	if order := cmp.Compare(b.episode(), a.episode()); order != 0 {
		return order
	}
	return cmp.Compare(b.Incarnation, a.Incarnation)
}

// last returns the time of the failure that was detected last. The history must not be
// empty.
func (h history) last() time.Time {
	latest := h[0]
	for _, f := range h {
		if f.AtMillis > latest.AtMillis {
			latest = f
		}
	}
	return latest.at()
}
