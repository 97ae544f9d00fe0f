package dispatch

import (
	"math/rand/v2"
	"time"

	"verbenaseam.example/verbenaseam/request/balance"
)

// choose returns the target that gets the work, or nil if none can run it now. Among
// equally loaded targets it prefers those in this process's failure domain, because
// traffic between failure domains is expensive.
func (d *Dispatcher) choose(pool *pool, work *Request, now time.Time) *Target {
	d.candidates, d.eligible = d.candidates[:0], d.eligible[:0]
	skipEjected, limitSlow := d.exclusions(pool, now)
	for _, t := range pool.list {
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
		candidate := balance.Candidate{Load: float64(t.load()), Capacity: float64(limit)}
		if t.registration.FailureDomain != d.failureDomain {
			candidate.Penalty = remotePenalty
		}
		d.candidates = append(d.candidates, candidate)
		d.eligible = append(d.eligible, t)
	}
	chosen := d.chooser.Choose(d.candidates, pool.reports.Unseen(pool.residence.Mean(), now), rand.Float64)
	if chosen < 0 {
		return nil
	}
	return d.eligible[chosen]
}

// remotePenalty is how much higher the relative load of a target in this process's
// failure domain may be before one in another domain is chosen.
const remotePenalty = 0.02

// exclusions reports whether ejected targets of a pool get no requests, and whether slow
// ones get fewer than their capacity. If more than maxEjectedShare or maxSlowShare of the
// usable ones are ejected or slow, they are used like the others. Those that pause or name a
// limit have no capacity to spare and do not count.
func (d *Dispatcher) exclusions(pool *pool, now time.Time) (skipEjected, limitSlow bool) {
	ejected, slow, usable := 0, 0, 0
	for _, t := range pool.list {
		if !t.usable(d.domainsOut) || t.pause.active(now) || t.limited() {
			continue
		}
		usable++
		if t.health.ejected(now) {
			ejected++
		}
		if t.slow(now) {
			slow++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(usable), float64(slow) <= maxSlowShare*float64(usable)
}
