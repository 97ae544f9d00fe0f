package rebalance

import (
	"context"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// meanSkewGoal is the mean skew aimed at over a day whose demand shifts every
// 3.5 s.
const meanSkewGoal = 1.2

// Studies returns the measurements of this package.
func Studies() []measure.Study {
	return []measure.Study{{Name: "rebalance-replay", Deterministic: true, Run: replayStudy}}
}

// way is a policy under a name.
type way struct {
	name   string
	policy rebalance.Policy
}

// ways are the product's policy and those that it is compared with.
func ways() []way {
	wide, single, cheap := rebalance.DefaultPolicy(), rebalance.DefaultPolicy(), rebalance.DefaultPolicy()
	wide.MaxNewPerRank = 4
	single.MaxSlices = 1
	cheap.CopyCost, cheap.MinGain = cheap.CopyCost/6, 0.03
	return []way{
		{"product", rebalance.DefaultPolicy()},
		{"4 new experts a rank", wide},
		{"only the last slice", single},
		{"copies that bring little too", cheap},
	}
}

// replayStudy plays each recording with each policy.
func replayStudy(ctx context.Context) (measure.Result, error) {
	var result measure.Result
	plot := measure.Plot{Title: "Most loaded rank over the mean, recording calm", XLabel: "seconds", YLabel: "skew"}
	for _, name := range []string{"calm", "busy", "busy-2"} {
		recording, err := Load(name)
		if err != nil {
			return result, err
		}
		bound, err := Bound(recording)
		if err != nil {
			return result, err
		}
		result.Figures = append(result.Figures, measure.Figure{Name: name + ": best maps, copies free and at once", Value: bound, Unit: "ratio"})
		for at, one := range ways() {
			if err := ctx.Err(); err != nil {
				return result, err
			}
			outcome, err := Replay(recording, one.policy)
			if err != nil {
				return result, err
			}
			figure := measure.Figure{Name: fmt.Sprintf("%s: mean skew, %s", name, one.name), Value: outcome.Mean(), Unit: "ratio"}
			if at == 0 {
				figure.Limit, figure.Bound = measure.AtMost, meanSkewGoal
			}
			copies := measure.Figure{Name: fmt.Sprintf("%s: copies, %s", name, one.name), Value: float64(outcome.Copies), Unit: "experts"}
			result.Figures = append(result.Figures, figure, copies)
			if name == "calm" {
				plot.Series = append(plot.Series, seriesOf(one.name, outcome))
			}
		}
	}
	result.Plots = append(result.Plots, plot)
	return result, nil
}

func seriesOf(name string, outcome Outcome) measure.Series {
	series := measure.Series{Name: name}
	for at, skew := range outcome.Skew {
		series.X = append(series.X, (time.Duration(at) * sliceTime).Seconds())
		series.Y = append(series.Y, skew)
	}
	return series
}
