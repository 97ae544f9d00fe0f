package dispatch

import "time"

const (
	// ejectThreshold is the number of consecutive failures that eject a target.
	ejectThreshold = 3
	// minEjection is the duration of the first ejection; it doubles up to
	// maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxEjectedShare is the share of a service's usable targets that may be ejected
	// at once. If more of them fail, the cause is most likely not the targets.
	maxEjectedShare = 0.5
)

// health tracks the failures of one target as seen by this process.
type health struct {
	// failures counts the consecutive failures, up to ejectThreshold, and ejections the
	// ejections since the last success.
	failures, ejections int
	// ejectedUntil is when the target may be tried again.
	ejectedUntil time.Time
}

// recordSuccess resets all counts.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure counts a failure and, from ejectThreshold on, ejects the target.
// Each ejection is longer than the one before.
func (h *health) recordFailure(now time.Time) {
	h.failures++
	if h.failures < ejectThreshold {
		return
	}
	duration := min(minEjection<<min(h.ejections, 8), maxEjection)
	h.ejections++
	// A single failure after the ejection ejects the target again.
	h.failures = ejectThreshold - 1
	h.ejectedUntil = now.Add(duration)
}

// recordSilence counts a failure and ejects the target without waiting for
// ejectThreshold.
func (h *health) recordSilence(now time.Time) {
	h.failures = max(h.failures, ejectThreshold-1)
	h.recordFailure(now)
}

// ejected reports whether the target is ejected.
func (h *health) ejected(now time.Time) bool { return h.ejections > 0 && now.Before(h.ejectedUntil) }
