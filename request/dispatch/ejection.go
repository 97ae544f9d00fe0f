package dispatch

import "time"

const (
	// ejectAfter is how many failures in a row take a target out.
	ejectAfter = 3
	// ejectFirst is how long the first time, and ejectMost the longest.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 4 * time.Second
	// ejectShare is the part of a service's targets that may be out at once: when
	// more fail, the cause is most likely not theirs.
	ejectShare = 0.5
)

// health follows the failures of one target as this process sees them.
type health struct {
	// failures counts those in a row, ejections those without a success between.
	failures, ejections int
	// outUntil is when the target may be tried again.
	outUntil time.Time
}

// succeeded forgets earlier failures.
func (h *health) succeeded() { *h = health{} }

// failed notes a failure and takes the target out for a time that grows.
func (h *health) failed(now time.Time) {
	h.failures++
	if h.failures < ejectAfter {
		return
	}
	pause := min(ejectFirst<<min(h.ejections, 8), ejectMost)
	h.ejections++
	// One more failure after the pause takes it out again.
	h.failures = ejectAfter - 1
	h.outUntil = now.Add(pause)
}

// silent takes the target out at once.
func (h *health) silent(now time.Time) {
	h.failures = max(h.failures, ejectAfter-1)
	h.failed(now)
}

// out tells whether the target is out.
func (h *health) out(now time.Time) bool { return now.Before(h.outUntil) }
