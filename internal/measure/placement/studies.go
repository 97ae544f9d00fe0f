package placement

import (
	"context"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/placement"
)

const (
	// expertBytes is the size of one expert of one layer: three matrices of
	// 7168 by 2048 in 8 bits.
	expertBytes = 3 * 7168 * 2048
	gibibyte    = 1 << 30

	meanSkewBound  = 1.05
	p99SkewBound   = 1.15
	bytesBound     = 0.10
	skewRatioBound = 1.02
	decisionBound  = 50 // ms
)

// Studies returns the measurements of this package.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "placement-drift", Deterministic: true, Run: driftStudy},
		{Name: "placement-stationary", Deterministic: true, Run: stationaryStudy},
		{Name: "placement-lost-rank", Deterministic: true, Run: lostRankStudy},
		{Name: "placement-ways", Run: waysStudy},
		{Name: "placement-shapes", Run: shapesStudy},
		{Name: "placement-decision-time", Run: decisionStudy},
	}
}

// targetShape is a group of the size aimed at.
func targetShape() Shape {
	return Shape{
		Ranks: 64, Experts: 128, Layers: 60, Spare: 0.25, Uneven: 0.1,
		ZipfFrom: 0.8, ZipfTo: 1.2,
		Drift: 0.3, DriftTime: 2 * time.Hour,
		BurstEvery: 8 * time.Minute, BurstTime: 3 * time.Minute, BurstShare: 0.15,
		Day: 24 * time.Hour, Seed: 1,
	}
}

// driftStudy holds the product to its bounds beside the full repack.
func driftStudy(ctx context.Context) (measure.Result, error) {
	const lasting = 20 * time.Minute
	result, outcomes, err := compare(ctx, targetShape(), []Way{fullRepack(), product()}, lasting)
	if err != nil {
		return result, err
	}
	full, ours := outcomes[0], outcomes[1]
	result.Figures = append(result.Figures,
		atMost("incremental: mean skew, 64 ranks", ours.Skew.Mean(), "ratio", meanSkewBound),
		atMost("incremental: p99 skew, 64 ranks", ours.Skew.Quantile(0.99), "ratio", p99SkewBound),
		atMost("incremental: bytes moved over full repack's", ratio(ours.Moves, full.Moves), "ratio", bytesBound),
		atMost("incremental: mean skew over full repack's", ours.Skew.Mean()/full.Skew.Mean(), "ratio", skewRatioBound),
		atMost("incremental: mean layer-barrier skew over full repack's",
			ours.Barrier.Mean()/full.Barrier.Mean(), "ratio", skewRatioBound),
	)
	return result, nil
}

// waysStudy compares all ways on one drifting load.
func waysStudy(ctx context.Context) (measure.Result, error) {
	shape := targetShape()
	shape.Layers = 24
	result, _, err := compare(ctx, shape, Ways(), 40*time.Minute)
	return result, err
}

// compare runs the ways on the same load.
func compare(ctx context.Context, shape Shape, ways []Way, lasting time.Duration) (measure.Result, []Outcome, error) {
	var result measure.Result
	var outcomes []Outcome
	for _, way := range ways {
		outcome, err := Run(ctx, shape, way, lasting)
		if err != nil {
			return result, nil, err
		}
		outcomes = append(outcomes, outcome)
		under := fmt.Sprintf("%s, %d ranks, %d layers", way.Name, shape.Ranks, shape.Layers)
		result.Figures = append(result.Figures, describe(under, outcome, lasting)...)
	}
	return result, outcomes, nil
}

// describe gives one way's figures beside the proven bounds.
func describe(under string, o Outcome, lasting time.Duration) []measure.Figure {
	hours := (lasting - warmUp).Hours()
	return []measure.Figure{
		report(under+": mean skew (no placement goes below 1)", o.Skew.Mean(), "ratio"),
		report(under+": p99 skew (no placement goes below 1)", o.Skew.Quantile(0.99), "ratio"),
		report(under+": mean layer-barrier skew", o.Barrier.Mean(), "ratio"),
		report(under+": p99 layer-barrier skew", o.Barrier.Quantile(0.99), "ratio"),
		report(under+": proven lower bound of mean layer-barrier skew", o.Bound.Mean(), "ratio"),
		report(under+": weights moved", float64(o.Moves)*expertBytes/gibibyte/hours, "GiB/h"),
		report(under+": map switches", float64(o.Switches)/hours, "1/h"),
	}
}

// shapesStudy gives the product's figures for other groups and popularities.
func shapesStudy(ctx context.Context) (measure.Result, error) {
	const lasting = 40 * time.Minute
	var result measure.Result
	for _, ranks := range []int{8, 32, 64} {
		for _, zipf := range []float64{0.8, 1.0, 1.2} {
			shape := targetShape()
			shape.Ranks, shape.Layers = ranks, 12
			shape.ZipfFrom, shape.ZipfTo = zipf, zipf
			outcome, err := Run(ctx, shape, product(), lasting)
			if err != nil {
				return result, err
			}
			under := fmt.Sprintf("incremental, %d ranks, 12 layers, Zipf %.1f", ranks, zipf)
			result.Figures = append(result.Figures, describe(under, outcome, lasting)...)
		}
	}
	return result, nil
}

