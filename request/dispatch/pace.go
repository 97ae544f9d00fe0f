package dispatch

import (
	"time"

	"verbenaseam.example/verbenaseam/process/presence"
)

const (
	// slowest is the largest pace that is believed.
	slowest = 100
	// paceSpan is how long a pace holds without being told again.
	paceSpan = 2 * time.Second
	// slowShare is the part of a service's targets that may get less for being slow:
	// when more are slow, the others could not take their work.
	slowShare = 0.5
	// slowSpare is taken off the requests of a slow target: in each step it also has
	// work that does not depend on them.
	slowSpare = 1
)

// SetPace takes in how much longer than usual the target at an address takes. It
// tells whether that is news. Targets that work in step wait for the slowest, so that
// a slow one gets fewer requests: as many as it works off in the time that the
// others take.
func (d *Dispatcher) SetPace(address string, pace float64, now time.Time) bool {
	believed := pace > 0 && pace < slowest
	if !believed {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	news := false
	for _, pool := range d.pools {
		for _, t := range pool.targets {
			if t.registration.Address == address {
				news = news || t.paceAt(now) != pace && (pace >= presence.SlowPace || t.slow(now))
				t.pace, t.paceUntil = pace, now.Add(paceSpan)
			}
		}
	}
	return news
}

// paceAt is the pace of the target; 1 if none was told lately.
func (t *Target) paceAt(now time.Time) float64 {
	if t.pace <= 0 || !now.Before(t.paceUntil) {
		return 1
	}
	return t.pace
}

// slow tells whether the target is slow.
func (t *Target) slow(now time.Time) bool { return t.paceAt(now) >= presence.SlowPace }

// limit is how many requests of all processes a target may hold; spared tells
// whether slow ones get fewer.
func (t *Target) limit(spared bool, now time.Time) int {
	if !spared || !t.slow(now) {
		return t.registration.Capacity
	}
	return max(int(float64(t.registration.Capacity)/t.paceAt(now))-slowSpare, 0)
}

const (
	// leavePace is the pace from which on requests are taken away from a target.
	leavePace = 2
	// leaveEvery is the time between two requests that all processes together take
	// away from the targets of a service: where no place is free, each waits for the
	// next one.
	leaveEvery = 100 * time.Millisecond
)

// LeaveSlow tells whether a request is to be taken away from its target, which holds
// more than its pace allows; the answer is yes for a few at a time.
func (d *Dispatcher) LeaveSlow(t *Target, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.paceAt(now) < leavePace {
		return false
	}
	pool := d.pool(t.registration.Service)
	if now.Before(pool.leaveAfter) || !d.sparesSlow(pool, now) || t.load() <= t.limit(true, now) {
		return false
	}
	pool.leaveAfter = now.Add(leaveEvery * time.Duration(d.processes))
	return true
}

// sparesSlow tells whether slow targets get fewer requests.
func (d *Dispatcher) sparesSlow(pool *pool, now time.Time) bool {
	return d.share(pool, func(t *Target) bool { return t.slow(now) }) <= slowShare
}
