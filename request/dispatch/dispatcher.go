package dispatch

import (
	"strconv"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/version/config"
)

// pool is the targets of a service and what waits for them.
type pool struct {
	service *config.Service
	targets map[string]*Target
	waiting waiters
	// progress is when one of the targets last made progress.
	progress time.Time
	// leaveAfter is when the next request may be taken away from a slow target.
	leaveAfter time.Time
}

// Config is what a Dispatcher is made of.
type Config struct {
	// FailureDomain is this process's.
	FailureDomain string
	Warmup        Warmup
}

// Dispatcher shares requests out among targets.
type Dispatcher struct {
	domain string
	warmup Warmup

	// mu guards all below and the fields of Targets.
	mu    sync.Mutex
	pools map[string]*pool
	// out holds the failure domains that operators took out.
	out map[string]bool
	// processes is how many processes send to the same targets.
	processes int
	orders    uint64
}

// New returns a Dispatcher without targets.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		domain: cfg.FailureDomain, warmup: cfg.Warmup,
		pools: map[string]*pool{}, out: map[string]bool{}, processes: 1,
	}
}

// SetServices takes over the services of a configuration.
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
	d.serveAll(now)
}

func (d *Dispatcher) pool(name string) *pool {
	found := d.pools[name]
	if found == nil {
		found = &pool{targets: map[string]*Target{}}
		d.pools[name] = found
	}
	return found
}

// SetOut takes over which failure domains operators took out.
func (d *Dispatcher) SetOut(domains map[string]bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.out = domains
	d.serveAll(now)
}

// SetWarmup sets what cold targets may get.
func (d *Dispatcher) SetWarmup(warmup Warmup, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.warmup = warmup
	d.serveAll(now)
}

// SetProcesses sets how many processes send to the same targets.
func (d *Dispatcher) SetProcesses(count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes = max(count, 1)
}

// Registered takes in what a target tells of itself.
func (d *Dispatcher) Registered(registration target.Registration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, pool := range d.pools {
		old := pool.targets[registration.ID]
		if old == nil {
			continue
		}
		if name == registration.Service && old.registration.Address == registration.Address && old.registration.Born.Equal(registration.Born) {
			old.setRegistration(registration, now)
			d.serve(pool, now)
			return
		}
		old.gone = true
		delete(pool.targets, registration.ID)
	}
	pool := d.pool(registration.Service)
	added := &Target{
		service: pool.service, others: map[string]int{},
		incarnation: strconv.FormatInt(registration.Born.UnixMilli(), 10),
	}
	added.setRegistration(registration, now)
	pool.targets[registration.ID] = added
	d.serve(pool, now)
}

// Removed takes in that a target's registration is gone.
func (d *Dispatcher) Removed(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range d.pools {
		if t := pool.targets[id]; t != nil {
			t.gone = true
			delete(pool.targets, id)
		}
	}
}

// Known returns the ids of all targets.
func (d *Dispatcher) Known() []string {
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

// Take returns a target for the work, or a Waiter if none can take it now, or
// neither if the service has no target to wait for.
func (d *Dispatcher) Take(work Work, now time.Time) (*Target, *Waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pool(work.Service)
	if len(pool.waiting) == 0 || pool.waiting[0].work.Urgency > work.Urgency {
		if t := d.choose(pool, &work, now); t != nil {
			t.take(now)
			return t, nil
		}
	}
	if !d.mayWait(pool, &work) {
		return nil, nil
	}
	d.orders++
	w := &Waiter{work: work, granted: make(chan *Target, 1), order: d.orders}
	pool.waiting.add(w)
	return nil, w
}

// mayWait tells whether a target that work has not tried may take it later.
func (d *Dispatcher) mayWait(pool *pool, work *Work) bool {
	for _, t := range pool.targets {
		if t.usable(d.out) && !work.tried(t) {
			return true
		}
	}
	return false
}

// GiveUp takes a waiter out of the queue. If a target was granted meanwhile it
// returns that.
func (d *Dispatcher) GiveUp(w *Waiter) *Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pool(w.work.Service).waiting.remove(w) {
		return nil
	}
	return <-w.granted
}

// take counts a request that is sent to the target.
func (t *Target) take(now time.Time) {
	t.running++
	t.noteSend(now)
}

// Result is how a request at a target ended.
type Result uint8

// Results.
const (
	// Served means that the target answered.
	Served Result = iota
	// Failed means that it failed or gave no answer.
	Failed
	// Full means that it had no room.
	Full
	// Gone means that another target has its address.
	Gone
	// Silent means that it gave no sign of life while others of its service did.
	Silent
	// Abandoned means that the caller left; it says nothing of the target.
	Abandoned
	// Left means that another target is to go on, since this one is slow.
	Left
)

// fullPause is how long a target that had no room gets nothing new.
const fullPause = 50 * time.Millisecond

// Done tells how a request at a target ended.
func (d *Dispatcher) Done(t *Target, result Result, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.running--
	switch result {
	case Served:
		t.health.succeeded()
	case Failed:
		t.health.failed(now)
	case Silent:
		t.health.silent(now)
	case Full:
		t.full = now.Add(fullPause)
	case Gone:
		t.gone = true
	}
	d.serve(d.pool(t.registration.Service), now)
}

// Progress notes that a target has answered or gone on with a stream.
func (d *Dispatcher) Progress(t *Target, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.progress = now
	d.pool(t.registration.Service).progress = now
}

// othersProgress is how lately others of a service must have made progress for a
// silent target to be at fault: when all are silent, another is no better.
const othersProgress = 300 * time.Millisecond

// IsSilent tells whether a target has made no progress for some time, with any of
// its requests, while others of its service have.
func (d *Dispatcher) IsSilent(t *Target, span time.Duration, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(t.progress) >= span && now.Sub(d.pool(t.registration.Service).progress) < othersProgress
}

// downAfter is after how long without progress a service counts as down.
const downAfter = 500 * time.Millisecond

// IsDown tells whether none of a service's targets makes progress.
func (d *Dispatcher) IsDown(service string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.pool(service).progress) > downAfter
}

// Tick serves what waits for the passing of time.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serveAll(now)
}

func (d *Dispatcher) serveAll(now time.Time) {
	for _, pool := range d.pools {
		d.serve(pool, now)
	}
}

// serve gives targets to those that wait, in their order. One that finds none
// only because it has tried them does not hold up those behind it.
func (d *Dispatcher) serve(pool *pool, now time.Time) {
	var passed []*Waiter
	for len(pool.waiting) > 0 {
		first := pool.waiting[0]
		t := d.choose(pool, &first.work, now)
		if t == nil && len(first.work.Tried) == 0 {
			break
		}
		pool.waiting.remove(first)
		if t == nil {
			passed = append(passed, first)
			continue
		}
		t.take(now)
		first.granted <- t
	}
	for _, w := range passed {
		pool.waiting.add(w)
	}
}

// Load returns this process's requests at each target, by its id.
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

// SetOthers takes over what another process has at the targets; nil forgets it.
func (d *Dispatcher) SetOthers(process string, load map[string]int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range d.pools {
		for id, t := range pool.targets {
			if count := load[id]; count > 0 {
				t.others[process] = count
			} else {
				delete(t.others, process)
			}
		}
	}
	d.serveAll(now)
}
