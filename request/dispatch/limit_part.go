package dispatch

import (
	"math"
	"time"
)

const (
	// limitWindow is the time in which all processes together send a target what its limit
	// allows, in whole requests, which they divide among themselves.
	limitWindow = 4 * time.Second
	// minLimitRequests is the least that they send it in that time, whatever the limit: only
	// its responses tell that the limit is lifted.
	minLimitRequests = 1
	// maxLimitRequests is the most that they divide. It is beyond what a target can serve.
	maxLimitRequests = 1 << 20
)

// limitPart is this process's part of a limit.
type limitPart struct {
	// perSecond and generation are those for which the fields below were derived.
	perSecond  float64
	generation uint64
	// interval is the least time between two requests of this process; 0 if it may send none.
	interval time.Duration
	// stagger is the time by which this process starts later than the first one.
	stagger time.Duration
}

// limitTotal returns how many requests all processes together send in limitWindow.
func limitTotal(perSecond float64) int {
	total := perSecond * limitWindow.Seconds()
	return int(min(max(total, minLimitRequests), maxLimitRequests))
}

// limited reports whether the target names a limit.
func (t *Target) limited() bool { return t.rateLimit != nil && !t.rateLimit.lifted }

// limitPart returns this process's part of a target's limit. Requests at least interval
// apart are never more than its part in limitWindow.
func (d *Dispatcher) limitPart(id string, limit *rateLimit) limitPart {
	if part := limit.part; part.generation == d.generation && part.perSecond == limit.perSecond {
		return part
	}
	total := limitTotal(limit.perSecond)
	limit.part = limitPart{perSecond: limit.perSecond, generation: d.generation}
	if own := d.processes.part(total, id); own > 0 {
		interval := limitWindow / time.Duration(own)
		starting := min(d.processes.Count(), total)
		limit.part.interval = interval
		limit.part.stagger = interval * time.Duration(d.processes.Rank(id)) / time.Duration(starting)
	}
	return limit.part
}

// limitAllows reports whether the target's limit allows this process to send a request. While
// this process may not have heard of all limits, a target that has not told it whether it has
// one gets one request at a time.
func (d *Dispatcher) limitAllows(t *Target, now time.Time) bool {
	return t.rateLimit == nil && !d.learning || d.partAllows(t, now)
}

func (d *Dispatcher) partAllows(t *Target, now time.Time) bool {
	if !t.limited() {
		return t.limitKnown || t.running == 0 || !d.learnsLimits(now)
	}
	part := d.limitPart(t.ID(), t.rateLimit)
	return part.interval > 0 && now.Sub(t.rateLimit.lastStart) >= part.interval
}

// learnsLimits reports whether this process may not have heard of all limits yet.
func (d *Dispatcher) learnsLimits(now time.Time) bool {
	return d.learning && (d.learningUntil.IsZero() || now.Before(d.learningUntil))
}

// LearnLimitsUntil sets when this process has heard from the others of all limits.
func (d *Dispatcher) LearnLimitsUntil(end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learningUntil = end
}

// unlimitedStarts is the number of requests that a target without a limit may get.
const unlimitedStarts = math.MaxInt32

// limitStarts returns how many requests this process may send to the target from now until a
// later time, as far as its limit goes.
func (d *Dispatcher) limitStarts(t *Target, now, until time.Time) int {
	if !t.limited() {
		return unlimitedStarts
	}
	part := d.limitPart(t.ID(), t.rateLimit)
	if part.interval == 0 {
		return 0
	}
	first := t.rateLimit.lastStart.Add(part.interval)
	if first.Before(now) {
		first = now
	}
	if first.After(until) {
		return 0
	}
	return 1 + int(until.Sub(first)/part.interval)
}

// beginLimit begins this process's part of a limit that it has just learned of. What it sent
// before, maybe in an earlier incarnation, counts as if it had just used its part.
func (d *Dispatcher) beginLimit(id incarnationID, limit *rateLimit, now time.Time) {
	limit.lastStart = now.Add(d.limitPart(id.target, limit).stagger)
}

// setLimit sets the limit of an incarnation, if it is registered; nil for none. Requests that
// wait for targets which cannot take them in time any more are rejected.
func (d *Dispatcher) setLimit(id incarnationID, limit *rateLimit, now time.Time) {
	for _, pool := range d.pools {
		if t := pool.targets[id.target]; t != nil && t.incarnation == id.incarnation {
			t.rateLimit = limit
			d.rejectHopeless(pool, now)
		}
	}
}

// IsLimited reports whether all usable targets of a service name limits.
func (d *Dispatcher) IsLimited(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(service).limited(d.domainsOut)
}

// limited reports whether the pool has usable targets and all of them name limits.
func (p *pool) limited(domainsOut map[string]bool) bool {
	found := false
	for _, t := range p.targets {
		if !t.usable(domainsOut) {
			continue
		}
		if !t.limited() {
			return false
		}
		found = true
	}
	return found
}
