package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// paceWindow is the time after which an observed response time counts 1/e. A target that
	// gets nothing for being slow is tried again after three or four of these.
	paceWindow = 4 * time.Second
	// paceDoubt is the number of responses for which a target is assumed to be as fast as
	// the others, so that single ones do not change the choice by much.
	paceDoubt = 2
	// maxResponses is the number of responses that the mean is taken of, at most, so that a
	// target with many requests is tried again as soon as one with few.
	maxResponses = 8
	// paceTolerance is the ratio of response times up to which a target counts as equally
	// fast: the means of a few responses differ by chance, and other failure domains are
	// farther away.
	paceTolerance = 1.3
	// minPace is the least pace; a target that stands still is ejected by other rules.
	minPace = 0.05
)

// ResponseTimes learns the mean response time of a target. The zero value knows nothing.
type ResponseTimes struct {
	updated time.Time
	// sum and count are of the response times, in seconds, and decay with paceWindow.
	sum, count float64
}

// Record records the response time of a request, or, with complete unset, how long it has
// been without one. That counts only if it is longer than the mean.
func (r *ResponseTimes) Record(elapsed time.Duration, complete bool, now time.Time) {
	r.decay(now)
	if seconds := elapsed.Seconds(); complete || r.count > 0 && seconds > r.sum/r.count {
		r.sum += seconds
		r.count++
		factor := min(maxResponses/r.count, 1)
		r.sum, r.count = r.sum*factor, r.count*factor
	}
}

func (r *ResponseTimes) decay(now time.Time) {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		factor := 0.0
		if !r.updated.IsZero() {
			factor = math.Exp(-elapsed.Seconds() / paceWindow.Seconds())
		}
		r.sum, r.count, r.updated = r.sum*factor, r.count*factor, now
	}
}

// minResponses is the least number of responses, as they count, of a target that others are
// compared with.
const minResponses = 1

// Reference returns the response time of the faster targets of a service, in seconds, or 0 if
// it is not known. Up to three quarters of the targets may be slow.
func Reference(all []*ResponseTimes, now time.Time) float64 {
	means := make([]float64, 0, len(all))
	for _, r := range all {
		r.decay(now)
		if r.count >= minResponses {
			means = append(means, r.sum/r.count)
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[(len(means)-1)/4]
}

// Pace returns how much a target finishes relative to the faster ones of its service, from
// minPace to 1, where it is as fast as they are. It tends to 1 while nothing is heard of it.
func (r *ResponseTimes) Pace(reference float64, now time.Time) float64 {
	r.decay(now)
	if reference <= 0 || r.count == 0 {
		return 1
	}
	mean := (r.sum + paceDoubt*reference) / (r.count + paceDoubt)
	return min(max(paceTolerance*reference/mean, minPace), 1)
}
