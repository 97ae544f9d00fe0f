package load

import (
	"fmt"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/process/health"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/pick"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	// lossMaxAttempts is the maximum number of targets that are tried before a
	// request is queued again.
	lossMaxAttempts = 3
	// requeuePause is the pause before a request that no target took is queued again.
	requeuePause = 8 * time.Millisecond
	// linkTimeout is the time after which an entry or agent considers a silent peer
	// lost.
	linkTimeout = 1500 * time.Millisecond
	// creditPeriod is the interval of an agent's heartbeats, which carry its credits.
	creditPeriod = 500 * time.Millisecond
)

// lossClasses maps the index of a class to the class.
var lossClasses = []table.Class{table.ClassLow, table.ClassNormal, table.ClassHigh}

// lossPool is the state that one entry keeps for a pool.
type lossPool struct {
	set     *pick.Set
	queue   *admit.FairQueue
	credits map[string]int
	waiting []*lossRequest
}

// lossEntry is an entry with the queues, the pickers and the failure correlator of
// the product.
type lossEntry struct {
	sim    *lossSim
	index  int
	domain int
	up     bool
	pools  []*lossPool
	// linked reports whether the entry has a link to a target.
	linked     map[*lossTarget]bool
	attempts   map[*lossAttempt]*lossRequest
	correlator *health.Correlator
}

// start starts an entry, which knows the targets of the tables but not their load.
func (e *lossEntry) start() {
	e.up = true
	e.attempts = map[*lossAttempt]*lossRequest{}
	e.linked = map[*lossTarget]bool{}
	e.correlator = health.NewCorrelator(health.Config{Clock: e.sim.loop.clock, TargetCount: len(e.sim.targets)})
	e.pools = nil
	for pool := range lossPoolSizes {
		var targets []pick.Target
		for _, t := range e.sim.targets {
			if t.pool == pool {
				targets = append(targets, pick.Target{Name: t.name, FailureDomain: fmt.Sprint(t.domain)})
				e.linked[t] = t.engine.up
			}
		}
		e.pools = append(e.pools, &lossPool{
			set:     pick.NewSet(pick.PolicyScore, targets, nil, pick.SubsetConfig{}),
			queue:   admit.NewFairQueue(admit.FairQueueConfig{Capacity: 1, MaxQueued: lossMaxQueued, Clock: e.sim.loop.clock}),
			credits: map[string]int{},
		})
		e.updateCapacity(pool)
	}
}

// updateCapacity sets the capacity of a pool's queue to the number of requests in
// flight at the linked targets plus the credits that these granted.
func (e *lossEntry) updateCapacity(pool int) {
	p := e.pools[pool]
	total := 0
	for _, state := range p.set.States() {
		if e.linked[e.sim.target(state.Name())] {
			total += state.InFlight() + p.credits[state.Name()]
		}
	}
	p.queue.SetCapacity(total)
	e.startReady(pool)
}

// receive accepts a request, unless the entry is down.
func (e *lossEntry) receive(r *lossRequest) {
	if !e.up {
		return
	}
	e.enqueue(r)
}

// enqueue adds a request to the queue of its pool.
func (e *lossEntry) enqueue(r *lossRequest) {
	r.tried = nil
	w, err := e.pools[r.pool].queue.Enqueue(admit.Request{
		Organisation: organisationName(r.organisation),
		Class:        lossClasses[r.class],
		Weight:       organisationWeights[r.organisation],
	})
	if err != nil {
		e.sim.shed(r, err)
		return
	}
	r.waiter = w
	p := e.pools[r.pool]
	p.waiting = append(p.waiting, r)
	e.startReady(r.pool)
}

// startReady dispatches the requests whose wait in the queue has ended.
func (e *lossEntry) startReady(pool int) {
	p := e.pools[pool]
	var ready []*lossRequest
	p.waiting = slices.DeleteFunc(p.waiting, func(r *lossRequest) bool {
		select {
		case <-r.waiter.Ready():
			ready = append(ready, r)
			return true
		default:
			return false
		}
	})
	for _, r := range ready {
		if err := r.waiter.Err(); err != nil {
			e.sim.shed(r, err)
			continue
		}
		e.dispatch(r)
	}
}

// dispatch sends a request to the best linked target that it has not tried yet, or
// queues it again if there is none or lossMaxAttempts is reached.
func (e *lossEntry) dispatch(r *lossRequest) {
	q := &pick.Query{Cost: float64(r.promptTokens), Random: e.sim.noise.random.Uint64(), Now: e.sim.loop.now}
	q.Avoid = func(state *pick.TargetState) bool {
		t := e.sim.target(state.Name())
		return !e.linked[t] || slices.Contains(r.tried, t)
	}
	state, ok := e.pools[r.pool].set.Pick(q)
	if !ok || len(r.tried) >= lossMaxAttempts {
		e.requeue(r, requeuePause)
		return
	}
	work := state.Begin(q)
	t := e.sim.target(state.Name())
	a := &lossAttempt{entry: e, target: t}
	a.onEnd = func(ok bool) { state.End(&work, e.sim.loop.now, ok) }
	a.onFirstToken = func() { state.FirstToken(&work, e.sim.loop.now) }
	r.attempt = a
	r.tried = append(r.tried, t)
	e.attempts[a] = r
	p := e.pools[r.pool]
	p.credits[t.name] = max(p.credits[t.name]-1, 0)
	e.sim.loop.after(e.sim.delay(e.domain, t.domain), func() { t.receive(r, a) })
}

