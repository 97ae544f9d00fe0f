package load

import (
	"context"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/version/config"
)

const (
	orderEntries   = 13
	orderRate      = 60
	orderSlots     = 6
	orderWork      = 30 * time.Millisecond
	orderObjective = 200 * time.Millisecond
	orderTick      = 50 * time.Millisecond
	// One target takes slowOrderFactor times as long in the middle third of a run.
	slowOrderFactor = 12
	orderRun        = 30 * time.Second
)

// orderSim is an order service with one target in each of three failure domains.
type orderSim struct {
	loop        *eventLoop
	source      *generator
	dispatchers []*dispatch.Dispatcher
	running     map[string]int
	waiting     map[string][]func()
	// paced is set if the dispatchers learn response times.
	paced      bool
	sent, late float64
	// afterSent and afterSlow are the requests from 5 s after the target has recovered: all, and
	// those sent to it.
	afterSent, afterSlow float64
}

func orderTarget(n int) target.Registration {
	return target.Registration{
		ID: fmt.Sprint("o", n), Service: "orders", Address: fmt.Sprintf("10.0.0.%d:80", n),
		FailureDomain: fmt.Sprint("d", n), Capacity: orderSlots,
	}
}

func newOrderSim(paced bool) *orderSim {
	s := &orderSim{
		loop: newEventLoop(), source: newGenerator(workload{}, 31), paced: paced,
		running: map[string]int{}, waiting: map[string][]func(){},
	}
	for n := range orderEntries {
		d := dispatch.New(dispatch.Config{FailureDomain: fmt.Sprint("d", n%domainCount), Random: newRandom(uint64(n)).Float64})
		d.SetServices(map[string]*config.Service{"orders": {
			Name: "orders", Delays: config.Delays{config.AnyDomain: {config.AnyDomain: 500 * time.Microsecond}},
		}}, s.loop.clock.Now())
		for t := range domainCount {
			d.Register(orderTarget(t), s.loop.clock.Now())
		}
		s.dispatchers = append(s.dispatchers, d)
	}
	return s
}

func (s *orderSim) run() *orderSim {
	s.loop.after(0, s.arrive)
	s.loop.every(orderTick, func() {
		for _, d := range s.dispatchers {
			d.Tick(s.loop.clock.Now())
		}
	})
	s.loop.every(reportInterval, func() {
		for n, d := range s.dispatchers {
			for m, other := range s.dispatchers {
				if m != n {
					other.SetPeerDomain(fmt.Sprint(n), fmt.Sprint("d", n%domainCount))
					other.SetPeerLoad(fmt.Sprint(n), d.Load(), s.loop.clock.Now())
				}
			}
		}
	})
	s.loop.runUntil(orderRun)
	return s
}

// arrive sends one request and schedules the next arrival.
func (s *orderSim) arrive() {
	s.loop.after(s.source.drawInterarrivalTime(orderRate), s.arrive)
	d := s.dispatchers[s.source.random.IntN(len(s.dispatchers))]
	now := s.loop.clock.Now()
	s.sent++
	t, waiter := d.Acquire(dispatch.Request{Service: "orders", QueueDeadline: now.Add(orderObjective)}, now)
	if t == nil {
		if waiter != nil {
			d.CancelWait(waiter)
		}
		s.late++
		return
	}
	slow := t.ID() == "o0"
	if s.loop.now >= orderRun*2/3+5*time.Second {
		s.afterSent++
		s.afterSlow += float64(boolToInt(slow))
	}
	start := func() {
		s.running[t.ID()]++
		work := orderWork
		if slow && s.loop.now >= orderRun/3 && s.loop.now < orderRun*2/3 {
			work *= slowOrderFactor
		}
		s.loop.after(work, func() { s.end(d, t, now) })
	}
	if s.running[t.ID()] >= orderSlots {
		s.waiting[t.ID()] = append(s.waiting[t.ID()], start)
		return
	}
	start()
}

// end ends a request that an entry received at the given time.
func (s *orderSim) end(d *dispatch.Dispatcher, t *dispatch.Target, arrived time.Time) {
	now := s.loop.clock.Now()
	if now.Sub(arrived) > orderObjective {
		s.late++
	}
	if s.paced {
		d.RecordResponse(t, now.Sub(arrived), true, now)
	}
	d.Release(t, dispatch.Served, now)
	s.running[t.ID()]--
	if queue := s.waiting[t.ID()]; len(queue) > 0 {
		s.waiting[t.ID()] = queue[1:]
		queue[0]()
	}
}

// studySlowOrders compares the choice by pace with that by load alone, while one of three
// order targets is slow.
func studySlowOrders(context.Context) (measure.Result, error) {
	byLoad, byPace := newOrderSim(false).run(), newOrderSim(true).run()
	const name = "orders, a target 12 times as slow for 10 of 30 s, "
	return measure.Result{Figures: []measure.Figure{
		{Name: name + "by load: late", Value: byLoad.late / byLoad.sent, Unit: "share"},
		{Name: name + "by pace: late", Value: byPace.late / byPace.sent, Unit: "share", Limit: measure.AtMost, Bound: maxFullShare},
		{Name: name + "by load: sent to it 5 s after", Value: byLoad.afterSlow / byLoad.afterSent, Unit: "share"},
		{Name: name + "by pace: sent to it 5 s after", Value: byPace.afterSlow / byPace.afterSent, Unit: "share"},
	}}, nil
}
