package retry

import "time"

// Defaults of a Backoff.
const (
	DefaultBackoffBase = 5 * time.Millisecond
	DefaultBackoffMax  = 250 * time.Millisecond
)

// Backoff computes exponentially growing retry delays with full jitter.
type Backoff struct {
	// Base bounds the delay before the first retry; the bound doubles with each
	// further retry, up to Max.
	Base, Max time.Duration
}

// Delay returns the delay before retry n, counted from 1. random is in [0, 1).
func (b Backoff) Delay(n int, random float64) time.Duration {
	bound := b.Base
	for range n - 1 {
		if bound >= b.Max/2 {
			bound = b.Max
			break
		}
		bound *= 2
	}
	return time.Duration(random * float64(min(bound, b.Max)))
}
