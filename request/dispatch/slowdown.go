package dispatch

import (
	"time"

	"verbenaseam.example/verbenaseam/process/presence"
)

const (
	// maxSlowdown is the upper bound of plausible slowdowns; reports of this or more
	// are ignored.
	maxSlowdown = 100
	// slowdownTTL is how long a slowdown is valid after its last report.
	slowdownTTL = 2 * time.Second
	// maxSlowShare is the share of a service's usable targets that may get fewer
	// requests for being slow. If more are slow, the others could not absorb their
	// work.
	maxSlowShare = 0.5
	// slowReserve is subtracted from the request limit of a slow target, because each
	// of its steps also includes work that does not depend on the requests.
	slowReserve = 1
)

// SetSlowdown sets the slowdown of the target at an address, which is the time that it
// takes relative to its usual time. It reports whether that changed the slowdown of a
// target that is or was slow. Targets in lock step wait for the slowest one, so a slow
// target gets fewer requests: as many as it can process in the time that the others
// take.
func (d *Dispatcher) SetSlowdown(address string, slowdown float64, now time.Time) bool {
	valid := slowdown > 0 && slowdown < maxSlowdown
	if !valid {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, pool := range d.pools {
		for _, t := range pool.targets {
			if t.registration.Address == address {
				changed = changed || t.slowdownAt(now) != slowdown && (slowdown >= presence.SlowdownThreshold || t.slow(now))
				t.slowdown, t.slowdownUntil = slowdown, now.Add(slowdownTTL)
			}
		}
	}
	return changed
}

// slowdownAt returns the slowdown of the target, or 1 if no valid one is known.
func (t *Target) slowdownAt(now time.Time) float64 {
	if t.slowdown <= 0 || !now.Before(t.slowdownUntil) {
		return 1
	}
	return t.slowdown
}

// slow reports whether the target counts as slow.
func (t *Target) slow(now time.Time) bool { return t.slowdownAt(now) >= presence.SlowdownThreshold }

// limit returns how many requests of all processes a target may run at once.
// limitSlow selects whether slow targets get fewer than their capacity.
func (t *Target) limit(limitSlow bool, now time.Time) int {
	if !limitSlow || !t.slow(now) {
		return t.registration.Capacity
	}
	return max(int(float64(t.registration.Capacity)/t.slowdownAt(now))-slowReserve, 0)
}

const (
	// reassignSlowdown is the slowdown at and above which running requests are moved
	// away from a target.
	reassignSlowdown = 2
	// reassignInterval is the interval at which all processes together move single
	// requests away from the slow targets of a service. It is limited because, if no
	// other target has capacity, each moved request waits for the next free slot.
	reassignInterval = 100 * time.Millisecond
)

// TryReassign reports whether a running request should be moved away from its target
// because the target runs more than its slowdown allows. It returns true for at most one
// request of a service per reassignInterval times the number of processes.
func (d *Dispatcher) TryReassign(t *Target, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.slowdownAt(now) < reassignSlowdown {
		return false
	}
	pool := d.pool(t.registration.Service)
	_, limitSlow := d.exclusions(pool, now)
	if now.Before(pool.nextReassign) || !limitSlow || t.load() <= t.limit(true, now) {
		return false
	}
	pool.nextReassign = now.Add(reassignInterval * time.Duration(d.processes.Count()))
	return true
}
