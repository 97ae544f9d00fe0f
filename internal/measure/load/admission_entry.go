package load

import (
	"fmt"
	"math"
	"time"

	"verbenaseam.example/verbenaseam/request/capacity"
	"verbenaseam.example/verbenaseam/request/dispatch"
)

// admissionEntry is an entry.
type admissionEntry struct {
	sim        *admissionSim
	name       string
	dispatcher *dispatch.Dispatcher
	deadlines  [kindCount]capacity.FirstDeadlines
	waiting    []*admissionWaiter
}

// admissionWaiter is a request in an entry's queue.
type admissionWaiter struct {
	caller *admissionCaller
	work   dispatch.Request
	waiter *dispatch.Waiter
	ended  bool
}

// handle processes a request that states the time left.
func (e *admissionEntry) handle(c *admissionCaller, left time.Duration) {
	kind, now := admissionKinds[c.kind], e.sim.now()
	work := dispatch.Request{
		Service: "s", Urgency: kind.urgency, QueueDeadline: now.Add(time.Duration(0.6 * float64(kind.objective))),
		Timing: capacity.Timing{Arrived: now},
	}
	if e.sim.policy.deadlineAware {
		work.Organisation = fmt.Sprint(c.organisation)
		work.Timing.Objective, work.Timing.Deadline = kind.objective, now.Add(left)
		work.Timing.Age = e.deadlines[c.kind].Age(left)
	}
	e.acquire(c, work)
}

// acquire sends the request to a target, queues it or rejects it.
func (e *admissionEntry) acquire(c *admissionCaller, work dispatch.Request) {
	t, waiter := e.dispatcher.Acquire(work, e.sim.now())
	switch {
	case t != nil:
		e.send(c, work, t)
	case waiter == nil:
		e.reject(c, work)
	default:
		w := &admissionWaiter{caller: c, work: work, waiter: waiter}
		e.waiting = append(e.waiting, w)
		e.sim.loop.after(waiter.GiveUp().Sub(e.sim.now()), func() { e.giveUp(w) })
		e.collect()
	}
}

// collect handles the waiters that have been granted a target or rejected.
func (e *admissionEntry) collect() {
	waiting := e.waiting
	e.waiting = nil
	for _, w := range waiting {
		select {
		case t := <-w.waiter.Granted():
			e.end(w, t)
		default:
			e.waiting = append(e.waiting, w)
		}
	}
}

func (e *admissionEntry) giveUp(w *admissionWaiter) {
	if w.ended {
		return
	}
	e.end(w, e.dispatcher.CancelWait(w.waiter))
	for i, other := range e.waiting {
		if other == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

// end ends a wait, with a target or nil.
func (e *admissionEntry) end(w *admissionWaiter, t *dispatch.Target) {
	w.ended = true
	if t == nil {
		e.reject(w.caller, w.work)
		return
	}
	e.send(w.caller, w.work, t)
}

func (e *admissionEntry) reject(c *admissionCaller, work dispatch.Request) {
	retryAfter := 500*time.Millisecond + time.Duration(e.sim.random.Float64()*float64(300*time.Millisecond))
	if drain, known := e.dispatcher.DrainTime("s", work.Urgency, e.sim.now()); known && e.sim.policy.deadlineAware {
		retryAfter = time.Duration(float64(max(drain, 100*time.Millisecond)) * (1 + e.sim.random.Float64()/2))
	}
	e.sim.loop.after(admissionDelay, func() { c.rejected(retryAfter) })
}

// send sends the request to an engine.
func (e *admissionEntry) send(c *admissionCaller, work dispatch.Request, t *dispatch.Target) {
	sent := e.sim.loop.now
	work.Tried = append(work.Tried, t)
	e.sim.loop.after(admissionDelay, func() {
		e.sim.engines[t.ID()].accept(&engineWork{
			urgency: work.Urgency,
			first: func() {
				e.sim.loop.after(admissionDelay, func() {
					e.dispatcher.FirstProgress(t, e.sim.loop.now-sent, e.sim.now())
					e.sim.loop.after(admissionDelay, c.responded)
				})
			},
			done: func() { e.sim.loop.after(admissionDelay, func() { e.release(t, dispatch.Served) }) },
			refused: func() {
				e.sim.loop.after(admissionDelay, func() {
					e.release(t, dispatch.Full)
					if len(work.Tried) < 2 {
						e.acquire(c, work)
					} else {
						e.reject(c, work)
					}
				})
			},
		})
	})
}

func (e *admissionEntry) release(t *dispatch.Target, result dispatch.Result) {
	e.dispatcher.Release(t, result, e.sim.now())
	e.collect()
}

// report sends a heartbeat to the other entries.
func (e *admissionEntry) report() {
	load, demand := e.dispatcher.Load(), e.dispatcher.Demand(e.sim.now())
	for _, peer := range e.sim.entries {
		if peer == e {
			continue
		}
		e.sim.loop.after(admissionDelay, func() {
			peer.dispatcher.SetPeerLoad(e.name, load, e.sim.now())
			if e.sim.policy.urgencyAware {
				peer.dispatcher.SetPeerDemand(e.name, demand, e.sim.now())
			}
			peer.collect()
		})
	}
}

// admissionEngine runs requests in slots. It gets slower with its load.
type admissionEngine struct {
	sim     *admissionSim
	running int
	queue   []*engineWork
}

// engineWork is a request at an engine.
type engineWork struct {
	urgency              int
	first, done, refused func()
}

func (g *admissionEngine) accept(w *engineWork) {
	switch {
	case g.running < admissionSlots:
		g.start(w)
	case len(g.queue) >= admissionEngineQueue:
		w.refused()
	default:
		g.sim.outcome.engineWaits++
		g.queue = append(g.queue, w)
	}
}

func (g *admissionEngine) start(w *engineWork) {
	g.running++
	fullness := float64(g.running) / admissionSlots
	first := time.Duration((60 + 140*fullness*fullness) * math.Exp(0.2*g.sim.random.NormFloat64()) * float64(time.Millisecond))
	rest := time.Duration(18 * (40 + 40*fullness) * math.Exp(0.1*g.sim.random.NormFloat64()) * float64(time.Millisecond))
	g.sim.loop.after(first, w.first)
	g.sim.loop.after(first+rest, func() {
		g.running--
		if len(g.queue) > 0 {
			g.start(g.takeNext())
		}
		w.done()
	})
}

// takeNext removes the next request from the queue: the most urgent one if urgencies are
// stated, otherwise the first.
func (g *admissionEngine) takeNext() *engineWork {
	next := 0
	if g.sim.policy.urgencyAware {
		for i, w := range g.queue {
			if w.urgency < g.queue[next].urgency {
				next = i
			}
		}
	}
	w := g.queue[next]
	g.queue = append(g.queue[:next], g.queue[next+1:]...)
	return w
}