// lostRankStudy repairs a map after each rank in turn was lost.
func lostRankStudy(context.Context) (measure.Result, error) {
	in, current, err := settled(targetShape())
	if err != nil {
		return measure.Result{}, err
	}
	invalid, extra, needed := 0, 0, 0
	worst := 0.0
	for rank := range in.Speeds {
		lost := in
		lost.Speeds = append([]float64(nil), in.Speeds...)
		lost.Speeds[rank] = 0
		plan, err := placement.Repair(lost, current, decisionWorkers)
		if err != nil {
			return measure.Result{}, err
		}
		if !plan.Map.Valid(lost) {
			invalid++
		}
		orphans := soleReplicas(current, rank)
		needed += orphans
		extra += len(plan.Moves) - orphans
		worst = max(worst, plan.SkewAfter.Step)
	}
	ranks := float64(len(in.Speeds))
	return measure.Result{Figures: []measure.Figure{
		atMost("invalid maps after one of 64 ranks was lost", float64(invalid), "maps", 0),
		atMost("moves beyond the experts that were lost", float64(extra), "moves", 0),
		report("experts lost with a rank, of 60 layers", float64(needed)/ranks, "experts"),
		report("worst skew right after the repair", worst, "ratio"),
	}}, nil
}

// settled packs a shape's loads and improves until nothing moves.
func settled(shape Shape) (placement.Input, *placement.Map, error) {
	load := NewWorkload(shape)
	in := placement.Input{Speeds: load.Speeds(), Loads: load.Loads()}
	var err error
	in.Slots, err = placement.AllocateSlots(in.Loads, in.Speeds, load.Memory())
	if err != nil {
		return in, nil, err
	}
	plan, err := placement.Pack(in, decisionWorkers)
	for range 20 {
		if err != nil || !plan.Changed {
			break
		}
		plan, err = placement.Improve(in, plan.Map, placement.DefaultSettings())
	}
	return in, plan.Map, err
}

// soleReplicas counts the experts that only the given rank holds.
func soleReplicas(m *placement.Map, rank int) int {
	count := 0
	for _, experts := range m.Layers {
		for _, replicas := range experts {
			if len(replicas) == 1 && replicas[0].Rank == rank {
				count++
			}
		}
	}
	return count
}

// decisionStudy times decisions at 60 layers.
func decisionStudy(ctx context.Context) (measure.Result, error) {
	const decisions = 40
	shape := targetShape()
	shape.Layers = 60
	load := NewWorkload(shape)
	in := placement.Input{Speeds: load.Speeds(), Loads: load.Loads()}
	var err error
	if in.Slots, err = placement.AllocateSlots(in.Loads, in.Speeds, load.Memory()); err != nil {
		return measure.Result{}, err
	}
	var times, repairs Samples
	begun := time.Now()
	plan, err := placement.Pack(in, decisionWorkers)
	packed := time.Since(begun)
	for range decisions {
		if err != nil {
			return measure.Result{}, err
		}
		if err := ctx.Err(); err != nil {
			return measure.Result{}, err
		}
		load.Advance(decideEvery)
		in.Loads = load.Loads()
		begun = time.Now()
		plan, err = placement.Improve(in, plan.Map, placement.DefaultSettings())
		times = append(times, milliseconds(time.Since(begun)))
		lost := in
		lost.Speeds = append([]float64{0}, in.Speeds[1:]...)
		begun = time.Now()
		if _, err := placement.Repair(lost, plan.Map, placement.DefaultSettings().Workers); err != nil {
			return measure.Result{}, err
		}
		repairs = append(repairs, milliseconds(time.Since(begun)))
	}
	const under = ", 64 ranks, 128 experts, 60 layers, 8 workers"
	return measure.Result{Figures: []measure.Figure{
		atMost("incremental decision, median"+under, times.Quantile(0.5), "ms", decisionBound),
		atMost("incremental decision, p90"+under, times.Quantile(0.9), "ms", decisionBound),
		atMost("incremental decision, slowest"+under, times.Quantile(1), "ms", decisionBound),
		atMost("repair after a lost rank, slowest"+under, repairs.Quantile(1), "ms", 2000),
		report("full greedy repack"+under, milliseconds(packed), "ms"),
	}}, err
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

func ratio(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

func atMost(name string, value float64, unit string, bound float64) measure.Figure {
	return measure.Figure{Name: name, Value: value, Unit: unit, Limit: measure.AtMost, Bound: bound}
}

func report(name string, value float64, unit string) measure.Figure {
	return measure.Figure{Name: name, Value: value, Unit: unit}
}
