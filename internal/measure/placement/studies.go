package placement

import (
	"context"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/placement"
)

const (
	// expertBytes is the size of an expert in one layer: three matrices of 7168 by 2048
	// 8-bit values.
	expertBytes = 3 * 7168 * 2048
	bytesPerGiB = 1 << 30

	meanSkewBound       = 1.05
	p99SkewBound        = 1.15
	movedBytesBound     = 0.10
	skewRatioBound      = 1.02
	decisionBoundMillis = 50
)

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "placement-drift", Deterministic: true, Run: driftStudy},
		{Name: "placement-stationary", Deterministic: true, Run: stationaryStudy},
		{Name: "placement-lost-rank", Deterministic: true, Run: lostRankStudy},
		{Name: "placement-ways", Run: strategiesStudy},
		{Name: "placement-shapes", Run: shapesStudy},
		{Name: "placement-decision-time", Run: decisionStudy},
	}
}

// plannedShape returns the shape of a group in the planned deployment.
func plannedShape() Shape {
	return Shape{
		Ranks: 64, Experts: 128, Layers: 60, SpareShare: 0.25, SpeedSpread: 0.1,
		ZipfFrom: 0.8, ZipfTo: 1.2,
		DriftStdDev: 0.3, DriftTimeConstant: 2 * time.Hour,
		BurstInterval: 8 * time.Minute, BurstDuration: 3 * time.Minute, BurstShare: 0.15,
		DayPeriod: 24 * time.Hour, Seed: 1,
	}
}

// driftStudy checks the incremental strategy against its bounds, some of which are
// relative to a full repack.
func driftStudy(ctx context.Context) (measure.Result, error) {
	const duration = 20 * time.Minute
	result, outcomes, err := runStrategies(ctx, plannedShape(), []Strategy{fullRepack(), incremental()}, duration)
	if err != nil {
		return result, err
	}
	repack, improved := outcomes[0], outcomes[1]
	result.Figures = append(result.Figures,
		atMost("incremental: mean skew, 64 ranks", improved.Skew.Mean(), "ratio", meanSkewBound),
		atMost("incremental: p99 skew, 64 ranks", improved.Skew.Quantile(0.99), "ratio", p99SkewBound),
		atMost("incremental: bytes moved relative to full repack", ratio(improved.Moves, repack.Moves), "ratio", movedBytesBound),
		atMost("incremental: mean skew relative to full repack", improved.Skew.Mean()/repack.Skew.Mean(), "ratio", skewRatioBound),
		atMost("incremental: mean layer-barrier skew relative to full repack",
			improved.Barrier.Mean()/repack.Barrier.Mean(), "ratio", skewRatioBound),
	)
	return result, nil
}

// strategiesStudy compares all strategies under the same drifting load.
func strategiesStudy(ctx context.Context) (measure.Result, error) {
	shape := plannedShape()
	shape.Layers = 24
	result, _, err := runStrategies(ctx, shape, Strategies(), 40*time.Minute)
	return result, err
}

// runStrategies runs each strategy under the same load.
func runStrategies(ctx context.Context, shape Shape, strategies []Strategy, duration time.Duration) (measure.Result, []Outcome, error) {
	var result measure.Result
	var outcomes []Outcome
	for _, strategy := range strategies {
		outcome, err := Run(ctx, shape, strategy, duration)
		if err != nil {
			return result, nil, err
		}
		outcomes = append(outcomes, outcome)
		conditions := fmt.Sprintf("%s, %d ranks, %d layers", strategy.Name, shape.Ranks, shape.Layers)
		result.Figures = append(result.Figures, outcomeFigures(conditions, outcome, duration)...)
	}
	return result, outcomes, nil
}

// outcomeFigures returns the figures of one run, and the proven lower bounds.
func outcomeFigures(conditions string, o Outcome, duration time.Duration) []measure.Figure {
	hours := (duration - warmUpTime).Hours()
	return []measure.Figure{
		unbounded(conditions+": mean skew (no placement goes below 1)", o.Skew.Mean(), "ratio"),
		unbounded(conditions+": p99 skew (no placement goes below 1)", o.Skew.Quantile(0.99), "ratio"),
		unbounded(conditions+": mean layer-barrier skew", o.Barrier.Mean(), "ratio"),
		unbounded(conditions+": p99 layer-barrier skew", o.Barrier.Quantile(0.99), "ratio"),
		unbounded(conditions+": proven lower bound of mean layer-barrier skew", o.BarrierBound.Mean(), "ratio"),
		unbounded(conditions+": weights moved", float64(o.Moves)*expertBytes/bytesPerGiB/hours, "GiB/h"),
		unbounded(conditions+": map switches", float64(o.Switches)/hours, "1/h"),
	}
}

