package dispatch

import (
	"strconv"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/version/config"
)

// pool holds the targets of a service and the requests that wait for them.
type pool struct {
	service *config.Service
	targets map[string]*Target
	waiting waitQueue
	// lastProgress is when any of the targets last made progress.
	lastProgress time.Time
	usualWait    usualWait
	// nextReassign is when the next request may be moved away from a slow target.
	nextReassign time.Time
}

// Config holds the settings of a Dispatcher.
type Config struct {
	// FailureDomain is the failure domain of this process.
	FailureDomain string
	// Warmup limits the requests to cold targets.
	Warmup Warmup
	// LearnsLimits is set for a process that has just started and hears from others of the
	// limits that targets have named, until LearnLimitsUntil.
	LearnsLimits bool
}

// Dispatcher distributes requests among targets.
type Dispatcher struct {
	failureDomain string
	warmup        Warmup

	// mu guards the fields below and those of Targets.
	mu    sync.Mutex
	pools map[string]*pool
	// domainsOut holds the failure domains that operators took out of service.
	domainsOut map[string]bool
	// processes are those that send requests to the same targets. generation increases
	// when they or the limits that they divide change.
	processes  Processes
	generation uint64
	// lastSequence is the sequence number of the latest Waiter.
	lastSequence uint64
	// leaving holds the incarnations that said that they leave.
	leaving        map[incarnationID]leavingNotice
	leavingReports reportTurn
	// limits holds the limits that incarnations have named.
	limits       map[incarnationID]*rateLimit
	limitReports reportTurn
	// learning is Config.LearnsLimits. It ends at learningUntil; zero if that is not known yet.
	learning      bool
	learningUntil time.Time
	// pauses holds the pauses that incarnations have asked for.
	pauses map[incarnationID]*pause
}

// New returns a Dispatcher without targets.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		failureDomain: cfg.FailureDomain, warmup: cfg.Warmup,
		pools: map[string]*pool{}, domainsOut: map[string]bool{}, generation: 1,
		leaving: map[incarnationID]leavingNotice{}, pauses: map[incarnationID]*pause{},
		limits: map[incarnationID]*rateLimit{}, learning: cfg.LearnsLimits,
	}
}

// SetServices updates the services from a configuration.
func (d *Dispatcher) SetServices(services map[string]*config.Service, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, service := range services {
		pool := d.pool(name)
		pool.service = service
		for _, t := range pool.targets {
			t.service = service
		}
	}
	d.grantAll(now)
}

// pool returns the pool of a service and creates it if necessary.
func (d *Dispatcher) pool(service string) *pool {
	existing := d.pools[service]
	if existing == nil {
		existing = &pool{targets: map[string]*Target{}}
		d.pools[service] = existing
	}
	return existing
}

// SetDomainsOut sets the failure domains that operators took out of service.
func (d *Dispatcher) SetDomainsOut(domains map[string]bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.domainsOut = domains
	d.grantAll(now)
}

// SetWarmup sets the limits on requests to cold targets.
func (d *Dispatcher) SetWarmup(warmup Warmup, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.warmup = warmup
	d.generation++
	d.grantAll(now)
}

// SetProcesses sets the processes that send requests to the same targets.
func (d *Dispatcher) SetProcesses(processes Processes) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.processes.equal(processes) {
		return
	}
	d.processes = processes
	d.generation++
}

// Register adds or updates a target from its registration. A target that restarted
// under its ID, or that changed its service or address, replaces the old one, which is
// then returned; otherwise the result is nil.
func (d *Dispatcher) Register(registration target.Registration, now time.Time) (replaced *Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, pool := range d.pools {
		old := pool.targets[registration.ID]
		if old == nil {
			continue
		}
		if name == registration.Service && old.registration.Address == registration.Address && old.registration.StartedAt.Equal(registration.StartedAt) {
			old.setRegistration(registration, now)
			d.grant(pool, now)
			return nil
		}
		old.gone = true
		replaced = old
		delete(pool.targets, registration.ID)
	}
	pool := d.pool(registration.Service)
	added := &Target{
		service: pool.service, peerLoad: map[string]int{},
		incarnation: strconv.FormatInt(registration.StartedAt.UnixMilli(), 10),
	}
	added.setRegistration(registration, now)
	added.saidLeaving = d.leaving[added.incarnationID()].valid(now)
	added.pause = d.pauseOf(added.incarnationID())
	added.rateLimit = d.limits[added.incarnationID()]
	pool.targets[registration.ID] = added
	d.grant(pool, now)
	return replaced
}

// Remove removes a target whose registration was deleted and returns it, or nil if there
// is none with the ID.
func (d *Dispatcher) Remove(id string) (removed *Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range d.pools {
		if t := pool.targets[id]; t != nil {
			t.gone = true
			delete(pool.targets, id)
			removed = t
		}
	}
	return removed
}

// IsRegistered reports whether a target is still registered, by the same incarnation and at
// the same address.
func (d *Dispatcher) IsRegistered(t *Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !t.gone
}

// TargetIDs returns the IDs of all targets.
func (d *Dispatcher) TargetIDs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for _, pool := range d.pools {
		for id := range pool.targets {
			ids = append(ids, id)
		}
	}
	return ids
}

