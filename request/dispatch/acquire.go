package dispatch

import (
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/request/admit"
)

// Acquire returns a target for the work, or a Waiter if the work has to be queued, or
// neither if the service has no target that could run the work, now or by the end of its
// wait.
func (d *Dispatcher) Acquire(work Request, now time.Time) (*Target, *Waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pool(work.Service)
	pool.recordArrival(&work, now)
	wait := pool.waitOf(&work, now)
	tier := tierOf(&work, wait, now)
	blocked := pool.waiting.blocks(tier, work.Urgency) && !pool.firstWaitsForMemory()
	if !blocked && d.mayStart(pool, tier, work.Urgency, now) {
		if t := d.choose(pool, &work, now); t != nil {
			d.start(pool, t, &work, now)
			return t, nil
		}
	}
	return nil, d.queue(pool, work, wait, now)
}

// canServeLater reports whether there are usable targets that the work was not sent to yet
// and that take more requests, by their pauses and limits, than those ahead of it in the
// queue until the work is taken out of it.
func (d *Dispatcher) canServeLater(pool *pool, work *Request, ahead func() int, now time.Time) bool {
	starts := 0
	for _, t := range pool.targets {
		if !t.usable(d.domainsOut) || work.tried(t) {
			continue
		}
		if !t.pause.active(now) || t.pause.resumesAt.Before(work.QueueDeadline) {
			starts += d.limitStarts(t, now, work.QueueDeadline)
		}
		if starts >= unlimitedStarts || starts > ahead() {
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

// start records that a request is sent to a target.
func (d *Dispatcher) start(pool *pool, t *Target, work *Request, now time.Time) {
	d.take(pool, t, work, now)
	pool.recordStart(work, now)
}

// take counts work as running on the target and records when it was sent.
func (d *Dispatcher) take(pool *pool, t *Target, work *Request, now time.Time) {
	pool.residence.Start(now)
	pool.crossings.Total++
	if t.remote {
		pool.crossings.Crossed++
	}
	t.running++
	t.tokens += work.Tokens
	t.freed = max(t.freed-1, 0)
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
		if pool.waiting.len() > 0 && pool.limited(d.domainsOut) {
			d.rejectHopeless(pool, now)
		}
	}
}

// returnedTurn is the number of starts of which one goes to a caller that came back late
// after a rejection, before less urgent requests that can be in time. It is served although
// its response is worth less, and takes at most this part of their slots.
const returnedTurn = 4

// grant assigns targets to the waiters of a pool in queue order, except that requests of
// urgencies that are started too rarely go first. A waiter that was already sent to some
// targets and finds none of the others free is skipped, so that it does not block those
// behind it; so is one that waits for memory. A class is passed over while the free slots are kept for more urgent requests.
func (d *Dispatcher) grant(pool *pool, now time.Time) {
	if pool.waiting.len() == 0 {
		return
	}
	d.setAsideLate(pool, now)
	d.grantBelowFloor(pool, now)
	for _, class := range slices.Clone(pool.waiting.classes) {
		if !d.grantClass(pool, class, now) {
			break
		}
	}
	pool.waiting.dropEmptyClasses()
}

// grantBelowFloor assigns a target to one waiter of each urgency that is started too rarely.
func (d *Dispatcher) grantBelowFloor(pool *pool, now time.Time) {
	if !pool.mixedUrgency() {
		return
	}
	for _, class := range pool.waiting.classes {
		if class.tier == timely && pool.startShares.BelowFloor(class.urgency, now) {
			d.grantNext(pool, class, now)
		}
	}
}

// grantClass assigns targets to the waiters of one class. It returns false if no target is
// free for any waiter.
func (d *Dispatcher) grantClass(pool *pool, class *waitClass, now time.Time) bool {
	var skipped []*admit.FairTicket
	defer func() {
		for _, ticket := range slices.Backward(skipped) {
			class.order.Return(ticket)
		}
	}()
	for class.order.Len() > 0 && d.mayStart(pool, class.tier, class.urgency, now) {
		if returned := pool.waiting.returnedBefore(class.urgency); class.tier == timely && returned != nil {
			if pool.startsSinceReturned++; pool.startsSinceReturned%returnedTurn == 0 {
				d.grantNext(pool, returned, now)
				continue
			}
		}
		granted, free := d.grantNext(pool, class, now)
		if !free {
			return false
		}
		if !granted {
			skipped = append(skipped, class.order.Pop())
		}
	}
	if class.order.Len() > 0 {
		pool.heldBackAt = now
	}
	return true
}

// grantNext assigns a target to the next waiter of a class, which is not empty. granted is
// false if no target is free for it; free is false if none is for any waiter.
func (d *Dispatcher) grantNext(pool *pool, class *waitClass, now time.Time) (granted, free bool) {
	w := class.order.Peek().Value.(*Waiter)
	t := d.choose(pool, &w.work, now)
	if t == nil {
		return false, len(w.work.Tried) > 0 || pool.waitsForMemory(&w.work)
	}
	pool.waiting.pop(class)
	d.start(pool, t, &w.work, now)
	w.granted <- t
	return true, true
}

// rejectHopeless ends the wait of requests that no target takes before they give up.
func (d *Dispatcher) rejectHopeless(pool *pool, now time.Time) {
	ahead := 0
	for _, w := range pool.waiting.ordered() {
		if d.canServeLater(pool, &w.work, func() int { return ahead }, now) {
			ahead++
			continue
		}
		pool.waiting.remove(w)
		w.granted <- nil
	}
}
