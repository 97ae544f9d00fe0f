package forward

import "time"

const (
	// busyRetryMin and busyRetryJitter set the Retry-After of a service whose targets
	// are busy. The jitter spreads out callers that were rejected together.
	busyRetryMin    = 500 * time.Millisecond
	busyRetryJitter = 300 * time.Millisecond
	// downRetryMin and downRetryJitter set the Retry-After of a service whose targets
	// all refuse. They need a second or two to recover, and a caller that returns
	// sooner uses up its attempt.
	downRetryMin    = 800 * time.Millisecond
	downRetryJitter = 600 * time.Millisecond
	// maxWaitShare is the share of a caller's remaining time that Retry-After may
	// take; with less time left the next attempt could not succeed.
	maxWaitShare = 1.0 / 3
	// minRetryAfter keeps callers from retrying immediately.
	minRetryAfter = 50 * time.Millisecond
)

// pauseSpreadShare is the random part of the Retry-After while all targets pause, as a share
// of the pause; at least busyRetryJitter.
const pauseSpreadShare = 0.25

// retryAfterPause returns how long a rejected caller should wait if all targets pause for
// the given time. It does not depend on the caller's remaining time: a caller that cannot
// wait that long must know. random is in [0, 1).
func retryAfterPause(pause time.Duration, random float64) time.Duration {
	spread := max(time.Duration(pauseSpreadShare*float64(pause)), busyRetryJitter)
	return pause + time.Duration(random*float64(spread))
}

// retryAfter returns how long a rejected caller with the given remaining time
// should wait before it tries again. random is in [0, 1).
func retryAfter(down bool, remaining time.Duration, random float64) time.Duration {
	least, jitter := busyRetryMin, busyRetryJitter
	if down {
		least, jitter = downRetryMin, downRetryJitter
	}
	wait := least + time.Duration(random*float64(jitter))
	return max(min(wait, time.Duration(maxWaitShare*float64(remaining))), minRetryAfter)
}

const (
	// minDrainRetry is the least Retry-After while targets are busy: a caller that returns
	// within a few responses of the targets finds the same queue.
	minDrainRetry = 100 * time.Millisecond
	// drainSpreadShare is the random part, as a share of the drain time.
	drainSpreadShare = 0.5
)

// retryAfterDrain returns how long a rejected caller should wait whose queue is expected to
// drain in the given time. random is in [0, 1).
func retryAfterDrain(drain, remaining time.Duration, random float64) time.Duration {
	wait := time.Duration(float64(max(drain, minDrainRetry)) * (1 + drainSpreadShare*random))
	return max(min(wait, time.Duration(maxWaitShare*float64(remaining))), minRetryAfter)
}
