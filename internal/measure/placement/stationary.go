package placement

import (
	"context"
	"math/rand/v2"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/placement"
)

// ReportFaults configures the faults injected into the reports of the ranks in transit.
type ReportFaults struct {
	// Missing, Duplicated and Delayed are fractions of the reports; a delayed report
	// arrives after the next one of its rank.
	Missing, Duplicated, Delayed float64
}

// rankReporter generates the reports of a rank from the true loads.
type rankReporter struct {
	report  placement.Report
	delayed *placement.Report
}

// RunStationary counts moves under constant popularity, where only sampling noise and
// report faults change the observed loads. Each report covers the given number of
// steps; fewer steps give more noise. The rank stalled runs at a twentieth of its
// speed for three reports every half hour; -1 means none.
func RunStationary(ctx context.Context, faults ReportFaults, steps, stalled int, duration time.Duration) (moves, switches int, err error) {
	shape := plannedShape()
	shape.Layers = 4
	shape.DriftStdDev, shape.BurstInterval, shape.DayPeriod = 0, 0, 0
	workload := NewWorkload(shape)
	loads := workload.Loads()
	random := rand.New(rand.NewPCG(shape.Seed, 13))
	telemetry := placement.NewTelemetry(shape.Ranks, shape.Layers, shape.Experts)
	reporters := make([]rankReporter, shape.Ranks)
	in := placement.Input{Speeds: workload.Speeds()}
	speeds := workload.Speeds()
	if in.Slots, err = placement.AllocateSlots(loads, speeds, workload.Memory()); err != nil {
		return 0, 0, err
	}
	in.Loads = loads
	plan, err := placement.Pack(in, decisionWorkers)
	for at := decisionInterval; at <= duration && err == nil; at += decisionInterval {
		if err = ctx.Err(); err != nil {
			break
		}
		slow := stalled >= 0 && at%(30*time.Minute) < 3*decisionInterval
		for rank := range reporters {
			r := &reporters[rank]
			speed := speeds[rank]
			if slow && rank == stalled {
				speed /= 20
			}
			r.addSteps(rank, workload.Sample(loads, float64(steps*shape.Ranks)), steps, shape.Ranks, speed)
			r.send(telemetry, time.Unix(0, 0).Add(at), faults, random)
		}
		var complete bool
		if in.Loads, complete = telemetry.Loads(); !complete {
			continue
		}
		in.Speeds = telemetry.Speeds()
		plan, err = placement.Improve(in, plan.Map, placement.DefaultSettings())
		if err == nil && at > warmUpTime {
			moves += len(plan.Moves)
			if plan.Changed {
				switches++
			}
		}
	}
	return moves, switches, err
}

// addSteps adds the steps since the previous report to the counters. Each rank routes
// an equal part of all tokens and computes for one second.
func (r *rankReporter) addSteps(rank int, loads [][]float64, steps, ranks int, speed float64) {
	next := r.report
	next.Rank, next.Incarnation = rank, 1
	next.Sequence++
	next.Steps += uint64(steps)
	next.Routed = make([][]uint64, len(loads))
	for layer := range loads {
		next.Routed[layer] = make([]uint64, len(loads[layer]))
		for expert, tokens := range loads[layer] {
			before := uint64(0)
			if r.report.Routed != nil {
				before = r.report.Routed[layer][expert]
			}
			next.Routed[layer][expert] = before + uint64(tokens*float64(steps)/float64(ranks))
		}
	}
	next.Computed += uint64(speed)
	next.Busy += time.Second
	r.report = next
}

func (r *rankReporter) send(to *placement.Telemetry, now time.Time, faults ReportFaults, random *rand.Rand) {
	delayed := r.delayed
	r.delayed = nil
	switch draw := random.Float64(); {
	case draw < faults.Missing:
	case draw < faults.Missing+faults.Delayed:
		report := r.report
		r.delayed = &report
	case draw < faults.Missing+faults.Delayed+faults.Duplicated:
		to.AddReport(now, r.report)
		to.AddReport(now, r.report)
	default:
		to.AddReport(now, r.report)
	}
	if delayed != nil {
		to.AddReport(now, *delayed)
	}
}

// stationaryStudy checks that no expert moves under constant popularity.
func stationaryStudy(ctx context.Context) (measure.Result, error) {
	table := []struct {
		name    string
		faults  ReportFaults
		steps   int
		stalled int
	}{
		{"all reports in time", ReportFaults{}, stepsPerReport, -1},
		{"10 steps per report", ReportFaults{}, 10, -1},
		{"a fifth each of reports missing, delayed and duplicated", ReportFaults{Missing: 0.2, Delayed: 0.2, Duplicated: 0.2}, stepsPerReport, -1},
		{"the same, and a rank stalls for 30s", ReportFaults{Missing: 0.2, Delayed: 0.2, Duplicated: 0.2}, stepsPerReport, 5},
	}
	const duration = 65 * time.Minute
	var result measure.Result
	for _, row := range table {
		moves, switches, err := RunStationary(ctx, row.faults, row.steps, row.stalled, duration)
		if err != nil {
			return result, err
		}
		hours := (duration - warmUpTime).Hours()
		result.Figures = append(result.Figures,
			atMost("moves under stationary load, "+row.name, float64(moves)/hours, "1/h", 0),
			unbounded("map switches under stationary load, "+row.name, float64(switches)/hours, "1/h"),
		)
	}
	return result, nil
}
