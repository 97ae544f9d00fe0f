// Package measure defines benchmark studies, and the figures that they report and
// check against the bounds of the stated performance targets.
package measure

import (
	"context"
	"fmt"
)

// Limit is the kind of bound that a figure has.
type Limit int

// Limits.
const (
	// NoBound marks a figure without a bound.
	NoBound Limit = iota
	// AtMost requires Value <= Bound.
	AtMost
	// AtLeast requires Value >= Bound.
	AtLeast
)

// Figure is one measured value.
type Figure struct {
	// Name states what was measured and under which conditions.
	Name string
	// Value is the measured value, in Unit.
	Value float64
	// Unit is the unit of Value and Bound: "ms", "ratio", "rows/s" and so on.
	Unit string
	// Limit and Bound define the performance target; Bound is unused with Report.
	Limit Limit
	Bound float64
}

// OK reports whether the figure is within its bound.
func (f Figure) OK() bool {
	switch f.Limit {
	case AtMost:
		return f.Value <= f.Bound
	case AtLeast:
		return f.Value >= f.Bound
	default:
		return true
	}
}

// Verdict returns "ok", "OUT OF BOUNDS", or "-" for a figure without a bound.
func (f Figure) Verdict() string {
	switch {
	case f.Limit == NoBound:
		return "-"
	case f.OK():
		return "ok"
	default:
		return "OUT OF BOUNDS"
	}
}

// BoundText formats the bound for display; it is empty for a figure without one.
func (f Figure) BoundText() string {
	switch f.Limit {
	case AtMost:
		return fmt.Sprintf("<= %g", f.Bound)
	case AtLeast:
		return fmt.Sprintf(">= %g", f.Bound)
	default:
		return ""
	}
}

// Series is one line of a plot.
type Series struct {
	Name string
	X, Y []float64
}

// Plot is a line chart in the report.
type Plot struct {
	Title, XLabel, YLabel string
	Series                []Series
}

// Result holds the figures and plots of a study.
type Result struct {
	Figures []Figure
	Plots   []Plot
}

// Study is one measurement.
type Study struct {
	// Name is a short identifier in lower case with hyphens.
	Name string
	// Deterministic is set if every run gives the same figures, because the study
	// uses fixed seeds and a fake clock. CI can enforce the bounds of such a study.
	Deterministic bool
	// Run performs the study; it stops early when ctx is done.
	Run func(ctx context.Context) (Result, error)
}
