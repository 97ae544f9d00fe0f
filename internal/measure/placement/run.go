package placement

import (
	"context"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/version/placement"
)

const (
	// sampleInterval is the time between steps whose skew is recorded, and
	// decisionInterval the time between decisions. A decision takes effect one
	// decisionInterval later, when its weights are loaded.
	sampleInterval   = 10 * time.Second
	decisionInterval = 10 * time.Second
	// stepsPerReport is the number of steps that the counts for a decision cover.
	stepsPerReport = 500
	// oldEstimateWeight is the weight of the previous estimate in the moving average of
	// the loads.
	oldEstimateWeight = 0.2
	// warmUpTime is the initial time that is excluded from the figures.
	warmUpTime = 5 * time.Minute
)

// Outcome holds the measurements of a strategy over a run.
type Outcome struct {
	// Skew is the step time of the slowest rank divided by the mean over the ranks,
	// Barrier the same if ranks wait for each other in every layer, and BarrierBound a
	// lower bound on Barrier for any placement.
	Skew, Barrier, BarrierBound Samples
	// Moves and Switches count the moved replicas and changed maps after the warm-up.
	Moves, Switches int
}

// Samples are the samples of one quantity.
type Samples []float64

func (s Samples) Mean() float64 {
	sum := 0.0
	for _, value := range s {
		sum += value
	}
	return sum / float64(len(s))
}

// Quantile returns the value below which the fraction q of the samples lies.
func (s Samples) Quantile(q float64) float64 {
	sorted := slices.Sorted(slices.Values(s))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Run simulates a group of the given shape for the given duration, with maps decided by
// strategy.
func Run(ctx context.Context, shape Shape, strategy Strategy, duration time.Duration) (Outcome, error) {
	workload := NewWorkload(shape)
	in := placement.Input{Speeds: workload.Speeds()}
	in.Loads = workload.Sample(workload.Loads(), stepsPerReport)
	slots, err := placement.AllocateSlots(in.Loads, in.Speeds, workload.Memory())
	if err != nil {
		return Outcome{}, err
	}
	in.Slots = slots
	first, err := placement.Pack(in, decisionWorkers)
	if err != nil {
		return Outcome{}, err
	}
	var outcome Outcome
	current, pending := first.Map, first.Map
	for at := sampleInterval; at <= duration; at += sampleInterval {
		if err := ctx.Err(); err != nil {
			return outcome, err
		}
		workload.Advance(sampleInterval)
		expected := workload.Loads()
		if at%decisionInterval == 0 {
			current = pending
		}
		if at > warmUpTime {
			outcome.record(current, workload.Sample(expected, 1), in)
		}
		if at%decisionInterval != 0 {
			continue
		}
		updateEstimate(in.Loads, workload.Sample(expected, stepsPerReport))
		plan, err := strategy.Decide(in, current)
		if err != nil {
			return outcome, err
		}
		pending = plan.Map
		if at > warmUpTime && plan.Changed {
			outcome.Moves += len(plan.Moves)
			outcome.Switches++
		}
	}
	return outcome, nil
}

// updateEstimate adds new loads to the exponential moving average in estimate.
func updateEstimate(estimate, loads [][]float64) {
	for layer := range estimate {
		for expert := range estimate[layer] {
			estimate[layer][expert] = oldEstimateWeight*estimate[layer][expert] + (1-oldEstimateWeight)*loads[layer][expert]
		}
	}
}

// record adds the skew of one step.
func (o *Outcome) record(m *placement.Map, loads [][]float64, in placement.Input) {
	skew := m.Skew(loads, in.Speeds)
	o.Skew = append(o.Skew, skew.Step)
	o.Barrier = append(o.Barrier, skew.Barrier)
	o.BarrierBound = append(o.BarrierBound, barrierBound(loads, in))
}

// barrierBound returns a lower bound on the barrier skew of every placement.
func barrierBound(loads [][]float64, in placement.Input) float64 {
	sum, total := 0.0, 0.0
	for layer := range loads {
		load := 0.0
		for _, l := range loads[layer] {
			load += l
		}
		total += load
		sum += load * placement.LowerBound(loads[layer], in.Speeds, in.Slots[layer])
	}
	return sum / total
}
