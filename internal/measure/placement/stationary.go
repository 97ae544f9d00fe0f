package placement

import (
	"context"
	"math/rand/v2"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/placement"
)

// Trouble is what happens to reports on their way.
type Trouble struct {
	// Missing, Twice and Late are shares of reports; a late one comes after the
	// next of its rank.
	Missing, Twice, Late float64
}

// reporter writes a rank's reports from the true loads.
type reporter struct {
	report placement.Report
	late   *placement.Report
}

// StationaryRun counts moves while popularity stays as it is; only the counts'
// own noise and the trouble with reports change what is seen. A report covers the
// given steps; the fewer, the more noise. The rank stalled
// runs at a twentieth of its speed for three reports every half an hour; -1 for
// none.
func StationaryRun(ctx context.Context, trouble Trouble, steps, stalled int, lasting time.Duration) (moves, switches int, err error) {
	shape := targetShape()
	shape.Layers = 4
	shape.Drift, shape.BurstEvery, shape.Day = 0, 0, 0
	load := NewWorkload(shape)
	loads := load.Loads()
	random := rand.New(rand.NewPCG(shape.Seed, 13))
	telemetry := placement.NewTelemetry(shape.Ranks, shape.Layers, shape.Experts)
	reporters := make([]reporter, shape.Ranks)
	in := placement.Input{Speeds: load.Speeds()}
	speeds := load.Speeds()
	if in.Slots, err = placement.AllocateSlots(loads, speeds, load.Memory()); err != nil {
		return 0, 0, err
	}
	in.Loads = loads
	plan, err := placement.Pack(in, decisionWorkers)
	for at := decideEvery; at <= lasting && err == nil; at += decideEvery {
		if err = ctx.Err(); err != nil {
			break
		}
		slow := stalled >= 0 && at%(30*time.Minute) < 3*decideEvery
		for rank := range reporters {
			r := &reporters[rank]
			speed := speeds[rank]
			if slow && rank == stalled {
				speed /= 20
			}
			r.write(rank, load.Sample(loads, float64(steps*shape.Ranks)), steps, shape.Ranks, speed)
			r.send(telemetry, time.Unix(0, 0).Add(at), trouble, random)
		}
		var heard bool
		if in.Loads, heard = telemetry.Loads(); !heard {
			continue
		}
		in.Speeds = telemetry.Speeds()
		plan, err = placement.Improve(in, plan.Map, placement.DefaultSettings())
		if err == nil && at > warmUp {
			moves += len(plan.Moves)
			if plan.Changed {
				switches++
			}
		}
	}
	return moves, switches, err
}

// write adds the steps since the last report. Each rank routes an equal part of
// all tokens, and computes for a second.
func (r *reporter) write(rank int, loads [][]float64, steps, ranks int, speed float64) {
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

func (r *reporter) send(to *placement.Telemetry, now time.Time, trouble Trouble, random *rand.Rand) {
	late := r.late
	r.late = nil
	switch draw := random.Float64(); {
	case draw < trouble.Missing:
	case draw < trouble.Missing+trouble.Late:
		held := r.report
		r.late = &held
	case draw < trouble.Missing+trouble.Late+trouble.Twice:
		to.AddReport(now, r.report)
		to.AddReport(now, r.report)
	default:
		to.AddReport(now, r.report)
	}
	if late != nil {
		to.AddReport(now, *late)
	}
}

// stationaryStudy shows that nothing moves while nothing changes.
func stationaryStudy(ctx context.Context) (measure.Result, error) {
	table := []struct {
		name    string
		trouble Trouble
		steps   int
		stalled int
	}{
		{"all reports in time", Trouble{}, stepsPerReport, -1},
		{"10 steps a report", Trouble{}, 10, -1},
		{"a fifth each of reports missing, late and twice", Trouble{Missing: 0.2, Late: 0.2, Twice: 0.2}, stepsPerReport, -1},
		{"as before, and a rank stalls for 30s", Trouble{Missing: 0.2, Late: 0.2, Twice: 0.2}, stepsPerReport, 5},
	}
	const lasting = 65 * time.Minute
	var result measure.Result
	for _, row := range table {
		moves, switches, err := StationaryRun(ctx, row.trouble, row.steps, row.stalled, lasting)
		if err != nil {
			return result, err
		}
		hours := (lasting - warmUp).Hours()
		result.Figures = append(result.Figures,
			atMost("moves under stationary load, "+row.name, float64(moves)/hours, "1/h", 0),
			report("switches of splits under stationary load, "+row.name, float64(switches)/hours, "1/h"),
		)
	}
	return result, nil
}
