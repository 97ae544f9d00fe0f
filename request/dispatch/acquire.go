package dispatch

import (
	"slices"
	"time"
)

// Acquire returns a target for the work, or a Waiter if the work has to be queued, or
// neither if the service has no target that could run the work, now or by the end of its
// wait.
func (d *Dispatcher) Acquire(work Request, now time.Time) (*Target, *Waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pool(work.Service)
	if len(pool.waiting) == 0 || pool.waiting[0].work.Urgency > work.Urgency {
		if t := d.choose(pool, &work, now); t != nil {
			d.take(pool, t, now)
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
func (d *Dispatcher) take(pool *pool, t *Target, now time.Time) {
	pool.residence.Start(now)
	pool.crossings.Total++
	if t.remote {
		pool.crossings.Crossed++
	}
	t.running++
	t.pause.startsSince++
	if t.limited() {
		t.rateLimit.lastStart = now
	}
	t.recordSend(now)
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
		d.take(pool, t, now)
		first.granted <- t
	}
	for _, w := range skipped {
		pool.waiting.add(w)
	}
}

// rejectHopeless ends the wait of requests that no target can serve in time any more.
func (d *Dispatcher) rejectHopeless(pool *pool, now time.Time) {
	waiting := slices.Clone(pool.waiting)
	slices.SortFunc(waiting, compareWaiters)
	ahead := 0
	for _, w := range waiting {
		if d.canServeLater(pool, &w.work, ahead, now) {
			ahead++
			continue
		}
		pool.waiting.remove(w)
		w.granted <- nil
	}
}
