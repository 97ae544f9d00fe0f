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
	// lossAttempts bounds the targets tried before a request goes back to the
	// queue.
	lossAttempts = 3
	// backPause is the pause of a request that its targets refused.
	backPause = 8 * time.Millisecond
	// linkTimeout is the time after which an entry or agent counts a peer that
	// fell silent as gone.
	linkTimeout = 1500 * time.Millisecond
	// creditsEvery is the time between an agent's heartbeats, which carry its
	// credits.
	creditsEvery = 500 * time.Millisecond
)

// lossClasses are the classes of requests, by index.
var lossClasses = []table.Class{table.ClassLow, table.ClassNormal, table.ClassHigh}

// lossPool is a pool as one entry sees it.
type lossPool struct {
	set     *pick.Set
	queue   *admit.FairQueue
	credits map[string]int
	waiting []*lossRequest
}

// lossEntry is an entry with the product's queues, pickers and groups.
type lossEntry struct {
	sim    *lossSim
	index  int
	domain int
	up     bool
	pools  []*lossPool
	// linked tells which targets it has a link to.
	linked     map[*lossTarget]bool
	attempts   map[*lossAttempt]*lossRequest
	correlator *health.Correlator
}

// start brings an entry up; it knows the targets of the tables and nothing of
// their load.
func (e *lossEntry) start() {
	e.up = true
	e.attempts = map[*lossAttempt]*lossRequest{}
	e.linked = map[*lossTarget]bool{}
	e.correlator = health.NewCorrelator(health.Config{Clock: e.sim.loop.clock, Targets: len(e.sim.targets)})
	e.pools = nil
	for pool := range lossPools {
		var targets []pick.Target
		for _, t := range e.sim.targets {
			if t.pool == pool {
				targets = append(targets, pick.Target{Name: t.name, FailureDomain: fmt.Sprint(t.domain)})
				e.linked[t] = t.engine.up
			}
		}
		e.pools = append(e.pools, &lossPool{
			set:     pick.NewSet(pick.PolicyScore, targets, nil, pick.SubsetConfig{}),
			queue:   admit.NewFairQueue(admit.FairQueueConfig{Capacity: 1, MaxQueued: lossQueued, Clock: e.sim.loop.clock}),
			credits: map[string]int{},
		})
		e.resize(pool)
	}
}

// resize lets through what the entry has at the targets and what they grant.
func (e *lossEntry) resize(pool int) {
	p := e.pools[pool]
	total := 0
	for _, state := range p.set.States() {
		if e.linked[e.sim.target(state.Name())] {
			total += state.InFlight() + p.credits[state.Name()]
		}
	}
	p.queue.SetCapacity(total)
	e.poll(pool)
}

// receive takes a request in.
func (e *lossEntry) receive(r *lossRequest) {
	if !e.up {
		return
	}
	e.join(r)
}

// join queues a request.
func (e *lossEntry) join(r *lossRequest) {
	r.tried = nil
	w, err := e.pools[r.pool].queue.Enqueue(admit.Request{
		Organisation: organisationName(r.organisation),
		Class:        lossClasses[r.class],
		Weight:       lossWeights[r.organisation],
	})
	if err != nil {
		e.sim.shed(r, err)
		return
	}
	r.waiter = w
	p := e.pools[r.pool]
	p.waiting = append(p.waiting, r)
	e.poll(r.pool)
}

