package dispatch

import (
	"math"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/request/capacity"
)

const (
	// slotsRefresh is how long the count of a service's free slots is used. In between, this
	// process's own starts and ends are added.
	slotsRefresh = 10 * time.Millisecond
	// defaultReportInterval is the time between two reports of a process until it is known,
	// and maxReportInterval its bound: a process that hears nothing for longer counts less.
	defaultReportInterval = 100 * time.Millisecond
	maxReportInterval     = 400 * time.Millisecond
	// reportIntervalShare is the weight of a new interval in the mean.
	reportIntervalShare = 1.0 / 32
	// maxReportedClaims is the maximum number of claims in a heartbeat, of at most 100 bytes
	// each.
	maxReportedClaims = 64
)

// sharing is what a process knows of the use of a service's slots by all processes.
type sharing struct {
	demand capacity.Demand
	// ends counts this process's requests that have ended.
	ends capacity.Rate
	// starts are this process's latest starts, which the others may not have heard of.
	starts []recentStart
	slots  slotCount
}

type recentStart struct {
	at      time.Time
	urgency int
}

// slotCount is the number of a service's slots and of requests in them.
type slotCount struct {
	at                time.Time
	free, total       int
	own, all          int
	ownClaims, others []capacity.Claim
}

// mixedUrgency reports whether requests of the service differ in urgency.
func (p *pool) mixedUrgency() bool { return p.service != nil && p.service.MixedUrgency }

// recordArrival counts a request that arrives for the first time.
func (p *pool) recordArrival(work *Request, now time.Time) {
	if len(work.Tried) > 0 || !p.mixedUrgency() && work.Timing.Objective <= 0 {
		return
	}
	p.sharing.demand.RecordArrival(work.Urgency, now)
	if p.mixedUrgency() {
		p.startShares.RecordArrival(work.Urgency, now)
	}
}

// recordStart counts a request that is sent to a target.
func (p *pool) recordStart(work *Request, now time.Time) {
	p.sharing.slots.free--
	p.sharing.slots.own++
	p.sharing.slots.all++
	if !p.mixedUrgency() {
		return
	}
	p.sharing.starts = append(p.sharing.starts, recentStart{at: now, urgency: work.Urgency})
	if len(work.Tried) == 0 {
		p.startShares.RecordStart(work.Urgency, now)
	}
}

// recordEnd counts a request of this process that has ended at a target.
func (p *pool) recordEnd(now time.Time) {
	p.sharing.slots.free++
	p.sharing.slots.own--
	p.sharing.slots.all--
	p.sharing.ends.Add(1, now)
}

// mayStart reports whether a request may start now as far as the requests that go before it
// are concerned, at this process and at the others.
func (d *Dispatcher) mayStart(pool *pool, tier tier, urgency int, now time.Time) bool {
	if tier == timely && !pool.mixedUrgency() {
		return true
	}
	slots := d.countSlots(pool, now)
	own, others := slots.ownClaims, slots.others
	first := urgency
	switch tier {
	case lateReturned:
		first = urgency + 1
	case late:
		first = math.MaxInt
	}
	before, beforeElsewhere := capacity.Before(own, first), capacity.Before(others, first)
	before.PerSecond += beforeElsewhere.PerSecond
	before.Waiting += beforeElsewhere.Waiting
	if before.PerSecond == 0 && before.Waiting == 0 {
		return true
	}
	reserved := capacity.Reserve(before, slots.total, pool.freedPerSecond(now), d.reportInterval)
	share := capacity.Share(own, others, urgency)
	return capacity.MayStart(float64(slots.free), reserved, share, pool.unheardStarts(urgency, now.Add(-d.reportInterval)))
}

// unheardStarts returns the number of starts of an urgency and below since a time.
func (p *pool) unheardStarts(urgency int, since time.Time) int {
	p.sharing.starts = slices.DeleteFunc(p.sharing.starts, func(s recentStart) bool { return s.at.Before(since) })
	count := 0
	for _, s := range p.sharing.starts {
		if s.urgency >= urgency {
			count++
		}
	}
	return count
}

