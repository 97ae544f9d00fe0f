package capacity

import (
	"math"
	"time"
)

// reserveSpreads is how many standard deviations of the expected arrivals are kept free for
// more urgent requests: with 1, more of them found no slot, with 3, less urgent ones got
// fewer without a gain for the others.
const reserveSpreads = 2

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

// MayStart reports whether a request may start while the given number of slots are free and
// some of them are reserved for others. A reserve of up to half a slot is none.
func MayStart(free int, reserved float64) bool { return float64(free)-reserved >= 0.5 }

// MayClaim reports whether a process may use a slot of a target that all of them know to be
// free. If each did, the target would get as many requests as there are processes for every
// slot, since they hear of one another's starts only later. So a target's free slots are
// allotted to that many of the processes, to others with each turn. position is that of the
// process among all, from 0; offset differs from target to target.
func MayClaim(free, position, processes int, offset, turn uint64) bool {
	if free >= processes {
		return true
	}
	return (uint64(position)+offset+turn)%uint64(processes) < uint64(max(free, 0))
}
