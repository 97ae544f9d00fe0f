package load

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/process/health"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/pick"
	"verbenaseam.example/verbenaseam/request/steer"
)

const (
	costSteps = 200000
	// costLargest is the size of the largest set that picks are timed on.
	costLargest = 1000
	// subsetSize is the number of candidates of one entry among all runners.
	subsetSize = 64
	// subsetRunners and subsetDomains are the runners and failure domains to come.
	subsetRunners = 10000
	subsetDomains = 8
)

// cost is what one step took.
type cost struct {
	nanoseconds float64
	allocations float64
}

// timeSteps runs a step many times.
func timeSteps(steps int, step func(i int)) cost {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range steps {
		step(i)
	}
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	return cost{
		nanoseconds: float64(took.Nanoseconds()) / float64(steps),
		allocations: float64((after.Mallocs - before.Mallocs) / uint64(steps)),
	}
}

// studyCosts measures the processor time and memory of single decisions.
func studyCosts(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	for _, n := range []int{15, subsetSize, costLargest} {
		c := pickCost(n)
		name := fmt.Sprintf("one pick of %d targets", n)
		result.Figures = append(result.Figures,
			measure.Figure{Name: name, Value: c.nanoseconds, Unit: "ns", Limit: measure.AtMost, Bound: 1000},
			measure.Figure{Name: name + ", allocations", Value: c.allocations, Unit: "count", Limit: measure.AtMost})
	}
	for _, f := range []struct {
		name string
		cost cost
	}{
		{"a gate's admission and its end", gateCost()},
		{"a place in the fair queue and its end", queueCost()},
		{"an answer of which of 1,400 entries to use", steerCost()},
		{"taking in one failure, with 10,000 on record", healthCost()},
	} {
		result.Figures = append(result.Figures, measure.Figure{Name: f.name, Value: f.cost.nanoseconds, Unit: "ns"})
	}
	result.Figures = append(result.Figures, measure.Figure{Name: "state of one candidate target", Value: stateMemory(), Unit: "B"})
	return result, ctx.Err()
}

// pickCost times picks among n targets in use.
func pickCost(n int) cost {
	source := newGenerator(pickWorkloads[len(pickWorkloads)-1].workload, 51)
	set := pick.NewSet(pick.PolicyScore, costRunners(n), nil, pick.SubsetConfig{})
	queries := make([]pick.Query, 4096)
	for i := range queries {
		c := source.next()
		queries[i] = pick.Query{Prefix: c.prefix, Cost: float64(c.promptTokens), BlockCost: pickBlock, Random: source.random.Uint64(), Now: time.Duration(i) * time.Millisecond}
		state, _ := set.Pick(&queries[i])
		work := state.Begin(&queries[i])
		state.FirstToken(&work, queries[i].Now+time.Millisecond)
		state.UpdateLoad(pick.Load{InFlight: 20, Waiting: 500, Limit: pickSlots, At: queries[i].Now})
	}
	return timeSteps(costSteps, func(i int) { set.Pick(&queries[i%len(queries)]) })
}

// costRunners makes targets.
func costRunners(n int) []pick.Target {
	targets := make([]pick.Target, n)
	for i := range targets {
		targets[i] = pick.Target{Name: targetName(i), FailureDomain: fmt.Sprint("d", i%subsetDomains)}
	}
	return targets
}

func gateCost() cost {
	gate := admit.NewGate(admit.GateConfig{ColdLimit: coldLimit, Maximum: gateMaximum})
	gate.EngineStarted("1")
	return timeSteps(costSteps, func(int) {
		ticket, err := gate.AdmitSized(100)
		if err != nil {
			return
		}
		ticket.FirstToken(time.Millisecond)
		ticket.Done(admit.Result{OK: true})
	})
}

func queueCost() cost {
	queue := admit.NewFairQueue(admit.FairQueueConfig{Capacity: gateMaximum})
	return timeSteps(costSteps, func(i int) {
		w, err := queue.Enqueue(admit.Request{Organisation: organisationName(i % fairOrganisations)})
		if err == nil {
			w.Release()
		}
	})
}

func steerCost() cost {
	entries := steerEntries(steerFleets[len(steerFleets)-1])
	return timeSteps(costSteps/100, func(i int) { steer.Choose(steerOrganisation(i), entries, steer.Config{}) })
}

func healthCost() cost {
	correlator := health.NewCorrelator(health.Config{Targets: subsetRunners})
	failures := make([]health.Failure, subsetRunners)
	now := time.Now().UnixMilli()
	for i := range failures {
		failures[i] = health.Failure{Target: targetName(i), Incarnation: 1, AtMillis: now - int64(i)*time.Minute.Milliseconds()}
	}
	correlator.Record(failures...)
	return timeSteps(20, func(i int) {
		correlator.Record(health.Failure{Target: targetName(i), Incarnation: 2, AtMillis: now})
	})
}

// stateMemory is the memory of one candidate, in bytes.
func stateMemory() float64 {
	before := heapInUse()
	set := pick.NewSet(pick.PolicyScore, costRunners(costLargest), nil, pick.SubsetConfig{})
	after := heapInUse()
	runtime.KeepAlive(set)
	return (after - before) / costLargest
}