// freedPerSecond returns how many slots become free per second at all processes: as many per
// request as at this one.
func (p *pool) freedPerSecond(now time.Time) float64 {
	slots := &p.sharing.slots
	return p.sharing.ends.PerSecond(now) * float64(max(slots.all, 1)) / float64(max(slots.own, 1))
}

// countSlots returns the count of a service's slots, at most slotsRefresh old.
func (d *Dispatcher) countSlots(pool *pool, now time.Time) *slotCount {
	slots := &pool.sharing.slots
	if now.Sub(slots.at) < slotsRefresh && !slots.at.IsZero() {
		return slots
	}
	*slots = slotCount{at: now}
	limitSlow, skipEjected := d.limitsSlow(pool, now), d.skipsEjected(pool, now)
	for _, t := range pool.targets {
		load := t.load()
		slots.own += t.running
		slots.all += load
		if !t.usable(d.domainsOut) {
			continue
		}
		limit := t.limit(limitSlow, now)
		slots.total += limit
		takes := !now.Before(t.fullUntil) && t.pause.allowsStart(now) && d.limitAllows(t, now) &&
			!(skipEjected && t.health.ejected(now)) && !d.warmupExhausted(t, now)
		if takes {
			slots.free += max(limit-load, 0)
		}
	}
	slots.ownClaims = pool.sharing.demand.Own(pool.waiting.waitingTimely(), now)
	slots.others = pool.sharing.demand.Others(now)
	return slots
}

// Demand returns what this process has to serve of the services whose requests differ in
// urgency, or wait, to be reported in the next heartbeat.
func (d *Dispatcher) Demand(now time.Time) []presence.ServiceDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var reports []presence.ServiceDemand
	for name, pool := range d.pools {
		if !pool.mixedUrgency() && pool.waiting.len() == 0 {
			continue
		}
		for _, claim := range pool.sharing.demand.Own(pool.waiting.waitingTimely(), now) {
			if claim.PerSecond < minReportedRate && claim.Waiting == 0 || len(reports) >= maxReportedClaims {
				continue
			}
			reports = append(reports, presence.ServiceDemand{
				Service: name, Urgency: claim.Urgency, PerSecond: float32(claim.PerSecond), Waiting: int(claim.Waiting),
			})
		}
	}
	return reports
}

// minReportedRate is the rate, in requests per second, below which arrivals are not reported.
const minReportedRate = 0.1

// SetPeerDemand records what another process reports that it has to serve. It replaces its
// earlier report; nil removes that.
func (d *Dispatcher) SetPeerDemand(process string, reports []presence.ServiceDemand, now time.Time) {
	claims := map[string][]capacity.Claim{}
	for _, report := range reports {
		if !validRate(report.PerSecond) || report.Waiting < 0 {
			continue
		}
		claims[report.Service] = append(claims[report.Service], capacity.Claim{
			Urgency: report.Urgency, PerSecond: float64(report.PerSecond), Waiting: float64(report.Waiting),
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if heard := d.heardDemand[process]; !heard.IsZero() && reports != nil {
		interval := min(now.Sub(heard), maxReportInterval)
		d.reportInterval += time.Duration(reportIntervalShare * float64(interval-d.reportInterval))
	}
	if reports == nil {
		delete(d.heardDemand, process)
	} else {
		d.heardDemand[process] = now
	}
	for name, pool := range d.pools {
		pool.sharing.demand.SetReport(process, claims[name], now)
	}
}

// validRate reports whether a number can be a number of requests per second.
func validRate(perSecond float32) bool {
	return perSecond >= 0 && !math.IsInf(float64(perSecond), 1)
}

// DrainTime returns how long a rejected request of a service should stay away: until the
// requests of its urgency and above that wait at this process, and those that arrive
// meanwhile, have started. It returns false if that cannot be told.
func (d *Dispatcher) DrainTime(service string, urgency int, now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pool(service)
	before := capacity.Before(pool.sharing.demand.Own(pool.waiting.waitingTimely(), now), urgency+1)
	return capacity.DrainTime(int(before.Waiting), before.PerSecond, pool.sharing.ends.PerSecond(now))
}