// Acquire returns a target for the work, or a Waiter if the work has to be queued, or
// neither if the service has no target that could run the work, now or by the end of its
// wait.
func (d *Dispatcher) Acquire(work Request, now time.Time) (*Target, *Waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pool(work.Service)
	if len(pool.waiting) == 0 || pool.waiting[0].work.Urgency > work.Urgency {
		if t := d.choose(pool, &work, now); t != nil {
			t.take(now)
			return t, nil
		}
	}
	d.lastSequence++
	w := &Waiter{work: work, granted: make(chan *Target, 1), sequence: d.lastSequence}
	if !d.canServeLater(pool, &work, pool.waiting.ahead(w), now) {
		return nil, nil
	}
	pool.waiting.add(w)
	return nil, w
}

// canServeLater reports whether there are usable targets that the work was not sent to yet
// and that take more requests, by their pauses and limits, than those ahead of it in the
// queue until the work is taken out of it.
func (d *Dispatcher) canServeLater(pool *pool, work *Request, ahead int, now time.Time) bool {
	starts := 0
	for _, t := range pool.targets {
		if !t.usable(d.domainsOut) || work.tried(t) {
			continue
		}
		if !t.pause.active(now) || t.pause.resumesAt.Before(work.QueueDeadline) {
			starts += d.limitStarts(t, now, work.QueueDeadline)
		}
		if starts > ahead {
			return true
		}
	}
	return false
}

// CancelWait removes a waiter from the queue. If a target was granted in the meantime,
// it returns that target; the caller must use it or release it with Release.
func (d *Dispatcher) CancelWait(w *Waiter) *Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pool(w.work.Service).waiting.remove(w) {
		return nil
	}
	return <-w.granted
}

// take counts a request as running on the target and records when it was sent.
func (t *Target) take(now time.Time) {
	t.running++
	t.pause.startsSince++
	if t.limited() {
		t.rateLimit.lastStart = now
	}
	t.recordSend(now)
}

// Result is how a request on a target ended.
type Result uint8

// Results.
const (
	// Served means that the target responded.
	Served Result = iota
	// Failed means that the target failed or did not respond.
	Failed
	// Full means that the target had no capacity.
	Full
	// AddressReused means that another target now has the target's address.
	AddressReused
	// Silent means that the target made no progress while others of its service did.
	Silent
	// Abandoned means that the caller disconnected or its deadline passed; it implies
	// nothing about the target.
	Abandoned
	// Reassigned means that the request is moved to another target because this one is
	// slow.
	Reassigned
)

// fullPause is how long a target that had no capacity gets no new requests.
const fullPause = 50 * time.Millisecond

// Release records how a request on a target ended and frees its slot.
func (d *Dispatcher) Release(t *Target, result Result, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.running--
	switch result {
	case Served:
		t.health.recordSuccess()
	case Failed:
		t.health.recordFailure(now)
	case Silent:
		t.health.recordSilence(now)
	case Full:
		t.fullUntil = now.Add(fullPause)
	case AddressReused:
		t.gone = true
	}
	d.grant(d.pool(t.registration.Service), now)
}

// downAfter is how long a service must have made no progress to count as down.
const downAfter = 500 * time.Millisecond

// IsDown reports whether no target of a service makes progress.
func (d *Dispatcher) IsDown(service string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.pool(service).lastProgress) > downAfter
}

// Tick grants targets that have become available with the passing of time. Call it
// periodically.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropLeavings(now)
	d.dropPauses(now)
	d.dropLimits(now)
	d.grantAll(now)
	d.rejectAllHopeless(now)
}

func (d *Dispatcher) grantAll(now time.Time) {
	for _, pool := range d.pools {
		d.grant(pool, now)
	}
}

// rejectAllHopeless ends the wait of requests behind others for which the limits that all
// targets of their service name leave no place.
func (d *Dispatcher) rejectAllHopeless(now time.Time) {
	for _, pool := range d.pools {
		if len(pool.waiting) > 0 && pool.limited(d.domainsOut) {
			d.rejectHopeless(pool, now)
		}
	}
}

// grant assigns targets to the waiters of a pool in queue order. A waiter that was
// already sent to some targets and finds none of the others free is skipped, so that
// it does not block those behind it.
func (d *Dispatcher) grant(pool *pool, now time.Time) {
	var skipped []*Waiter
	for len(pool.waiting) > 0 {
		first := pool.waiting[0]
		t := d.choose(pool, &first.work, now)
		if t == nil && len(first.work.Tried) == 0 {
			break
		}
		pool.waiting.remove(first)
		if t == nil {
			skipped = append(skipped, first)
			continue
		}
		t.take(now)
		first.granted <- t
	}
	for _, w := range skipped {
		pool.waiting.add(w)
	}
}

// Load returns the number of requests of this process at each target, by target ID.
func (d *Dispatcher) Load() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := map[string]int{}
	for _, pool := range d.pools {
		for id, t := range pool.targets {
			if t.running > 0 {
				load[id] = t.running
			}
		}
	}
	return load
}

// SetPeerLoad sets the number of requests of another process at each target, by
// target ID. A nil load removes those of the process.
func (d *Dispatcher) SetPeerLoad(process string, load map[string]int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range d.pools {
		for id, t := range pool.targets {
			if count := load[id]; count > 0 {
				t.peerLoad[process] = count
			} else {
				delete(t.peerLoad, process)
			}
		}
	}
	d.grantAll(now)
}
