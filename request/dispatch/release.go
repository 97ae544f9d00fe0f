package dispatch

import "time"

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
	pool := d.pool(t.registration.Service)
	t.running--
	pool.residence.End(now)
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
		d.updateSuperseded(t.registration.Address)
	}
	pool.recordEnd(now)
	t.recordFreed(now, d.reportInterval)
	d.grant(pool, now)
}

// downAfter is how long a service must have made no progress to count as down.
const downAfter = 500 * time.Millisecond

// IsDown reports whether no target of a service makes progress.
func (d *Dispatcher) IsDown(service string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.pool(service).lastProgress) > downAfter
}
