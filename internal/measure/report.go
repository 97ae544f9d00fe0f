package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Outcome is the result of running a study.
type Outcome struct {
	Study    Study
	Result   Result
	Err      error
	Duration time.Duration
}

// OutOfBounds returns the figures that are not within their bounds.
func (o Outcome) OutOfBounds() []Figure {
	outside := []Figure{}
	for _, figure := range o.Result.Figures {
		if !figure.OK() {
			outside = append(outside, figure)
		}
	}
	return outside
}

// Failed reports whether the study failed or a figure is out of bounds.
func (o Outcome) Failed() bool { return o.Err != nil || len(o.OutOfBounds()) > 0 }

// RunAll runs studies sequentially, so that they don't compete for the machine,
// and calls onComplete after each.
func RunAll(ctx context.Context, studies []Study, onComplete func(Outcome)) []Outcome {
	outcomes := make([]Outcome, 0, len(studies))
	for _, study := range studies {
		start := time.Now()
		result, err := study.Run(ctx)
		outcome := Outcome{Study: study, Result: result, Err: err, Duration: time.Since(start)}
		onComplete(outcome)
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}

// WriteTable writes a text table with one row per figure.
func WriteTable(out io.Writer, outcomes []Outcome) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	_, _ = fmt.Fprintln(table, "STUDY\tFIGURE\tVALUE\tUNIT\tBOUND\tVERDICT")
	for _, o := range outcomes {
		if o.Err != nil {
			_, _ = fmt.Fprintf(table, "%s\tFAILED: %v\t\t\t\tFAILED\n", o.Study.Name, o.Err)
		}
		for _, f := range o.Result.Figures {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%.4g\t%s\t%s\t%s\n", o.Study.Name, f.Name, f.Value, f.Unit, f.BoundText(), f.Verdict())
		}
	}
}

// WriteReport writes report.md, a Markdown page with the table and the plots, and an
// SVG file per plot to a directory.
func WriteReport(directory string, outcomes []Outcome) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	var page strings.Builder
	page.WriteString("# Measurements\n\n| study | figure | value | unit | bound | verdict |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, o := range outcomes {
		if o.Err != nil {
			fmt.Fprintf(&page, "| %s | FAILED: %v | | | | FAILED |\n", o.Study.Name, o.Err)
		}
		for _, f := range o.Result.Figures {
			fmt.Fprintf(&page, "| %s | %s | %.4g | %s | %s | %s |\n", o.Study.Name, f.Name, f.Value, f.Unit, f.BoundText(), f.Verdict())
		}
	}
	for _, o := range outcomes {
		for i, p := range o.Result.Plots {
			name := fmt.Sprintf("%s-%d.svg", o.Study.Name, i+1)
			if err := drawPlot(filepath.Join(directory, name), p); err != nil {
				return err
			}
			fmt.Fprintf(&page, "\n![%s](%s)\n", p.Title, name)
		}
	}
	return os.WriteFile(filepath.Join(directory, "report.md"), []byte(page.String()), 0o644)
}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

func drawPlot(file string, p Plot) error {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = p.Title, p.XLabel, p.YLabel
	for i, series := range p.Series {
		points := make(plotter.XYs, min(len(series.X), len(series.Y)))
		for j := range points {
			points[j].X, points[j].Y = series.X[j], series.Y[j]
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		chart.Add(line)
		chart.Legend.Add(series.Name, line)
	}
	return chart.Save(plotWidth, plotHeight, file)
}
