package dispatch

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/request/balance"
	"verbenaseam.example/verbenaseam/request/capacity"
	"verbenaseam.example/verbenaseam/version/config"
)

// pool holds the targets of a service and the requests that wait for them.
type pool struct {
	service *config.Service
	targets map[string]*Target
	// list holds the same targets, because iterating over a map is slow.
	list    []*Target
	waiting waitQueue
	// residence is how long this process's requests stay at a target, reports how many the
	// other processes have, and since when that is known.
	residence balance.Residence
	reports   balance.Reports
	// nextPaces is when the paces of the targets are next updated, paceChanges what
	// PaceChanges has not returned yet.
	nextPaces   time.Time
	paceChanges []PaceChange
	// limitsPaced is set if slower targets may run fewer requests than their capacity.
	limitsPaced bool
	crossings   CrossingCount
	// lastProgress is when any of the targets last made progress.
	lastProgress time.Time
	usualWait    usualWait
	// responseTimes are learned from this process's own requests.
	responseTimes capacity.ResponseTimes
	sharing       sharing
	startShares   capacity.StartShares
	// startsSinceReturned counts the starts while callers that came back late wait; see
	// returnedTurn.
	startsSinceReturned int
	// heldBackAt is when requests last waited although slots were free, which were kept for
	// others.
	heldBackAt time.Time
	// nextReassign is when the next request may be moved away from a slow target.
	nextReassign time.Time
}

// add adds a target.
func (p *pool) add(t *Target) {
	p.targets[t.ID()] = t
	p.list = append(p.list, t)
}

// remove removes a target.
func (p *pool) remove(t *Target) {
	delete(p.targets, t.ID())
	p.list = slices.DeleteFunc(p.list, func(other *Target) bool { return other == t })
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
	// Random returns numbers in [0, 1) for the choice of targets; nil for the process's
	// random source.
	Random func() float64
}

// Dispatcher distributes requests among targets.
type Dispatcher struct {
	failureDomain string
	warmup        Warmup
	random        func() float64

	// mu guards the fields below and those of Targets.
	mu    sync.Mutex
	pools map[string]*pool
	// byAddress holds the targets of all pools by their addresses.
	byAddress map[string][]*Target
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
	// heardDemand is when the other processes last reported their demand, reportInterval the
	// mean time between two reports of one.
	heardDemand    map[string]time.Time
	reportInterval time.Duration
	// pauses holds the pauses that incarnations have asked for.
	pauses   map[incarnationID]*pause
	crossing Crossing
	// observedDelays are those to the failure domains of targets.
	observedDelays balance.ObservedDelays
	// peerDomains holds the failure domains of other processes.
	peerDomains map[string]string

	// chooser, candidates and eligible are used by choose alone; eligible holds the targets
	// of the candidates.
	chooser    balance.Chooser
	candidates []balance.Candidate
	eligible   []*Target
}

// New returns a Dispatcher without targets.
func New(cfg Config) *Dispatcher {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Dispatcher{
		random: cfg.Random, failureDomain: cfg.FailureDomain, warmup: cfg.Warmup,
		pools: map[string]*pool{}, byAddress: map[string][]*Target{}, domainsOut: map[string]bool{}, generation: 1,
		leaving: map[incarnationID]leavingNotice{}, pauses: map[incarnationID]*pause{},
		heardDemand: map[string]time.Time{}, reportInterval: defaultReportInterval,
		limits: map[incarnationID]*rateLimit{}, learning: cfg.LearnsLimits, peerDomains: map[string]string{},
	}
}

// SetServices updates the services from a configuration.
func (d *Dispatcher) SetServices(services map[string]*config.Service, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, service := range services {
		pool := d.pool(name)
		known := pool.service != nil
		pool.service = service
		for _, t := range pool.targets {
			t.service = service
			if !known {
				d.updateSuperseded(t.registration.Address)
			}
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
// under its ID, that changed its service or address, or that started at the address of
// another one replaces the old one, which is then returned; otherwise the result is nil.
func (d *Dispatcher) Register(registration target.Registration, now time.Time) (replaced *Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, pool := range d.pools {
		old := pool.targets[registration.ID]
		if old == nil {
			continue
		}
		if name == registration.Service && old.registration.Address == registration.Address && old.registration.StartedAt.Equal(registration.StartedAt) {
			old.setRegistration(registration, d.failureDomain, now)
			d.grant(pool, now)
			return nil
		}
		replaced = old
		d.remove(pool, old)
	}
	pool := d.pool(registration.Service)
	added := &Target{
		service: pool.service, peerLoad: map[string]int{}, peerTokens: map[string]int{}, claimOffset: xxhash.Sum64String(registration.ID),
		incarnation: strconv.FormatInt(registration.StartedAt.UnixMilli(), 10),
	}
	added.setRegistration(registration, d.failureDomain, now)
	added.saidLeaving = d.leaving[added.incarnationID()].valid(now)
	added.pause = d.pauseOf(added.incarnationID())
	added.rateLimit = d.limits[added.incarnationID()]
	d.add(pool, added)
	if earlier := d.updateSuperseded(added.registration.Address); earlier != nil && earlier != added {
		replaced = earlier
	}
	d.grant(pool, now)
	return replaced
}

// add adds a target to a pool.
func (d *Dispatcher) add(pool *pool, t *Target) {
	pool.add(t)
	address := t.registration.Address
	d.byAddress[address] = append(d.byAddress[address], t)
}

// remove removes a target from a pool. Others at its address may no longer be superseded.
func (d *Dispatcher) remove(pool *pool, t *Target) {
	t.gone = true
	pool.remove(t)
	address := t.registration.Address
	d.byAddress[address] = slices.DeleteFunc(d.byAddress[address], func(other *Target) bool { return other == t })
	if len(d.byAddress[address]) == 0 {
		delete(d.byAddress, address)
		return
	}
	d.updateSuperseded(address)
}

// updateSuperseded compares the targets at an address, of which only the one that started last can
// still exist, and marks the others as superseded. After the loss of all hosts the registrations
// of earlier incarnations remain for some seconds, and requests to them only find that the address
// belongs to another target. It returns one that was not superseded before, or nil.
//
// Registrations of services that no configuration names are no targets, whoever wrote them.
func (d *Dispatcher) updateSuperseded(address string) (newly *Target) {
	targets := d.byAddress[address]
	var last *Target
	for _, t := range targets {
		if t.service != nil && !t.gone && t.registration.StartedAt.UnixMilli() > 0 && (last == nil || last.startedBefore(t)) {
			last = t
		}
	}
	for _, t := range targets {
		superseded := last != nil && t.startedBefore(last)
		if superseded && !t.superseded {
			newly = t
		}
		t.superseded = superseded
	}
	return newly
}

// startedBefore reports whether the target started before another, as far as both say when.
func (t *Target) startedBefore(other *Target) bool {
	own := t.registration.StartedAt.UnixMilli()
	return own > 0 && own < other.registration.StartedAt.UnixMilli()
}

// Remove removes a target whose registration was deleted and returns it, or nil if there
// is none with the ID.
func (d *Dispatcher) Remove(id string) (removed *Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range d.pools {
		if t := pool.targets[id]; t != nil {
			d.remove(pool, t)
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
	return !t.gone && !t.superseded
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

// Tick grants targets that have become available with the passing of time. Call it
// periodically.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropLeavings(now)
	d.dropPauses(now)
	d.dropLimits(now)
	for _, pool := range d.pools {
		pool.updatePaces(d.domainsOut, now)
	}
	d.grantAll(now)
	d.rejectAllHopeless(now)
}
