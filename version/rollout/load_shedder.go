package rollout

import (
	"math/rand/v2"
	"time"
)

// shedHeadroom times its fair share is the rate of pull requests above which a
// reader starts to shed them.
const shedHeadroom = 1.2

// loadShedder measures the rate of pull requests that a reader receives, and sheds
// the excess so that the readers of a failure domain share the requests evenly.
type loadShedder struct {
	// fairRate is the reader's share in requests per second; 0 while unknown.
	fairRate float64
	// windowStart is the start of the current one-second window.
	windowStart time.Time
	// current and previous are the numbers of requests in the current and in the
	// previous window.
	current, previous int
}

// shed counts a pull request and reports whether its sender should switch to
// another reader. Requests are shed at random, in the proportion that exceeds the
// limit.
func (l *loadShedder) shed(now time.Time, random *rand.Rand) bool {
	if elapsed := now.Sub(l.windowStart); elapsed >= time.Second {
		l.previous, l.current = l.current, 0
		if elapsed >= 2*time.Second {
			l.previous = 0
		}
		l.windowStart = now
	}
	l.current++
	limit := l.fairRate * shedHeadroom
	if limit <= 0 || float64(l.previous) <= limit {
		return false
	}
	return random.Float64() < (float64(l.previous)-limit)/float64(l.previous)
}
