package expertmap

import (
	"context"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/expertmap"
)

const (
	oneWay   = 1500 * time.Microsecond
	patience = 50 * time.Millisecond
	// switches is how many maps a run brings.
	switches = 50
	// messagesPerRank bounds the messages of a healthy switch by its ranks.
	messagesPerRank = 3
)

// Studies returns the measurements of this package.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "expert-map-switch-cost", Deterministic: true, Run: switchCost},
		{Name: "expert-map-switch-lead", Deterministic: true, Run: leadCost},
		{Name: "expert-map-switch-faults", Deterministic: true, Run: faultCost},
	}
}

// Walk runs a group through switches from changing coordinators, one every
// interval; ahead is the lead in steps, 0 for the one SwitchStep chooses.
func Walk(options Options, count int, interval time.Duration, ahead uint64) *Cluster {
	c := NewCluster(options)
	for number := range count {
		id := expertmap.ProposalID{Epoch: uint64(1 + number/10), Sequence: uint64(number)}
		to := expertmap.MapID{Epoch: id.Epoch, Version: uint64(number)}
		coordinator := number * 7 % options.Ranks
		step := uint64(0)
		if ahead > 0 {
			step = c.nodes[coordinator].rank.State().Step + ahead
		}
		c.Propose(coordinator, id, to, step)
		c.RunFor(interval)
	}
	return c
}

// switchCost gives stalled steps and messages of healthy switches.
func switchCost(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	growth := measure.Series{Name: "messages a switch"}
	for _, ranks := range []int{8, 16, 32, 64} {
		for _, stepTime := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond} {
			if err := ctx.Err(); err != nil {
				return result, err
			}
			options := Options{Ranks: ranks, OneWay: oneWay, StepTime: stepTime, Patience: patience, Encode: true, Seed: 1}
			counts := Walk(options, switches, 200*time.Millisecond, 0).Counts
			under := fmt.Sprintf("%d ranks, step %v", ranks, stepTime)
			result.Figures = append(result.Figures,
				atMost("stalled steps a switch, "+under, ratio(counts.Stalled, switches), "steps", 0),
				atLeast("share of switches committed, "+under, ratio(counts.Commits, switches), "ratio", 1),
				atMost("messages a switch, "+under, ratio(counts.Messages, switches), "messages", float64(messagesPerRank*ranks)),
				report("bytes a switch and rank, "+under, ratio(counts.Bytes, switches*ranks), "B"),
				atMost("steps on two maps, "+under, float64(counts.SplitSteps), "steps", 0),
			)
			if stepTime == 20*time.Millisecond {
				growth.X = append(growth.X, float64(ranks))
				growth.Y = append(growth.Y, ratio(counts.Messages, switches))
			}
		}
	}
	result.Plots = []measure.Plot{{
		Title: "Messages a switch of expert maps", XLabel: "ranks", YLabel: "messages", Series: []measure.Series{growth},
	}}
	return result, nil
}

// leadCost shows what a step chosen too near costs.
func leadCost(context.Context) (measure.Result, error) {
	var result measure.Result
	for _, ahead := range []uint64{2, 3, 4, 5, 6, 8} {
		options := Options{Ranks: 64, OneWay: oneWay, StepTime: 2 * time.Millisecond, Patience: patience, Seed: 2}
		counts := Walk(options, switches, 200*time.Millisecond, ahead).Counts
		under := fmt.Sprintf("64 ranks, step 2ms, %d steps ahead", ahead)
		result.Figures = append(result.Figures,
			report("stalled steps a switch, "+under, ratio(counts.Stalled, switches), "steps"),
			report("share of switches committed, "+under, ratio(counts.Commits, switches), "ratio"),
		)
	}
	return result, nil
}

// faultCost gives what faults cost, and that no step ran on two maps.
func faultCost(context.Context) (measure.Result, error) {
	table := []struct {
		name   string
		faults Faults
	}{
		{"1% of messages lost", Faults{Loss: 0.01}},
		{"10% of messages lost", Faults{Loss: 0.1}},
		{"5% late by up to 100ms, 5% twice", Faults{Late: 0.05, LateBy: 100 * time.Millisecond, Repeat: 0.05}},
		{"an agent dies every second, back after 200ms", Faults{CrashEvery: time.Second, RestartAfter: 200 * time.Millisecond}},
		{"all of these, re-formed every 3s", roughWeather()},
	}
	var result measure.Result
	for _, row := range table {
		options := Options{Ranks: 64, OneWay: oneWay, StepTime: 20 * time.Millisecond, Patience: patience, Faults: row.faults, Seed: 3}
		c := Walk(options, switches, 200*time.Millisecond, 0)
		c.Calm()
		c.RunFor(2 * time.Second)
		under := ", 64 ranks, " + row.name
		result.Figures = append(result.Figures,
			report("held-up time a switch"+under, c.Counts.StalledTime.Seconds()*1000/switches, "ms"),
			report("share of switches committed"+under, ratio(c.Counts.Commits, switches), "ratio"),
			report("messages a switch"+under, ratio(c.Counts.Messages, switches), "messages"),
			atMost("steps on two maps"+under, float64(c.Counts.SplitSteps), "steps", 0),
			atMost("proposals ended both ways"+under, float64(c.Counts.SplitEnds), "proposals", 0),
			atMost("ranks still held 2s after the last fault"+under, float64(c.Holding()), "ranks", 0),
		)
	}
	return result, nil
}

// roughWeather is every fault at once.
func roughWeather() Faults {
	return Faults{
		Loss: 0.1, Repeat: 0.05, Late: 0.05, LateBy: 100 * time.Millisecond,
		CrashEvery: 300 * time.Millisecond, RestartAfter: 200 * time.Millisecond,
		ReformEvery: 3 * time.Second, StallShare: 0.01,
	}
}

func ratio(part, whole int) float64 { return float64(part) / float64(whole) }

func atMost(name string, value float64, unit string, bound float64) measure.Figure {
	return measure.Figure{Name: name, Value: value, Unit: unit, Limit: measure.AtMost, Bound: bound}
}

func atLeast(name string, value float64, unit string, bound float64) measure.Figure {
	return measure.Figure{Name: name, Value: value, Unit: unit, Limit: measure.AtLeast, Bound: bound}
}

func report(name string, value float64, unit string) measure.Figure {
	return measure.Figure{Name: name, Value: value, Unit: unit}
}
