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
	wait, known := pool.waitOf(&work, now)
	if late := known && !now.Before(wait.LatestStart); !pool.waiting.blocks(late, work.Urgency) {
		if t := d.choose(pool, &work, now); t != nil {
			t.take(now)
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

// take counts a request as running on the target and records when it was sent.
func (t *Target) take(now time.Time) {
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
		if pool.waiting.len() > 0 && pool.limited(d.domainsOut) {
			d.rejectHopeless(pool, now)
		}
	}
}

// grant assigns targets to the waiters of a pool in queue order. A waiter that was
// already sent to some targets and finds none of the others free is skipped, so that
// it does not block those behind it.
func (d *Dispatcher) grant(pool *pool, now time.Time) {
	if pool.waiting.len() == 0 {
		return
	}
	d.setAsideLate(pool, now)
	for _, class := range slices.Clone(pool.waiting.classes) {
		if !d.grantClass(pool, class, now) {
			break
		}
	}
	pool.waiting.dropEmptyClasses()
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
	for class.order.Len() > 0 {
		next := class.order.Peek()
		w := next.Value.(*Waiter)
		t := d.choose(pool, &w.work, now)
		if t == nil && len(w.work.Tried) == 0 {
			return false
		}
		if t == nil {
			skipped = append(skipped, class.order.Pop())
			continue
		}
		pool.waiting.pop(class)
		t.take(now)
		w.granted <- t
	}
	return true
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
