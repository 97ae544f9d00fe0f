package dispatch

import (
	"math"
	"time"

	"verbenaseam.example/verbenaseam/request/balance"
)

const (
	// paceInterval is the time between two updates of the targets' paces.
	paceInterval = 200 * time.Millisecond
	// slowPace is the pace below which a target is reported as slow, and normalPace the one
	// from which it no longer is.
	slowPace   = 0.5
	normalPace = 0.8
)

// PaceChange reports that a target has become slow relative to others of its service, or is
// no longer.
type PaceChange struct {
	Target, Service string
	// Pace is what it finishes relative to the others; 1 is as much.
	Pace float64
	Slow bool
}

// RecordResponse records how long a request has taken at a target that responded as it
// should, or, with complete unset, how long it has gone without a response.
func (d *Dispatcher) RecordResponse(t *Target, elapsed time.Duration, complete bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.responses.Record(elapsed, complete, now)
}

// paced reports whether the targets of a pool get requests by what they finish. The agents
// of engines report their slowdown, and the requests to them differ in length.
func (p *pool) paced() bool { return p.service == nil || p.service.Engine == nil }

// updatePaces derives the paces of the targets of a pool. domainsOut are the failure domains
// out of service.
func (p *pool) updatePaces(domainsOut map[string]bool, now time.Time) {
	if now.Before(p.nextPaces) {
		return
	}
	p.nextPaces = now.Add(paceInterval)
	var all []*balance.ResponseTimes
	if p.paced() {
		for _, t := range p.list {
			all = append(all, &t.responses)
		}
	}
	reference := balance.Reference(all, now)
	slower, usable := 0, 0
	for _, t := range p.list {
		t.slowness = 1/t.responses.Pace(reference, now) - 1
		// Targets that pause or name a limit have no capacity for the work of slow ones.
		if t.usable(domainsOut) && !t.pause.active(now) && !t.limited() {
			usable++
			if t.slowness > 0 {
				slower++
			}
		}
		if slow := t.slowness > 1/slowPace-1 || t.reportedSlow && t.slowness > 1/normalPace-1; slow != t.reportedSlow {
			t.reportedSlow = slow
			p.paceChanges = append(p.paceChanges, PaceChange{Target: t.ID(), Service: t.Service(), Pace: 1 / (1 + t.slowness), Slow: slow})
		}
	}
	p.limitsPaced = float64(slower) <= maxSlowShare*float64(usable)
}

// PaceChanges returns the changes since the last call.
func (d *Dispatcher) PaceChanges() []PaceChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []PaceChange
	for _, pool := range d.pools {
		all = append(all, pool.paceChanges...)
		pool.paceChanges = nil
	}
	return all
}

// pacedLimit returns how many requests a target may run so that each is finished in the time
// that the others take, at least 1 of them if it may run any. If most targets are slow, the
// others cannot do their work, and late responses are better than none.
func (p *pool) pacedLimit(t *Target, limit int) int {
	if t.slowness == 0 || !p.limitsPaced {
		return limit
	}
	return int(math.Ceil(float64(limit) / (1 + t.slowness)))
}
