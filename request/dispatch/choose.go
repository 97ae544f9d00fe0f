package dispatch

import (
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/request/balance"
)

// choose returns the target that gets the work, or nil if none can run it now. Among
// equally loaded targets it prefers those in this process's failure domain, because
// traffic between failure domains is expensive.
func (d *Dispatcher) choose(pool *pool, work *Request, now time.Time) *Target {
	d.candidates, d.eligible = d.candidates[:0], d.eligible[:0]
	skipEjected, limitSlow := d.exclusions(pool, now)
	contended := d.contended(pool, now)
	mean := pool.residence.Mean()
	penalty := d.penalties(pool, work, mean)
	for _, t := range pool.list {
		if !t.usable(d.domainsOut) || work.tried(t) || t.full(now) || !t.pause.allowsStart(now) || !d.limitAllows(t, now) {
			continue
		}
		limit := t.registration.Capacity
		if t.hasFault() {
			if skipEjected && t.health.ejected(now) {
				continue
			}
			limit = t.limit(limitSlow, now)
		}
		if t.load() >= pool.pacedLimit(t, limit) || !t.coldUntil.IsZero() && d.warmupExhausted(t, now) || !t.fits(work) {
			continue
		}
		if contended && !d.mayClaim(pool, t, limit, now) {
			continue
		}
		candidate := t.candidate(limit)
		if t.remote {
			candidate.Remote = true
			candidate.Penalty += penalty(t, limit)
		}
		d.candidates = append(d.candidates, candidate)
		d.eligible = append(d.eligible, t)
	}
	unseen := pool.reports.Unseen(mean, pool.residence.Running(), now)
	chosen := d.chooser.Choose(d.candidates, unseen, d.weighsCrossing(pool), d.random)
	if chosen < 0 {
		return nil
	}
	return d.eligible[chosen]
}

// candidate returns the target as a candidate that may run the given number of requests. The
// request to be sent counts as the longer work that it is at a slow target, so that an idle
// one is no better than a fast one with some requests.
func (t *Target) candidate(limit int) balance.Candidate {
	candidate := balance.Candidate{Load: float64(t.load()), Capacity: float64(limit)}
	if t.slowness > 0 {
		candidate.Penalty = t.slowness / candidate.Capacity
		candidate.Capacity /= 1 + t.slowness
	}
	return candidate
}

// exclusions reports whether ejected targets of a pool get no requests, and whether slow
// ones get fewer than their capacity. If more than maxEjectedShare or maxSlowShare of the
// usable ones are ejected or slow, they are used like the others. Those that pause or name a
// limit have no capacity to spare and do not count.
func (d *Dispatcher) exclusions(pool *pool, now time.Time) (skipEjected, limitSlow bool) {
	if !slices.ContainsFunc(pool.list, (*Target).hasFault) {
		return true, true
	}
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

// hasFault reports whether the target may be ejected or slow.
func (t *Target) hasFault() bool { return t.health.ejections > 0 || t.slowdown > 0 }

// full reports whether the target has refused a request for lack of capacity a moment ago.
func (t *Target) full(now time.Time) bool { return !t.fullUntil.IsZero() && now.Before(t.fullUntil) }