// requeue queues a request again after a pause, ahead of the others of its
// organisation. The request keeps its slot during the pause, so that the entry sends
// no more than the targets accept.
func (e *lossEntry) requeue(r *lossRequest, pause time.Duration) {
	r.tried = nil
	e.sim.loop.after(pause, func() {
		if !e.up || r.outcome != lossPending {
			return
		}
		r.waiter.Requeue()
		p := e.pools[r.pool]
		p.waiting = append(p.waiting, r)
		e.startReady(r.pool)
	})
}

// finishAttempt ends an attempt and reports its result to the picker.
func (e *lossEntry) finishAttempt(r *lossRequest, a *lossAttempt, ok bool) {
	a.finished = true
	a.onEnd(ok)
	r.attempt = nil
	delete(e.attempts, a)
}

// handleRefusal pauses the target that refused a request and tries the next one.
func (e *lossEntry) handleRefusal(r *lossRequest, a *lossAttempt, wait time.Duration) {
	e.finishAttempt(r, a, false)
	state := e.pools[r.pool].set.Find(a.target.name)
	state.PauseUntil(e.sim.loop.now + wait)
	e.pools[r.pool].credits[a.target.name] = 0
	e.dispatch(r)
	e.updateCapacity(r.pool)
}

// recordFirstToken records the first token of a request.
func (e *lossEntry) recordFirstToken(r *lossRequest, a *lossAttempt) {
	a.onFirstToken()
	if r.firstToken == 0 {
		r.firstToken = e.sim.loop.now + e.sim.user.callerDelay - r.arrived
	}
}

// completeAttempt ends a request that was answered in full.
func (e *lossEntry) completeAttempt(r *lossRequest, a *lossAttempt, credits int) {
	e.finishAttempt(r, a, true)
	r.outcome = lossAnswered
	e.sim.recordEnd(r)
	r.waiter.Release()
	e.updateCredits(a.target, credits)
}

// updateCredits records the credits that a target granted.
func (e *lossEntry) updateCredits(t *lossTarget, n int) {
	if !e.up {
		return
	}
	e.linked[t] = true
	p := e.pools[t.pool]
	p.credits[t.name] = n
	p.set.Find(t.name).SetCredits(n)
	e.updateCapacity(t.pool)
}

// handleLinkLoss handles the loss of the link to a target. Requests at the target are
// retried, except for orders: it is unknown whether they ran.
func (e *lossEntry) handleLinkLoss(t *lossTarget) {
	if !e.up {
		return
	}
	e.linked[t] = false
	e.pools[t.pool].credits[t.name] = 0
	e.correlator.Record(health.Failure{Target: t.name, Incarnation: uint64(t.engine.incarnation), AtMillis: e.sim.loop.clock.Now().UnixMilli()})
	for _, a := range e.attemptsAt(t) {
		r := e.attempts[a]
		e.finishAttempt(r, a, false)
		if r.order {
			r.outcome = lossUnknown
			r.waiter.Release()
			e.sim.recordEnd(r)
			continue
		}
		e.retry(r)
	}
	e.updateCapacity(t.pool)
}

// retry runs a request again after the loss of its target: at once, or through the
// queue during a mass failure.
func (e *lossEntry) retry(r *lossRequest) {
	advice := health.Advise(e.correlator.CountRecentlyFailed(health.MassFailureWindow), len(e.sim.targets), health.Demand{Capacity: 1})
	if advice.AllowRetries {
		e.dispatch(r)
		return
	}
	e.requeue(r, 0)
}

// attemptsAt returns the attempts at a target, in the same order in each run.
func (e *lossEntry) attemptsAt(t *lossTarget) []*lossAttempt {
	var list []*lossAttempt
	for a := range e.attempts {
		if a.target == t {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *lossAttempt) int {
		return e.attempts[a].number - e.attempts[b].number
	})
	return list
}

// stop stops an entry. The agents cancel its requests after linkTimeout; its callers
// fail over to other entries.
func (e *lossEntry) stop() {
	e.up = false
	lost := e.attempts
	e.attempts = map[*lossAttempt]*lossRequest{}
	e.sim.loop.after(linkTimeout, func() {
		for a := range lost {
			a.finished = true
			a.target.cancel(a)
		}
	})
}
