package dispatch

import (
	"fmt"
	"testing"
	"time"

	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/request/capacity"
	"verbenaseam.example/verbenaseam/version/config"
)

// newLoadedDispatcher returns a dispatcher with many full targets, reports of other processes
// and many waiting requests of all urgencies.
func newLoadedDispatcher(targets, slots, waiting int) (*Dispatcher, []*Target) {
	d := newDispatcher(targets, slots)
	d.SetServices(map[string]*config.Service{"s": {Name: "s", MixedUrgency: true}}, start)
	d.SetProcesses(NewProcesses("a", []string{"b", "c", "d"}))
	for _, peer := range []string{"b", "c", "d"} {
		d.SetPeerDemand(peer, []presence.ServiceDemand{
			{Service: "s", Urgency: 0, PerSecond: 100, Waiting: 4}, {Service: "s", Urgency: 2, PerSecond: 300, Waiting: 100},
		}, start)
	}
	var running []*Target
	for range targets * slots {
		if t, _ := d.Acquire(timedFor(0, 0), start); t != nil {
			running = append(running, t)
		}
	}
	for n := range waiting {
		d.Acquire(timedFor(n%3, n), start)
	}
	return d, running
}

func timedFor(urgency, n int) Request {
	return Request{
		Service: "s", Urgency: urgency, Organisation: fmt.Sprint("organisation-", n%200), QueueDeadline: at(time.Hour),
		Timing: capacity.Timing{Arrived: start, Objective: time.Hour},
	}
}

// BenchmarkQueue measures the decision on a request that arrives while 10,000 wait for 129
// full targets, and its cancellation.
func BenchmarkQueue(b *testing.B) {
	d, _ := newLoadedDispatcher(129, 10, 10_000)
	work := timedFor(1, 0)
	b.ReportAllocs()
	for b.Loop() {
		_, w := d.Acquire(work, start)
		d.CancelWait(w)
	}
}

// BenchmarkGrant measures the decision which of 10,000 waiting requests gets a slot that
// becomes free at one of 129 targets.
func BenchmarkGrant(b *testing.B) {
	d, running := newLoadedDispatcher(129, 10, 10_000)
	work := timedFor(0, 0)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		d.Acquire(work, start)
		d.Release(running[n%len(running)], Served, start)
	}
}
