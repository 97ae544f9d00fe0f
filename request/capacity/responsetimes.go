package capacity

import (
	"math"
	"time"
)

const (
	// minSampleShare is the least weight of a new response time in the mean. With less, the
	// estimate would lag behind a load that doubles within a second.
	minSampleShare = 1.0 / 32
	// evidenceHalfLife is the time in which half of the evidence of a level expires.
	evidenceHalfLife = 5 * time.Second
	// minEvidence is the number of recent response times from which a level is known.
	minEvidence = 8
	// spreads is how many mean deviations above the mean the time lies that suffices for
	// most requests: about 88 in 100 of a normal distribution. Requests that may wait for a
	// shorter time find no slot more often than the rest would be late.
	spreads = 1.5
)

// fullnessLevels are the lower bounds of the levels for which response times are learned
// separately, as shares of a target's slots. Requests that had to wait for a slot run at the
// last level.
var fullnessLevels = [...]float64{0, 0.25, 0.5, 0.75, 0.95}

// ResponseTimes estimates how long requests of a service take from their dispatch to the
// first event or the whole response, by how full their target is. The zero value knows
// nothing.
type ResponseTimes struct {
	levels [len(fullnessLevels)]responseLevel
}

// responseLevel holds the decaying mean and mean deviation, in seconds, of one level.
type responseLevel struct {
	mean, deviation float64
	// evidence is the decaying number of response times, as of at.
	evidence float64
	at       time.Time
}

func levelOf(fullness float64) int {
	level := 0
	for i, from := range fullnessLevels {
		if fullness >= from {
			level = i
		}
	}
	return level
}

// Observe records the response time of a request. fullness is the number of requests at its
// target, this one included, as a share of the target's slots.
func (r *ResponseTimes) Observe(fullness float64, took time.Duration, now time.Time) {
	r.levels[levelOf(fullness)].observe(took.Seconds(), now)
}

func (l *responseLevel) observe(seconds float64, now time.Time) {
	evidence := l.evidenceAt(now)
	share := max(1/(evidence+1), minSampleShare)
	difference := seconds - l.mean
	if evidence == 0 {
		l.deviation = seconds / 2
	} else {
		l.deviation += share * (math.Abs(difference) - l.deviation)
	}
	l.mean += share * difference
	l.evidence, l.at = min(evidence+1, 1/minSampleShare), now
}

// evidenceAt returns the evidence that has not expired.
func (l *responseLevel) evidenceAt(now time.Time) float64 {
	if l.evidence == 0 {
		return 0
	}
	return decayed(l.evidence, now.Sub(l.at), evidenceHalfLife)
}

// Needed returns the time in which most requests respond that are sent to a target as
// full as given, and false if that is not known. A level without recent evidence has at least
// the times of the levels below it; a level above it is used if there is none below.
func (r *ResponseTimes) Needed(fullness float64, now time.Time) (time.Duration, bool) {
	from := levelOf(fullness)
	for i := from; i >= 0; i-- {
		if r.levels[i].evidenceAt(now) >= minEvidence {
			return r.levels[i].needed(), true
		}
	}
	for i := from + 1; i < len(r.levels); i++ {
		if r.levels[i].evidenceAt(now) >= minEvidence {
			return r.levels[i].needed(), true
		}
	}
	return 0, false
}

func (l *responseLevel) needed() time.Duration {
	return time.Duration((l.mean + spreads*l.deviation) * float64(time.Second))
}

// decayed returns what is left of a value after a time.
func decayed(value float64, age, halfLife time.Duration) float64 {
	if age <= 0 {
		return value
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}
