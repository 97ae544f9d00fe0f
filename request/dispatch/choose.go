package dispatch

import (
	"math/rand/v2"
	"time"
)

// choose returns the least loaded target that can take the work now, nil for
// none. Among equals, one in this process's failure domain goes first, since
// traffic between failure domains is dear.
func (d *Dispatcher) choose(pool *pool, work *Work, now time.Time) *Target {
	var best *Target
	var least float64
	spared, slowSpared := d.ejected(pool, now), d.sparesSlow(pool, now)
	for _, t := range pool.targets {
		if !t.usable(d.out) || work.tried(t) || now.Before(t.full) {
			continue
		}
		if spared && t.health.out(now) {
			continue
		}
		limit := t.limit(slowSpared, now)
		if t.load() >= limit || t.coldFull(d.warmup, d.processes, now) {
			continue
		}
		score := d.score(t, limit)
		if best == nil || score < least {
			best, least = t, score
		}
	}
	return best
}

// score is the target's relative load; lower is better.
func (d *Dispatcher) score(t *Target, limit int) float64 {
	score := float64(t.load()) / float64(limit)
	if t.registration.FailureDomain != d.domain {
		score += remotePenalty
	}
	return score + rand.Float64()*tieSpread
}

const (
	// remotePenalty is the relative load that a target in this failure domain may
	// have more than one elsewhere.
	remotePenalty = 0.02
	// tieSpread mixes equal targets, so that processes do not all choose alike.
	tieSpread = 0.01
)

// ejected tells whether targets that fail are passed over; when too many fail at
// once they are not.
func (d *Dispatcher) ejected(pool *pool, now time.Time) bool {
	return d.share(pool, func(t *Target) bool { return t.health.out(now) }) <= ejectShare
}

// share is the part of the usable targets of a pool for which something holds.
func (d *Dispatcher) share(pool *pool, holds func(*Target) bool) float64 {
	count, usable := 0, 0
	for _, t := range pool.targets {
		if !t.usable(d.out) {
			continue
		}
		usable++
		if holds(t) {
			count++
		}
	}
	if usable == 0 {
		return 0
	}
	return float64(count) / float64(usable)
}
