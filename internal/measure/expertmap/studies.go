package expertmap

import (
	"context"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/expertmap"
)

const (
	oneWayDelay  = 1500 * time.Microsecond
	pollInterval = 50 * time.Millisecond
	// switchCount is the number of map switches in a run.
	switchCount = 50
	// maxMessagesPerRank is the bound on messages per rank of a switch without faults.
	maxMessagesPerRank = 3
)

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "expert-map-switch-cost", Deterministic: true, Run: measureSwitches},
		{Name: "expert-map-switch-lead", Deterministic: true, Run: measureLead},
		{Name: "expert-map-switch-faults", Deterministic: true, Run: measureFaults},
	}
}

// RunSwitches proposes count map switches to a new Cluster, one per interval, each
// through another coordinator. Lead is the number of steps from the proposal to the
// switch; if it is 0, SwitchStep chooses the step.
func RunSwitches(options Options, count int, interval time.Duration, lead uint64) *Cluster {
	c := NewCluster(options)
	for number := range count {
		id := expertmap.ProposalID{Epoch: uint64(1 + number/10), Sequence: uint64(number)}
		to := expertmap.MapID{Epoch: id.Epoch, Version: uint64(number)}
		coordinator := number * 7 % options.Ranks
		step := uint64(0)
		if lead > 0 {
			step = c.nodes[coordinator].engine.State().Step + lead
		}
		c.Propose(coordinator, id, to, step)
		c.RunFor(interval)
	}
	return c
}

// measureSwitches measures stalled steps and messages of switches without faults.
func measureSwitches(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	growth := measure.Series{Name: "messages per switch"}
	for _, ranks := range []int{8, 16, 32, 64} {
		for _, stepTime := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond} {
			if err := ctx.Err(); err != nil {
				return result, err
			}
			options := Options{Ranks: ranks, OneWayDelay: oneWayDelay, StepTime: stepTime, PollInterval: pollInterval, Encode: true, Seed: 1}
			counts := RunSwitches(options, switchCount, 200*time.Millisecond, 0).Counts
			conditions := fmt.Sprintf("%d ranks, step %v", ranks, stepTime)
			result.Figures = append(result.Figures,
				atMost("stalled steps per switch, "+conditions, ratio(counts.StalledSteps, switchCount), "steps", 0),
				atLeast("share of switches committed, "+conditions, ratio(counts.Commits, switchCount), "ratio", 1),
				atMost("messages per switch, "+conditions, ratio(counts.Messages, switchCount), "messages", float64(maxMessagesPerRank*ranks)),
				unbounded("bytes per switch and rank, "+conditions, ratio(counts.Bytes, switchCount*ranks), "B"),
				atMost("steps on different maps, "+conditions, float64(counts.MixedMapSteps), "steps", 0),
			)
			if stepTime == 20*time.Millisecond {
				growth.X = append(growth.X, float64(ranks))
				growth.Y = append(growth.Y, ratio(counts.Messages, switchCount))
			}
		}
	}
	result.Plots = []measure.Plot{{
		Title: "Messages per expert map switch", XLabel: "ranks", YLabel: "messages", Series: []measure.Series{growth},
	}}
	return result, nil
}

// measureLead measures the cost of choosing a switch step too few steps ahead.
func measureLead(context.Context) (measure.Result, error) {
	var result measure.Result
	for _, lead := range []uint64{2, 3, 4, 5, 6, 8} {
		options := Options{Ranks: 64, OneWayDelay: oneWayDelay, StepTime: 2 * time.Millisecond, PollInterval: pollInterval, Seed: 2}
		counts := RunSwitches(options, switchCount, 200*time.Millisecond, lead).Counts
		conditions := fmt.Sprintf("64 ranks, step 2ms, %d steps ahead", lead)
		result.Figures = append(result.Figures,
			unbounded("stalled steps per switch, "+conditions, ratio(counts.StalledSteps, switchCount), "steps"),
			unbounded("share of switches committed, "+conditions, ratio(counts.Commits, switchCount), "ratio"),
		)
	}
	return result, nil
}

// measureFaults measures the cost of faults and checks that no step runs on different
// maps.
func measureFaults(context.Context) (measure.Result, error) {
	table := []struct {
		name   string
		faults Faults
	}{
		{"1% of messages lost", Faults{LossShare: 0.01}},
		{"10% of messages lost", Faults{LossShare: 0.1}},
		{"5% delayed by up to 100ms, 5% duplicated", Faults{DelayedShare: 0.05, MaxExtraDelay: 100 * time.Millisecond, DuplicateShare: 0.05}},
		{"an agent crashes every second, restarts after 200ms", Faults{CrashInterval: time.Second, RestartDelay: 200 * time.Millisecond}},
		{"all of these, re-formed every 3s", allFaults()},
	}
	var result measure.Result
	for _, row := range table {
		options := Options{Ranks: 64, OneWayDelay: oneWayDelay, StepTime: 20 * time.Millisecond, PollInterval: pollInterval, Faults: row.faults, Seed: 3}
		c := RunSwitches(options, switchCount, 200*time.Millisecond, 0)
		c.EndFaults()
		c.RunFor(2 * time.Second)
		conditions := ", 64 ranks, " + row.name
		result.Figures = append(result.Figures,
			unbounded("stall time per switch"+conditions, c.Counts.StalledTime.Seconds()*1000/switchCount, "ms"),
			unbounded("share of switches committed"+conditions, ratio(c.Counts.Commits, switchCount), "ratio"),
			unbounded("messages per switch"+conditions, ratio(c.Counts.Messages, switchCount), "messages"),
			atMost("steps on different maps"+conditions, float64(c.Counts.MixedMapSteps), "steps", 0),
			atMost("proposals with conflicting decisions"+conditions, float64(c.Counts.ConflictingDecisions), "proposals", 0),
			atMost("ranks still held 2s after the last fault"+conditions, float64(c.HeldRanks()), "ranks", 0),
		)
	}
	return result, nil
}

// allFaults returns a configuration with every kind of fault.
func allFaults() Faults {
	return Faults{
		LossShare: 0.1, DuplicateShare: 0.05, DelayedShare: 0.05, MaxExtraDelay: 100 * time.Millisecond,
		CrashInterval: 300 * time.Millisecond, RestartDelay: 200 * time.Millisecond,
		ReformInterval: 3 * time.Second, SlowStepShare: 0.01,
	}
}

func ratio(part, whole int) float64 { return float64(part) / float64(whole) }

func atMost(name string, value float64, unit string, bound float64) measure.Figure {
	return measure.Figure{Name: name, Value: value, Unit: unit, Limit: measure.AtMost, Bound: bound}
}

func atLeast(name string, value float64, unit string, bound float64) measure.Figure {
	return measure.Figure{Name: name, Value: value, Unit: unit, Limit: measure.AtLeast, Bound: bound}
}

func unbounded(name string, value float64, unit string) measure.Figure {
	return measure.Figure{Name: name, Value: value, Unit: unit}
}
