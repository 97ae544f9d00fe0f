package capacity

import (
	"math"
	"time"
)

// reserveSpreads is how many standard deviations of the expected arrivals are kept free for
// more urgent requests. Each one costs about 1 in 100 slots of a service with 600 slots and
// 200 more urgent requests per second; the queue covers the rest.
const reserveSpreads = 1

// maxReserveShare bounds the part of a service's slots that is kept free for requests that
// have not arrived yet. With few slots the random variation would take most of them.
const maxReserveShare = 0.1

// Reserve returns how many free slots of a service are kept for requests that go before
// others: for those that wait, for the arrivals until the processes have heard of one
// another's starts that freed slots do not cover, and for their random variation. freed is
// the number of slots that become free per second, slots that of all.
func Reserve(before Claim, slots int, freed float64, span time.Duration) float64 {
	arrivals := before.PerSecond * span.Seconds()
	expected := max(arrivals-freed*span.Seconds(), 0) + reserveSpreads*math.Sqrt(arrivals)
	return before.Waiting + min(expected, maxReserveShare*float64(slots))
}

// Before returns the sum of the claims that are more urgent than the given urgency.
func Before(claims []Claim, urgency int) Claim {
	sum := Claim{Urgency: urgency}
	for _, claim := range claims {
		if claim.Urgency < urgency {
			sum.PerSecond += claim.PerSecond
			sum.Waiting += claim.Waiting
		}
	}
	return sum
}

// Share returns the part of a service's slots for less urgent requests that is this process's:
// that of its arrivals among all processes' of the same urgency and below.
func Share(own, others []Claim, urgency int) float64 {
	rate := func(claims []Claim) float64 {
		sum := 0.0
		for _, claim := range claims {
			if claim.Urgency >= urgency {
				sum += claim.PerSecond + claim.Waiting
			}
		}
		return sum
	}
	mine, theirs := rate(own), rate(others)
	if theirs <= 0 {
		return 1
	}
	return mine / (mine + theirs)
}

// MayStart reports whether a process may start a request for which others go before. free is
// the number of free slots as far as it knows, reserved how many of them are kept, share its
// part of the rest and started how many such requests it has started that the other processes
// have not heard of. They start theirs from the same slots meanwhile, so each takes no more
// than its part.
func MayStart(free, reserved, share float64, started int) bool {
	return float64(started)+rounding <= share*(free+float64(started)-reserved)
}

// rounding makes a process whose part is half a slot start a request: parts below one slot
// would otherwise leave the slots of all processes unused.
const rounding = 0.5
