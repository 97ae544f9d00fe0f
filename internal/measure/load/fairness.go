package load

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	fairSlots         = 64
	fairOrganisations = 20
	// fairLoad is the part of its share that each ordinary organisation uses.
	fairLoad = 0.7
	// fairGreed is what the greedy one asks for, in shares.
	fairGreed   = 20
	fairRunTime = 200 * time.Second
	fairWarmUp  = 20 * time.Second
	// fairFirstToken and fairService are the medians of the time to the first
	// token and of a whole request at a target.
	fairFirstToken = 200 * time.Millisecond
	fairService    = time.Second
	// memoryOrganisations is the number of organisations in steady use;
	// memoryBudget is what control may take of a node's memory, in MB.
	memoryOrganisations = 42000
	memoryBudget        = 128
)

// fairSim is one entry's queue before a pool that always takes what the queue
// lets through.
type fairSim struct {
	loop   *loop
	queue  *admit.FairQueue
	source *generator
	places []*fairPlace
	// latencies are those of the ordinary organisations, in milliseconds.
	latencies []float64
	shed      int
	// busy is the time of all requests that got a slot.
	busy time.Duration
}

// fairPlace is one request that waits.
type fairPlace struct {
	waiter  *admit.Waiter
	arrived time.Duration
	greedy  bool
}

// runFair runs the ordinary organisations, with or without the greedy one.
func runFair(greedy bool, seed uint64) *fairSim {
	l := newLoop()
	s := &fairSim{
		loop:   l,
		queue:  admit.NewFairQueue(admit.FairQueueConfig{Capacity: fairSlots, Clock: l.clock}),
		source: newGenerator(workload{spread: 0.5}, seed),
	}
	share := fairSlots / fairService.Seconds() / fairOrganisations
	for i := range fairOrganisations - 1 {
		s.stream(fmt.Sprint("organisation-", i), share*fairLoad, false)
	}
	if greedy {
		s.stream("greedy", share*fairGreed, true)
	}
	l.runUntil(fairRunTime)
	return s
}

// stream lets an organisation's requests arrive for ever.
func (s *fairSim) stream(organisation string, rate float64, greedy bool) {
	random := newGenerator(workload{}, hashOf(uint64(len(organisation)), uint64(organisation[len(organisation)-1])))
	var arrive func()
	arrive = func() {
		s.loop.after(random.gap(rate), arrive)
		w, err := s.queue.Enqueue(admit.Request{Organisation: organisation, Class: table.ClassNormal})
		if err != nil {
			s.noteShed(greedy)
			return
		}
		s.places = append(s.places, &fairPlace{w, s.loop.now, greedy})
		s.poll()
	}
	s.loop.after(random.gap(rate), arrive)
}

// noteShed counts a shed request of an ordinary organisation.
func (s *fairSim) noteShed(greedy bool) {
	if !greedy {
		s.shed++
	}
}

// poll starts the requests whose wait has ended.
func (s *fairSim) poll() {
	waiting := s.places[:0]
	for _, p := range s.places {
		select {
		case <-p.waiter.Ready():
			s.started(p)
		default:
			waiting = append(waiting, p)
		}
	}
	clear(s.places[len(waiting):])
	s.places = waiting
}

// started runs a request, unless it was shed.
func (s *fairSim) started(p *fairPlace) {
	if p.waiter.Err() != nil {
		s.noteShed(p.greedy)
		return
	}
	first := time.Duration(s.source.length(float64(fairFirstToken)))
	if !p.greedy && p.arrived > fairWarmUp {
		s.latencies = append(s.latencies, milliseconds(s.loop.now-p.arrived+first))
	}
	service := time.Duration(s.source.length(float64(fairService)))
	s.busy += service
	s.loop.after(service, func() {
		p.waiter.Release()
		s.poll()
	})
}

// fairSeeds are the runs of which the worst is shown.
var fairSeeds = []uint64{31, 131, 231, 331}

// fairRun is a pair of runs with one seed.
type fairRun struct{ alone, beside *fairSim }

// runFairSeeds runs all seeds.
func runFairSeeds() []fairRun {
	runs := make([]fairRun, len(fairSeeds))
	var group errgroup.Group
	group.SetLimit(studyWorkers)
	for i, seed := range fairSeeds {
		group.Go(func() error {
			runs[i] = fairRun{runFair(false, seed), runFair(true, seed)}
			return nil
		})
	}
	_ = group.Wait()
	return runs
}

// studyFairness measures what a greedy organisation costs the others.
func studyFairness(context.Context) (measure.Result, error) {
	before, after, worst, shed, used := 0.0, 0.0, 0.0, 0, 1.0
	for _, run := range runFairSeeds() {
		a, b := percentile(run.alone.latencies, 0.99), percentile(run.beside.latencies, 0.99)
		if b/a > worst {
			before, after, worst = a, b, b/a
		}
		shed += run.beside.shed
		used = min(used, run.beside.busy.Seconds()/fairSlots/fairRunTime.Seconds())
	}
	return measure.Result{Figures: []measure.Figure{
		{Name: "others' first token p99, alone, worst seed", Value: before, Unit: "ms"},
		{Name: "others' first token p99, beside one at 20 shares, worst seed", Value: after, Unit: "ms"},
		{Name: "others' first token p99, beside over alone, worst seed", Value: worst, Unit: "ratio", Limit: measure.AtMost, Bound: 1.2},
		{Name: "others' requests shed, beside", Value: float64(shed), Unit: "count", Limit: measure.AtMost},
		{Name: "slots in use, beside, worst seed", Value: used, Unit: "share"},
	}}, nil
}

// studyOrganisations measures the memory of organisations in the queue and the
// quotas of one entry.
func studyOrganisations(context.Context) (measure.Result, error) {
	base := heapInUse()
	l := newLoop()
	queue := admit.NewFairQueue(admit.FairQueueConfig{Capacity: 1, MaxQueued: memoryOrganisations, Clock: l.clock})
	quotas := admit.NewQuotas("entry-0", 1, l.clock)
	waiters := make([]*admit.Waiter, 0, memoryOrganisations)
	for i := range memoryOrganisations {
		name := fmt.Sprint("organisation-", i)
		if err := quotas.Allow(name, 1); err != nil {
			return measure.Result{}, err
		}
		w, err := queue.Enqueue(admit.Request{Organisation: name, Class: table.ClassNormal})
		if err != nil {
			return measure.Result{}, err
		}
		waiters = append(waiters, w)
	}
	busy := heapInUse() - base
	for _, w := range waiters {
		w.Release()
	}
	clear(waiters)
	l.runUntil(time.Minute)
	quotas.Report(nil)
	left := queue.State().Organisations + quotas.OrganisationCount()
	runtime.KeepAlive(waiters)
	return measure.Result{Figures: []measure.Figure{
		{Name: "42,000 organisations with a request each in one entry's queue and quotas", Value: busy / (1 << 20), Unit: "MB", Limit: measure.AtMost, Bound: memoryBudget},
		{Name: "one such organisation", Value: busy / memoryOrganisations, Unit: "B"},
		{Name: "organisations with state once all are idle", Value: float64(left), Unit: "count", Limit: measure.AtMost},
	}}, nil
}

// heapInUse is the memory in use, in bytes.
func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
