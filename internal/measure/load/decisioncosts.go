package load

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/process/health"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/balance"
	"verbenaseam.example/verbenaseam/request/pick"
	"verbenaseam.example/verbenaseam/request/steer"
)

const (
	costIterations = 200000
	// largestTargetSet is the size of the largest set on which picks are timed.
	largestTargetSet = 1000
	// subsetSize is the number of candidates that one entry has among all targets.
	subsetSize = 64
	// plannedTargets and plannedDomains are the numbers of targets and failure
	// domains that the system is to support in future.
	plannedTargets = 10000
	plannedDomains = 8
)

// operationCost is the mean cost of one operation.
type operationCost struct {
	nanoseconds float64
	allocations float64
}

// measureOperation runs an operation the given number of times and returns its mean
// cost.
func measureOperation(iterations int, operation func(i int)) operationCost {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range iterations {
		operation(i)
	}
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	return operationCost{
		nanoseconds: float64(elapsed.Nanoseconds()) / float64(iterations),
		allocations: float64((after.Mallocs - before.Mallocs) / uint64(iterations)),
	}
}

// studyDecisionCosts measures the processor time and memory of single decisions.
func studyDecisionCosts(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	for _, n := range []int{15, subsetSize, largestTargetSet} {
		c := pickCost(n)
		name := fmt.Sprintf("one pick of %d targets", n)
		result.Figures = append(result.Figures,
			measure.Figure{Name: name, Value: c.nanoseconds, Unit: "ns", Limit: measure.AtMost, Bound: 1000},
			measure.Figure{Name: name + ", allocations", Value: c.allocations, Unit: "count", Limit: measure.AtMost})
	}
	choice := choiceCost()
	result.Figures = append(result.Figures,
		measure.Figure{Name: "one choice of 1,000 targets by old loads", Value: choice.nanoseconds, Unit: "ns", Limit: measure.AtMost, Bound: 20_000},
		measure.Figure{Name: "one choice of 1,000 targets by old loads, allocations", Value: choice.allocations, Unit: "count", Limit: measure.AtMost})
	for _, f := range []struct {
		name string
		cost operationCost
	}{
		{"one admission at a gate, with its completion", gateCost()},
		{"one enqueue and release in the fair queue", queueCost()},
		{"one choice among 1,400 entries for an organisation", steerCost()},
		{"recording one failure, with 10,000 already recorded", healthCost()},
	} {
		result.Figures = append(result.Figures, measure.Figure{Name: f.name, Value: f.cost.nanoseconds, Unit: "ns"})
	}
	result.Figures = append(result.Figures, measure.Figure{Name: "state of one candidate target", Value: targetStateBytes(), Unit: "B"})
	return result, ctx.Err()
}

// choiceCost measures choices among targets whose loads are old.
func choiceCost() operationCost {
	random := newRandom(53)
	candidates := make([]balance.Candidate, largestTargetSet)
	for i := range candidates {
		candidates[i] = balance.Candidate{Load: float64(random.IntN(10)), Capacity: 10, Penalty: 0.01, Remote: i%domainCount > 0}
	}
	var chooser balance.Chooser
	unseen := balance.Unseen{Total: largestTargetSet / 2, LocalShare: 0.5}
	return measureOperation(10_000, func(int) { chooser.Choose(candidates, unseen, true, random.Float64) })
}

// pickCost measures picks among n targets that have work in progress and load
// reports.
func pickCost(n int) operationCost {
	source := newGenerator(pickWorkloads[len(pickWorkloads)-1].workload, 51)
	set := pick.NewSet(pick.PolicyScore, costTargets(n), nil, pick.SubsetConfig{})
	queries := make([]pick.Query, 4096)
	for i := range queries {
		r := source.next()
		queries[i] = pick.Query{PrefixHashes: r.prefix, Cost: float64(r.promptTokens), BlockCost: pickBlockTokens, Random: source.random.Uint64(), Now: time.Duration(i) * time.Millisecond}
		state, _ := set.Pick(&queries[i])
		work := state.Begin(&queries[i])
		state.FirstToken(&work, queries[i].Now+time.Millisecond)
		state.UpdateLoad(pick.Load{InFlight: 20, WaitingCost: 500, Limit: pickSlots, At: queries[i].Now})
	}
	return measureOperation(costIterations, func(i int) { set.Pick(&queries[i%len(queries)]) })
}

// costTargets returns n targets, spread over plannedDomains failure domains.
func costTargets(n int) []pick.Target {
	targets := make([]pick.Target, n)
	for i := range targets {
		targets[i] = pick.Target{Name: targetName(i), FailureDomain: fmt.Sprint("d", i%plannedDomains)}
	}
	return targets
}

func gateCost() operationCost {
	gate := admit.NewGate(admit.GateConfig{ColdLimit: coldLimit, Maximum: gateMaximum})
	gate.EngineStarted("1")
	return measureOperation(costIterations, func(int) {
		ticket, err := gate.AdmitSized(100)
		if err != nil {
			return
		}
		ticket.FirstToken(time.Millisecond)
		ticket.Done(admit.Result{OK: true})
	})
}

func queueCost() operationCost {
	queue := admit.NewFairQueue(admit.FairQueueConfig{Capacity: gateMaximum})
	return measureOperation(costIterations, func(i int) {
		w, err := queue.Enqueue(admit.Request{Organisation: organisationName(i % fairOrganisations)})
		if err == nil {
			w.Release()
		}
	})
}

func steerCost() operationCost {
	entries := steerEntries(steerFleets[len(steerFleets)-1])
	return measureOperation(costIterations/100, func(i int) { steer.SelectEntries(steerOrganisation(i), entries, steer.Config{}) })
}

func healthCost() operationCost {
	correlator := health.NewCorrelator(health.Config{TargetCount: plannedTargets})
	failures := make([]health.Failure, plannedTargets)
	now := time.Now().UnixMilli()
	for i := range failures {
		failures[i] = health.Failure{Target: targetName(i), Incarnation: 1, AtMillis: now - int64(i)*time.Minute.Milliseconds()}
	}
	correlator.Record(failures...)
	return measureOperation(20, func(i int) {
		correlator.Record(health.Failure{Target: targetName(i), Incarnation: 2, AtMillis: now})
	})
}

// targetStateBytes returns the heap memory of one candidate in a set, in bytes.
func targetStateBytes() float64 {
	before := heapInUse()
	set := pick.NewSet(pick.PolicyScore, costTargets(largestTargetSet), nil, pick.SubsetConfig{})
	after := heapInUse()
	runtime.KeepAlive(set)
	return (after - before) / largestTargetSet
}