// poll starts the requests whose wait has ended.
func (e *lossEntry) poll(pool int) {
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

// dispatch sends a request to the best target that it has not tried.
func (e *lossEntry) dispatch(r *lossRequest) {
	q := &pick.Query{Cost: float64(r.promptTokens), Random: e.sim.noise.random.Uint64(), Now: e.sim.loop.now}
	q.Avoid = func(state *pick.TargetState) bool {
		t := e.sim.target(state.Name())
		return !e.linked[t] || slices.Contains(r.tried, t)
	}
	state, ok := e.pools[r.pool].set.Pick(q)
	if !ok || len(r.tried) >= lossAttempts {
		e.back(r, backPause)
		return
	}
	work := state.Begin(q)
	t := e.sim.target(state.Name())
	a := &lossAttempt{entry: e, target: t}
	a.end = func(ok bool) { state.End(&work, e.sim.loop.now, ok) }
	a.first = func() { state.FirstToken(&work, e.sim.loop.now) }
	r.attempt = a
	r.tried = append(r.tried, t)
	e.attempts[a] = r
	p := e.pools[r.pool]
	p.credits[t.name] = max(p.credits[t.name]-1, 0)
	e.sim.loop.after(e.sim.delay(e.domain, t.domain), func() { t.receive(r, a) })
}

// back queues a request again after a pause, before the others of its
// organisation. It keeps its slot meanwhile, so that the entry sends no more
// than the targets may take.
func (e *lossEntry) back(r *lossRequest, pause time.Duration) {
	r.tried = nil
	e.sim.loop.after(pause, func() {
		if !e.up || r.outcome != lossPending {
			return
		}
		r.waiter.Requeue()
		p := e.pools[r.pool]
		p.waiting = append(p.waiting, r)
		e.poll(r.pool)
	})
}

// finishAttempt ends an attempt.
func (e *lossEntry) finishAttempt(r *lossRequest, a *lossAttempt, ok bool) {
	a.over = true
	a.end(ok)
	r.attempt = nil
	delete(e.attempts, a)
}

// refused lets a request try another target.
func (e *lossEntry) refused(r *lossRequest, a *lossAttempt, wait time.Duration) {
	e.finishAttempt(r, a, false)
	state := e.pools[r.pool].set.Find(a.target.name)
	state.PauseUntil(e.sim.loop.now + wait)
	e.pools[r.pool].credits[a.target.name] = 0
	e.dispatch(r)
	e.resize(r.pool)
}

// firstToken passes the first token on.
func (e *lossEntry) firstToken(r *lossRequest, a *lossAttempt) {
	a.first()
	if r.first == 0 {
		r.first = e.sim.loop.now + e.sim.user.client - r.arrived
	}
}

// done passes the whole answer on.
func (e *lossEntry) done(r *lossRequest, a *lossAttempt, credits int) {
	e.finishAttempt(r, a, true)
	r.outcome = lossAnswered
	e.sim.ended(r)
	r.waiter.Release()
	e.credits(a.target, credits)
}

// credits takes in what a target grants.
func (e *lossEntry) credits(t *lossTarget, n int) {
	if !e.up {
		return
	}
	e.linked[t] = true
	p := e.pools[t.pool]
	p.credits[t.name] = n
	p.set.Find(t.name).SetCredits(n)
	e.resize(t.pool)
}

// lost tells that the link to a target is gone: its requests go back to the
// queue, but for orders, of which nobody knows whether they ran.
func (e *lossEntry) lost(t *lossTarget) {
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
			e.sim.ended(r)
			continue
		}
		e.again(r)
	}
	e.resize(t.pool)
}

// again runs a request whose target is gone once more: at once, or from the
// queue when many targets failed together.
func (e *lossEntry) again(r *lossRequest) {
	advice := health.Advise(e.correlator.CountRecentlyFailed(health.MassFailureWindow), len(e.sim.targets), health.Demand{Capacity: 1})
	if advice.Retries {
		e.dispatch(r)
		return
	}
	e.back(r, 0)
}

// attemptsAt lists the attempts at a target, in an order that is the same on
// every run.
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

// stop ends an entry; agents cancel its work once its links are gone, and its
// callers turn to another entry.
func (e *lossEntry) stop() {
	e.up = false
	lost := e.attempts
	e.attempts = map[*lossAttempt]*lossRequest{}
	e.sim.loop.after(linkTimeout, func() {
		for a := range lost {
			a.over = true
			a.target.cancel(a)
		}
	})
}
