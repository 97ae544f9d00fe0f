package dispatch

import (
	"math/rand/v2"
	"time"
)

// choose returns the least loaded target that can run the work now, or nil if there
// is none. Among equally loaded targets it prefers those in this process's failure
// domain, because traffic between failure domains is expensive.
func (d *Dispatcher) choose(pool *pool, work *Request, now time.Time) *Target {
	var best *Target
	var bestScore float64
	skipEjected, limitSlow, contended := d.skipsEjected(pool, now), d.limitsSlow(pool, now), d.contended(pool, now)
	for _, t := range pool.targets {
		if !t.usable(d.domainsOut) || work.tried(t) || now.Before(t.fullUntil) || !t.pause.allowsStart(now) || !d.limitAllows(t, now) {
			continue
		}
		if skipEjected && t.health.ejected(now) {
			continue
		}
		limit := t.limit(limitSlow, now)
		if t.load() >= limit || d.warmupExhausted(t, now) {
			continue
		}
		if contended && !d.mayClaim(pool, t, limit, now) {
			continue
		}
		score := d.score(t, limit)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// score returns the target's relative load with adjustments; lower is better.
func (d *Dispatcher) score(t *Target, limit int) float64 {
	score := float64(t.load()) / float64(limit)
	if t.registration.FailureDomain != d.failureDomain {
		score += remotePenalty
	}
	return score + rand.Float64()*tieJitter
}

const (
	// remotePenalty is how much higher the relative load of a target in this process's
	// failure domain may be before one in another domain is chosen.
	remotePenalty = 0.02
	// tieJitter randomises the choice among equally loaded targets, so that processes
	// do not all choose the same one.
	tieJitter = 0.01
)

// skipsEjected reports whether ejected targets of a pool get no requests. If more than
// maxEjectedShare of the usable ones are ejected, they are used anyway.
func (d *Dispatcher) skipsEjected(pool *pool, now time.Time) bool {
	return d.usableShare(pool, now, func(t *Target) bool { return t.health.ejected(now) }) <= maxEjectedShare
}

// usableShare returns the share of a pool's usable targets that match a predicate. Those
// that pause or name a limit have no capacity to spare and do not count.
func (d *Dispatcher) usableShare(pool *pool, now time.Time, matches func(*Target) bool) float64 {
	count, usable := 0, 0
	for _, t := range pool.targets {
		if !t.usable(d.domainsOut) || t.pause.active(now) || t.limited() {
			continue
		}
		usable++
		if matches(t) {
			count++
		}
	}
	if usable == 0 {
		return 0
	}
	return float64(count) / float64(usable)
}