// shapesStudy runs the incremental strategy with other group sizes and popularity
// distributions.
func shapesStudy(ctx context.Context) (measure.Result, error) {
	const duration = 40 * time.Minute
	var result measure.Result
	for _, ranks := range []int{8, 32, 64} {
		for _, zipf := range []float64{0.8, 1.0, 1.2} {
			shape := plannedShape()
			shape.Ranks, shape.Layers = ranks, 12
			shape.ZipfFrom, shape.ZipfTo = zipf, zipf
			outcome, err := Run(ctx, shape, incremental(), duration)
			if err != nil {
				return result, err
			}
			conditions := fmt.Sprintf("incremental, %d ranks, 12 layers, Zipf %.1f", ranks, zipf)
			result.Figures = append(result.Figures, outcomeFigures(conditions, outcome, duration)...)
		}
	}
	return result, nil
}

// lostRankStudy repairs a converged map after the loss of each rank in turn.
func lostRankStudy(context.Context) (measure.Result, error) {
	in, current, err := convergedMap(plannedShape())
	if err != nil {
		return measure.Result{}, err
	}
	invalid, extraMoves, lostExperts := 0, 0, 0
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
		soleReplicas := countSoleReplicas(current, rank)
		lostExperts += soleReplicas
		extraMoves += len(plan.Moves) - soleReplicas
		worst = max(worst, plan.SkewAfter.Step)
	}
	ranks := float64(len(in.Speeds))
	return measure.Result{Figures: []measure.Figure{
		atMost("invalid maps after one of 64 ranks was lost", float64(invalid), "maps", 0),
		atMost("moves beyond the lost experts", float64(extraMoves), "moves", 0),
		unbounded("experts lost with a rank, 60 layers", float64(lostExperts)/ranks, "experts"),
		unbounded("worst skew after the repair", worst, "ratio"),
	}}, nil
}

// convergedMap packs the loads of a shape and improves the map until it no longer
// changes, 20 times at most.
func convergedMap(shape Shape) (placement.Input, *placement.Map, error) {
	workload := NewWorkload(shape)
	in := placement.Input{Speeds: workload.Speeds(), Loads: workload.Loads()}
	var err error
	in.Slots, err = placement.AllocateSlots(in.Loads, in.Speeds, workload.Memory())
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

// countSoleReplicas counts the experts whose only replica is on the given rank.
func countSoleReplicas(m *placement.Map, rank int) int {
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

// decisionStudy measures the time of decisions with 60 layers.
func decisionStudy(ctx context.Context) (measure.Result, error) {
	const decisions = 40
	shape := plannedShape()
	shape.Layers = 60
	workload := NewWorkload(shape)
	in := placement.Input{Speeds: workload.Speeds(), Loads: workload.Loads()}
	var err error
	if in.Slots, err = placement.AllocateSlots(in.Loads, in.Speeds, workload.Memory()); err != nil {
		return measure.Result{}, err
	}
	var times, repairs Samples
	start := time.Now()
	plan, err := placement.Pack(in, decisionWorkers)
	packTime := time.Since(start)
	for range decisions {
		if err != nil {
			return measure.Result{}, err
		}
		if err := ctx.Err(); err != nil {
			return measure.Result{}, err
		}
		workload.Advance(decisionInterval)
		in.Loads = workload.Loads()
		start = time.Now()
		plan, err = placement.Improve(in, plan.Map, placement.DefaultSettings())
		times = append(times, milliseconds(time.Since(start)))
		lost := in
		lost.Speeds = append([]float64{0}, in.Speeds[1:]...)
		start = time.Now()
		if _, err := placement.Repair(lost, plan.Map, placement.DefaultSettings().Workers); err != nil {
			return measure.Result{}, err
		}
		repairs = append(repairs, milliseconds(time.Since(start)))
	}
	const conditions = ", 64 ranks, 128 experts, 60 layers, 8 workers"
	return measure.Result{Figures: []measure.Figure{
		atMost("incremental decision, median"+conditions, times.Quantile(0.5), "ms", decisionBoundMillis),
		atMost("incremental decision, p90"+conditions, times.Quantile(0.9), "ms", decisionBoundMillis),
		atMost("incremental decision, slowest"+conditions, times.Quantile(1), "ms", decisionBoundMillis),
		atMost("repair after a lost rank, slowest"+conditions, repairs.Quantile(1), "ms", 2000),
		unbounded("full greedy repack"+conditions, milliseconds(packTime), "ms"),
	}}, err
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

func ratio(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

func atMost(name string, value float64, unit string, bound float64) measure.Figure {
	return measure.Figure{Name: name, Value: value, Unit: unit, Limit: measure.AtMost, Bound: bound}
}

func unbounded(name string, value float64, unit string) measure.Figure {
	return measure.Figure{Name: name, Value: value, Unit: unit}
}
