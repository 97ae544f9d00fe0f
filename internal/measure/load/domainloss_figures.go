package load

import (
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
)

// lossCase is one installation at one level of load.
type lossCase struct {
	user lossUser
	load float64
}

// lossTally counts the requests of a time span by outcome.
type lossTally struct {
	sent, answered, unknown, pending, ranTwice int
	shed                                       [3]int
	byClass                                    [3]int
}

// tally counts the requests that arrived in a time span.
func (s *lossSim) tally(from, to time.Duration) lossTally {
	var t lossTally
	for _, r := range s.requests {
		if r.arrived < from || r.arrived >= to {
			continue
		}
		t.sent++
		t.byClass[r.class]++
		switch r.outcome {
		case lossAnswered:
			t.answered++
		case lossShed:
			t.shed[r.class]++
		case lossUnknown:
			t.unknown++
		default:
			t.pending++
		}
		if r.order && r.runs > 1 {
			t.ranTwice++
		}
	}
	return t
}

// firstTokenP99 returns the 99th percentile, in milliseconds, of the time to the
// first token. It covers the answered requests of the given class and those above it
// that arrived in a time span.
func (s *lossSim) firstTokenP99(from, to time.Duration, class int) float64 {
	var values []float64
	for _, r := range s.requests {
		if r.class >= class && r.arrived >= from && r.arrived < to && r.outcome == lossAnswered {
			values = append(values, milliseconds(r.firstToken))
		}
	}
	return percentile(values, 0.99)
}

// overloads returns the number of overloads of all engines since the start of the
// run.
func (s *lossSim) overloads() int {
	sum := 0
	for _, t := range s.targets {
		sum += t.engine.overloads
	}
	return sum
}

// figures returns the figures of a run.
func (c lossCase) figures(s *lossSim) []measure.Figure {
	name := fmt.Sprintf("%s, %.0f%% load: ", c.user.name, 100*c.load)
	whole := s.tally(lossMeasureFrom, lossEnd)
	figures := []measure.Figure{
		{Name: name + "requests without an outcome", Value: float64(whole.pending), Unit: "count", Limit: measure.AtMost},
		{Name: name + "orders run twice", Value: float64(whole.ranTwice), Unit: "count", Limit: measure.AtMost},
		{Name: name + "engine overloads, whole run", Value: float64(s.overloads()), Unit: "count", Limit: measure.AtMost},
		{Name: name + "requests shed without a typed failure", Value: float64(s.untypedShed), Unit: "count", Limit: measure.AtMost},
		{Name: name + "orders of unknown outcome", Value: float64(whole.unknown), Unit: "count"},
	}
	if c.load > 2.0/3 {
		return append(figures, c.sheddingFigures(name, s)...)
	}
	return append(figures, c.recoveryFigures(name, s, whole)...)
}

// recoveryFigures returns the figures for a load that the surviving targets can
// carry.
func (c lossCase) recoveryFigures(name string, s *lossSim, whole lossTally) []measure.Figure {
	shed := whole.shed[0] + whole.shed[1] + whole.shed[2]
	during := s.tally(lossAt, lossReturnAt)
	goodput := float64(during.answered) / float64(during.sent-during.unknown)
	before := s.firstTokenP99(lossMeasureFrom, lossAt, 0)
	after := s.firstTokenP99(lossAt+lossPhase, lossAt+2*lossPhase, 0)
	settled := s.firstTokenP99(lossAt+2*lossPhase, lossReturnAt, 0)
	onReturn := s.firstTokenP99(lossReturnAt, lossReturnAt+lossPhase, 0)
	return []measure.Figure{
		{Name: name + "requests shed", Value: float64(shed), Unit: "count", Limit: measure.AtMost},
		{Name: name + "goodput while the failure domain is away", Value: goodput, Unit: "share", Limit: measure.AtLeast, Bound: 0.999},
		{Name: name + "first token p99 before", Value: before, Unit: "ms"},
		{Name: name + "first token p99 in the first 5 s of the loss", Value: s.firstTokenP99(lossAt, lossAt+lossPhase, 0), Unit: "ms"},
		{Name: name + "first token p99 from 5 s to 10 s after the loss", Value: after, Unit: "ms"},
		{Name: name + "first token p99 of the survivors later", Value: settled, Unit: "ms"},
		{Name: name + "p99 from 5 s after the loss over that before", Value: after / before, Unit: "ratio", Limit: measure.AtMost, Bound: 1.2},
		{Name: name + "p99 in the first 5 s of the return over that before", Value: onReturn / before, Unit: "ratio"},
	}
}

// sheddingFigures returns the figures for a load that the surviving targets cannot
// carry.
func (c lossCase) sheddingFigures(name string, s *lossSim) []measure.Figure {
	during := s.tally(lossAt, lossReturnAt)
	share := func(class int) float64 { return float64(during.shed[class]) / float64(during.byClass[class]) }
	answered := float64(during.answered) / (lossReturnAt - lossAt).Seconds()
	survivorCapacity := lossTargetRate * float64(len(s.targets)) * (lossDomainCount - 1) / lossDomainCount
	return []measure.Figure{
		{Name: name + "low class shed", Value: share(0), Unit: "share", Limit: measure.AtLeast, Bound: 0.01},
		{Name: name + "normal class shed", Value: share(1), Unit: "share", Limit: measure.AtMost, Bound: share(0)},
		{Name: name + "high class shed", Value: share(2), Unit: "share", Limit: measure.AtMost},
		{Name: name + "goodput over the survivors' capacity", Value: answered / survivorCapacity, Unit: "share"},
		{Name: name + "first token p99 while the failure domain is away, all classes", Value: s.firstTokenP99(lossAt+lossPhase, lossReturnAt, 0), Unit: "ms"},
		{Name: name + "first token p99 while the failure domain is away, normal and high", Value: s.firstTokenP99(lossAt+lossPhase, lossReturnAt, 1), Unit: "ms"},
		{Name: name + "first token p99 while the failure domain is away, high class", Value: s.firstTokenP99(lossAt+lossPhase, lossReturnAt, 2), Unit: "ms"},
	}
}

// plot returns a plot of the 99th percentile of the time to the first token, over
// time.
func (c lossCase) plot(s *lossSim) measure.Plot {
	series := measure.Series{Name: "p99"}
	for at := lossMeasureFrom; at < lossEnd; at += time.Second {
		series.X = append(series.X, at.Seconds())
		series.Y = append(series.Y, s.firstTokenP99(at, at+time.Second, 0))
	}
	return measure.Plot{
		Title:  fmt.Sprintf("%s, %.0f%% load: loss and return of a failure domain", c.user.name, 100*c.load),
		XLabel: "time (s)", YLabel: "first token p99 (ms)",
		Series: []measure.Series{series},
	}
}

// worstFigures returns the worst value of each figure over several runs with the same
// figures.
func worstFigures(runs [][]measure.Figure) []measure.Figure {
	figures := runs[0]
	for _, run := range runs[1:] {
		for i, figure := range run {
			if isWorse(figure, figures[i]) {
				figures[i] = figure
			}
		}
	}
	return figures
}

// isWorse reports whether a is worse than b: further past the bound or, within the
// bound, closer to it. Of figures without a bound, the greater one is worse.
func isWorse(a, b measure.Figure) bool {
	if a.Limit == measure.AtLeast {
		return a.Value-a.Bound < b.Value-b.Bound
	}
	return a.Value-a.Bound > b.Value-b.Bound
}
