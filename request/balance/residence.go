package balance

import (
	"math"
	"time"
)

// residenceWindow is the time after which what was observed counts 1/e. An entry with four
// requests a second observes some 40 of them in it.
const residenceWindow = 10 * time.Second

// Residence learns how long requests stay at the targets of a service: the mean number of
// running requests divided by the number that end per second. The zero value knows nothing.
type Residence struct {
	updated time.Time
	// running is the number of requests since updated; runningSeconds and ended are sums
	// that decay with residenceWindow.
	running        int
	runningSeconds float64
	ended          float64
}

// Start records that a request was sent to a target.
func (r *Residence) Start(now time.Time) {
	r.advance(now)
	r.running++
}

// End records that a request ended.
func (r *Residence) End(now time.Time) {
	r.advance(now)
	r.running--
	r.ended++
}

func (r *Residence) advance(now time.Time) {
	if elapsed := now.Sub(r.updated); elapsed > 0 && !r.updated.IsZero() {
		decay := math.Exp(-elapsed.Seconds() / residenceWindow.Seconds())
		r.runningSeconds = r.runningSeconds*decay + float64(r.running)*elapsed.Seconds()
		r.ended *= decay
	}
	if now.After(r.updated) {
		r.updated = now
	}
}

// Running returns the number of requests that run now.
func (r *Residence) Running() int { return r.running }

// minEnded is the least number of requests, as they count, from which a mean is derived.
const minEnded = 1

// Mean returns the mean time of requests, or 0 if it is not known.
func (r *Residence) Mean() time.Duration {
	if r.ended < minEnded {
		return 0
	}
	return time.Duration(r.runningSeconds / r.ended * float64(time.Second))
}
