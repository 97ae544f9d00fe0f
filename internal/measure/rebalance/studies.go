package rebalance

import (
	"context"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// meanSkewGoal is the mean skew to achieve over a day in which demand shifts every
// 3.5 s.
const meanSkewGoal = 1.2

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{{Name: "rebalance-replay", Deterministic: true, Run: replayStudy}}
}

type namedPolicy struct {
	name   string
	policy rebalance.Policy
}

// policies returns the default policy and the variants that it is compared with.
func policies() []namedPolicy {
	wide, single, eager := rebalance.DefaultPolicy(), rebalance.DefaultPolicy(), rebalance.DefaultPolicy()
	wide.MaxCopyTime = 4 * copyTime
	single.MaxSlices = 1
	eager.CopyCost, eager.MinGain = eager.CopyCost/6, 0.03
	return []namedPolicy{
		{"default", rebalance.DefaultPolicy()},
		{"4 new experts per rank", wide},
		{"last slice only", single},
		{"low copy cost and minimum gain", eager},
	}
}

// replayStudy replays each recording with each policy.
func replayStudy(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	plot := measure.Plot{Title: "Load of the most loaded rank relative to the mean, recording calm", XLabel: "seconds", YLabel: "skew"}
	for _, name := range []string{"calm", "busy", "busy-2"} {
		recording, err := LoadRecording(name)
		if err != nil {
			return result, err
		}
		bestSkew, err := BestMeanSkew(recording)
		if err != nil {
			return result, err
		}
		result.Figures = append(result.Figures, measure.Figure{Name: name + ": best maps, free and instant copies", Value: bestSkew, Unit: "ratio"})
		for at, candidate := range policies() {
			if err := ctx.Err(); err != nil {
				return result, err
			}
			outcome, err := Replay(recording, candidate.policy)
			if err != nil {
				return result, err
			}
			figure := measure.Figure{Name: fmt.Sprintf("%s: mean skew, %s", name, candidate.name), Value: outcome.MeanSkew(), Unit: "ratio"}
			if at == 0 {
				figure.Limit, figure.Bound = measure.AtMost, meanSkewGoal
			}
			copies := measure.Figure{Name: fmt.Sprintf("%s: copies, %s", name, candidate.name), Value: float64(outcome.Copies), Unit: "experts"}
			result.Figures = append(result.Figures, figure, copies)
			if name == "calm" {
				plot.Series = append(plot.Series, skewSeries(candidate.name, outcome))
			}
		}
	}
	result.Plots = append(result.Plots, plot)
	return result, nil
}

func skewSeries(name string, outcome Outcome) measure.Series {
	series := measure.Series{Name: name}
	for at, skew := range outcome.Skew {
		series.X = append(series.X, (time.Duration(at) * sliceDuration).Seconds())
		series.Y = append(series.Y, skew)
	}
	return series
}
