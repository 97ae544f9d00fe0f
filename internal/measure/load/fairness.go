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
	// ordinaryLoad is the request rate of each ordinary organisation, as a fraction
	// of its fair share.
	ordinaryLoad = 0.7
	// greedyLoad is the request rate of the greedy organisation, in fair shares.
	greedyLoad   = 20
	fairDuration = 200 * time.Second
	fairWarmUp   = 20 * time.Second
	// fairFirstTokenMedian and fairServiceMedian are the median times to the first
	// token and to the end of a request at a target.
	fairFirstTokenMedian = 200 * time.Millisecond
	fairServiceMedian    = time.Second
	// memoryOrganisations is the number of organisations in steady use. memoryBudget
	// is the part of a node's memory that is available to request control, in MB.
	memoryOrganisations = 42000
	memoryBudget        = 128
)

// fairnessSim simulates the queue of one entry in front of a pool that accepts every
// request that the queue releases.
type fairnessSim struct {
	loop    *eventLoop
	queue   *admit.FairQueue
	source  *generator
	waiting []*waitingRequest
	// latencies are the times to the first token of the ordinary organisations, in
	// milliseconds.
	latencies []float64
	shed      int
	// busy is the total service time of the requests that got a slot.
	busy time.Duration
}

// waitingRequest is a request in the queue.
type waitingRequest struct {
	waiter  *admit.Waiter
	arrived time.Duration
	greedy  bool
}

// runFairness simulates the ordinary organisations, with or without the greedy one.
func runFairness(greedy bool, seed uint64) *fairnessSim {
	l := newEventLoop()
	s := &fairnessSim{
		loop:   l,
		queue:  admit.NewFairQueue(admit.FairQueueConfig{Capacity: fairSlots, Clock: l.clock}),
		source: newGenerator(workload{sigma: 0.5}, seed),
	}
	fairShare := fairSlots / fairServiceMedian.Seconds() / fairOrganisations
	for i := range fairOrganisations - 1 {
		s.startArrivals(fmt.Sprint("organisation-", i), fairShare*ordinaryLoad, false)
	}
	if greedy {
		s.startArrivals("greedy", fairShare*greedyLoad, true)
	}
	l.runUntil(fairDuration)
	return s
}

// startArrivals schedules the arrivals of an organisation's requests until the end of
// the run.
func (s *fairnessSim) startArrivals(organisation string, rate float64, greedy bool) {
	random := newGenerator(workload{}, hashPair(uint64(len(organisation)), uint64(organisation[len(organisation)-1])))
	var arrive func()
	arrive = func() {
		s.loop.after(random.drawInterarrivalTime(rate), arrive)
		w, err := s.queue.Enqueue(admit.Request{Organisation: organisation, Class: table.ClassNormal})
		if err != nil {
			s.countShed(greedy)
			return
		}
		s.waiting = append(s.waiting, &waitingRequest{w, s.loop.now, greedy})
		s.startReady()
	}
	s.loop.after(random.drawInterarrivalTime(rate), arrive)
}

// countShed counts a shed request, unless it is one of the greedy organisation.
func (s *fairnessSim) countShed(greedy bool) {
	if !greedy {
		s.shed++
	}
}

// startReady starts the requests whose wait in the queue has ended.
func (s *fairnessSim) startReady() {
	waiting := s.waiting[:0]
	for _, r := range s.waiting {
		select {
		case <-r.waiter.Ready():
			s.startRequest(r)
		default:
			waiting = append(waiting, r)
		}
	}
	clear(s.waiting[len(waiting):])
	s.waiting = waiting
}

// startRequest runs a request, unless it was shed.
func (s *fairnessSim) startRequest(r *waitingRequest) {
	if r.waiter.Err() != nil {
		s.countShed(r.greedy)
		return
	}
	first := time.Duration(s.source.drawLength(float64(fairFirstTokenMedian)))
	if !r.greedy && r.arrived > fairWarmUp {
		s.latencies = append(s.latencies, milliseconds(s.loop.now-r.arrived+first))
	}
	service := time.Duration(s.source.drawLength(float64(fairServiceMedian)))
	s.busy += service
	s.loop.after(service, func() {
		r.waiter.Release()
		s.startReady()
	})
}

// fairSeeds are the seeds of the runs. The worst value over them is reported.
var fairSeeds = []uint64{31, 131, 231, 331}

// fairnessRun holds the runs of one seed.
type fairnessRun struct{ withoutGreedy, withGreedy *fairnessSim }

// runFairnessSeeds runs the simulations of all seeds.
func runFairnessSeeds() []fairnessRun {
	runs := make([]fairnessRun, len(fairSeeds))
	var group errgroup.Group
	group.SetLimit(studyWorkers)
	for i, seed := range fairSeeds {
		group.Go(func() error {
			runs[i] = fairnessRun{runFairness(false, seed), runFairness(true, seed)}
			return nil
		})
	}
	_ = group.Wait()
	return runs
}

// studyFairness measures the effect of a greedy organisation on the others.
func studyFairness(context.Context) (measure.Result, error) {
	before, after, worst, shed, utilisation := 0.0, 0.0, 0.0, 0, 1.0
	for _, run := range runFairnessSeeds() {
		a, b := percentile(run.withoutGreedy.latencies, 0.99), percentile(run.withGreedy.latencies, 0.99)
		if b/a > worst {
			before, after, worst = a, b, b/a
		}
		shed += run.withGreedy.shed
		utilisation = min(utilisation, run.withGreedy.busy.Seconds()/fairSlots/fairDuration.Seconds())
	}
	return measure.Result{Figures: []measure.Figure{
		{Name: "others' first token p99, without greedy organisation, worst seed", Value: before, Unit: "ms"},
		{Name: "others' first token p99, with greedy organisation at 20 fair shares, worst seed", Value: after, Unit: "ms"},
		{Name: "others' first token p99, with over without greedy organisation, worst seed", Value: worst, Unit: "ratio", Limit: measure.AtMost, Bound: 1.2},
		{Name: "others' requests shed, with greedy organisation", Value: float64(shed), Unit: "count", Limit: measure.AtMost},
		{Name: "slots in use, with greedy organisation, worst seed", Value: utilisation, Unit: "share"},
	}}, nil
}

// studyOrganisationMemory measures the memory that organisations use in the queue and
// the quotas of one entry.
func studyOrganisationMemory(context.Context) (measure.Result, error) {
	base := heapInUse()
	l := newEventLoop()
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
	usedBytes := heapInUse() - base
	for _, w := range waiters {
		w.Release()
	}
	clear(waiters)
	l.runUntil(time.Minute)
	quotas.Report(nil)
	left := queue.State().Organisations + quotas.OrganisationCount()
	runtime.KeepAlive(waiters)
	return measure.Result{Figures: []measure.Figure{
		{Name: "42,000 organisations with a request each in one entry's queue and quotas", Value: usedBytes / (1 << 20), Unit: "MB", Limit: measure.AtMost, Bound: memoryBudget},
		{Name: "memory of one such organisation", Value: usedBytes / memoryOrganisations, Unit: "B"},
		{Name: "organisations with state once all are idle", Value: float64(left), Unit: "count", Limit: measure.AtMost},
	}}, nil
}

// heapInUse returns the heap memory in use after a garbage collection, in bytes.
func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
