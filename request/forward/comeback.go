package forward

import "time"

const (
	// busyFirst and busySpread are when callers come back to a service whose
	// targets are busy: a wave that was turned away together comes back spread out.
	busyFirst  = 500 * time.Millisecond
	busySpread = 300 * time.Millisecond
	// downFirst and downSpread are the same for a service whose targets all refuse:
	// they need a second or two to be back, and a caller that comes sooner uses up
	// its attempt.
	downFirst  = 800 * time.Millisecond
	downSpread = 600 * time.Millisecond
	// timeShare is the part of a caller's time that it may wait; with less left the
	// next attempt would have no chance.
	timeShare = 1.0 / 3
	// comeBackLeast keeps a caller from coming back at once.
	comeBackLeast = 50 * time.Millisecond
)

// comeBack is when a refused caller with the time left is told to come back; at
// is in [0, 1).
func comeBack(down bool, left time.Duration, at float64) time.Duration {
	first, spread := busyFirst, busySpread
	if down {
		first, spread = downFirst, downSpread
	}
	wait := first + time.Duration(at*float64(spread))
	return max(min(wait, time.Duration(timeShare*float64(left))), comeBackLeast)
}
