package dispatch

import (
	"time"

	"verbenaseam.example/verbenaseam/request/capacity"
)

// minLateWaiters is the least number of late requests that may wait at a process, also of a
// service with few slots.
const minLateWaiters = 4

// waitOf returns how long a request may wait for a slot; the zero Wait if that is not known.
func (p *pool) waitOf(work *Request, now time.Time) capacity.Wait {
	if work.Timing.Objective <= 0 {
		return capacity.Wait{}
	}
	needed, known := p.responseTimes.Needed(1, now)
	if !known {
		return capacity.Wait{}
	}
	return capacity.NewWait(work.Timing, needed)
}

// queue adds a request to the queue, or returns nil if no target will take it.
func (d *Dispatcher) queue(pool *pool, work Request, wait capacity.Wait, now time.Time) *Waiter {
	d.lastSequence++
	w := &Waiter{work: work, granted: make(chan *Target, 1), sequence: d.lastSequence, index: -1}
	if !wait.LatestStart.IsZero() {
		w.latestStart, w.work.QueueDeadline = wait.LatestStart, wait.GiveUp
		w.tier = tierOf(&work, wait, now)
	}
	if !d.canServeLater(pool, &w.work, func() int { return pool.waiting.ahead(w.tier, work.Urgency) }, now) {
		return nil
	}
	if !wait.LatestStart.IsZero() && !now.Before(wait.GiveUp) {
		w.crowdOut()
		return w
	}
	pool.waiting.add(w)
	d.setAsideLate(pool, now)
	return w
}

// crowdOut rejects a waiter that has left the queue because the targets are too busy.
func (w *Waiter) crowdOut() {
	w.crowdedOut = true
	w.granted <- nil
}

// setAsideLate moves the waiters that can no longer be served in time behind those that can.
func (d *Dispatcher) setAsideLate(pool *pool, now time.Time) {
	for w := pool.waiting.nextLate(now); w != nil; w = pool.waiting.nextLate(now) {
		pool.waiting.remove(w)
		w.tier = w.work.lateTier()
		pool.waiting.add(w)
	}
	for limit := d.maxLate(pool); pool.waiting.lateCount > limit; {
		pool.waiting.popNewestLate().crowdOut()
	}
}

// maxLate returns how many late requests may wait at this process: its part of the service's
// slots. These become free within the time that one request takes; a longer queue of late
// requests would delay the rejection of those at its end without serving them.
func (d *Dispatcher) maxLate(pool *pool) int {
	if pool.waiting.lateCount <= minLateWaiters {
		return minLateWaiters
	}
	slots := 0
	for _, t := range pool.list {
		if t.usable(d.domainsOut) {
			slots += t.registration.Capacity
		}
	}
	return max(slots/d.processes.Count(), minLateWaiters)
}
