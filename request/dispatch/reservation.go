package dispatch

import (
	"math"
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
	// running is the number of its requests at targets.
	running int
	slots   slotCount
}

// slotCount is the number of a service's slots and of requests in them.
type slotCount struct {
	at          time.Time
	free, total int
	own, all    int
	// claimants is the number of processes whose requests wait, this one included, and
	// position that of this process among them.
	claimants, position int
	ownClaims, others   []capacity.Claim
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
	p.sharing.running++
	p.sharing.slots.free--
	p.sharing.slots.own++
	p.sharing.slots.all++
	if len(work.Tried) == 0 && p.mixedUrgency() {
		p.startShares.RecordStart(work.Urgency, now)
	}
}

// recordEnd counts a request of this process that has ended at a target.
func (p *pool) recordEnd(now time.Time) {
	p.sharing.running--
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
	first := urgency
	switch tier {
	case lateReturned:
		first = urgency + 1
	case late:
		first = math.MaxInt
	}
	slots := d.countSlots(pool, now)
	before, beforeElsewhere := capacity.Before(slots.ownClaims, first), capacity.Before(slots.others, first)
	before.PerSecond += beforeElsewhere.PerSecond
	before.Waiting += beforeElsewhere.Waiting
	if before.PerSecond == 0 && before.Waiting == 0 {
		return true
	}
	return capacity.MayStart(slots.free, capacity.Reserve(before, slots.total, pool.freedPerSecond(now), d.reportInterval))
}

// contended reports whether requests also wait at other processes, so that several start
// requests as soon as they hear of a free slot. Where requests take less time than reports,
// slots that are reported as free are not so any more, and it is always false.
func (d *Dispatcher) contended(pool *pool, now time.Time) bool {
	if d.processes.Count() == 1 || pool.timeAtTargets(now) < minReportIntervals*d.reportInterval {
		return false
	}
	return d.countSlots(pool, now).claimants > 1
}

// minReportIntervals is the least mean time of a request at a target, in report intervals, for
// which free slots are allotted to processes.
const minReportIntervals = 2

// timeAtTargets returns the mean time that requests of this process take at targets.
func (p *pool) timeAtTargets(now time.Time) time.Duration {
	ends := p.sharing.ends.PerSecond(now)
	if ends == 0 {
		return 0
	}
	return time.Duration(float64(p.sharing.running) / ends * float64(time.Second))
}

// mayClaim reports whether this process may use a free slot of a target with the given limit
// of a contended service: one that it has freed itself, or one that is allotted to it.
func (d *Dispatcher) mayClaim(pool *pool, t *Target, limit int, now time.Time) bool {
	if t.freed > 0 && now.Before(t.freedUntil) {
		return true
	}
	turn := uint64(now.UnixMilli() / max(d.reportInterval.Milliseconds(), 1))
	slots := &pool.sharing.slots
	return capacity.MayClaim(limit-t.load(), slots.position, slots.claimants, t.claimOffset, turn)
}

// recordFreed counts a slot of the target that this process has freed. The others do not know
// that it is free until its next report.
func (t *Target) recordFreed(now time.Time, reportInterval time.Duration) {
	if !now.Before(t.freedUntil) {
		t.freed = 0
	}
	t.freed++
	t.freedUntil = now.Add(reportInterval)
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
	skipEjected, limitSlow := d.exclusions(pool, now)
	for _, t := range pool.list {
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
	slots.position, slots.claimants = pool.sharing.demand.Rank(d.processes.self, now)
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
// earlier report. Call it for each report of the process, also without any demand.
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
	if heard := d.heardDemand[process]; !heard.IsZero() {
		interval := min(now.Sub(heard), maxReportInterval)
		d.reportInterval += time.Duration(reportIntervalShare * float64(interval-d.reportInterval))
	}
	d.heardDemand[process] = now
	for name, pool := range d.pools {
		pool.sharing.demand.SetReport(process, claims[name], now)
	}
}

// DropPeerDemand forgets what a process that is no longer alive has reported.
func (d *Dispatcher) DropPeerDemand(process string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.heardDemand, process)
	for _, pool := range d.pools {
		pool.sharing.demand.SetReport(process, nil, now)
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

// heldBackSpan is how long requests of a service count as held back after they last were. It
// bounds how often the state changes.
const heldBackSpan = time.Second

// HeldBack returns the services of which requests wait although slots are free, because these
// are kept for requests that go before them.
func (d *Dispatcher) HeldBack(now time.Time) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := map[string]bool{}
	for name, pool := range d.pools {
		if now.Sub(pool.heldBackAt) < heldBackSpan {
			held[name] = true
		}
	}
	return held
}
