package admit

import "time"

const (
	// intervalWeight is the smoothing weight of a new interval between
	// completions.
	intervalWeight = 1.0 / 16
	// minimumRetryAfter is the lower bound of a retry hint.
	minimumRetryAfter = 50 * time.Millisecond
	// maximumRetryAfter is the upper bound of a retry hint.
	maximumRetryAfter = 10 * time.Second
)

// completionRate tracks the smoothed interval between completions.
type completionRate struct {
	last     time.Time
	interval float64
}

// observe records one completion.
func (r *completionRate) observe(now time.Time) {
	if !r.last.IsZero() {
		r.interval += intervalWeight * (float64(now.Sub(r.last)) - r.interval)
	}
	r.last = now
}

// drainTime estimates the time until n requests have completed, within the
// bounds of a retry hint.
func (r *completionRate) drainTime(n int) time.Duration {
	return min(max(time.Duration(r.interval*float64(n)), minimumRetryAfter), maximumRetryAfter)
}
