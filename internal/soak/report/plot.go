package report

import (
	"bytes"
	"html/template"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"verbenaseam.example/verbenaseam/internal/soak"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	faultWidth = vg.Length(6)
)

// groupColors are the colours of the groups.
var groupColors = [groups]color.Color{
	color.RGBA{R: 0x2a, G: 0x7f, B: 0x3f, A: 0xff},
	color.RGBA{R: 0x2f, G: 0x6f, B: 0xb5, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x8e, B: 0x04, A: 0xff},
	color.RGBA{R: 0xb0, G: 0x1e, B: 0x2f, A: 0xff},
}

// drawDay draws the requests of each second by how they ended, and above them the faults.
func drawDay(result soak.Result) (template.HTML, error) {
	chart := plot.New()
	chart.X.Label.Text, chart.Y.Label.Text = "s", "requests a second"
	chart.Legend.Top = true
	chart.X.Max = result.Length.Seconds()
	highest := 1.0
	for kind, counts := range countsBySecond(result) {
		line, err := plotter.NewLine(counts)
		if err != nil {
			return "", err
		}
		line.Color = groupColors[kind]
		line.Width = vg.Points(1.5)
		chart.Add(line)
		chart.Legend.Add(group(kind).String(), line)
		for _, point := range counts {
			highest = max(highest, point.Y)
		}
	}
	for n, fault := range spansOf(result) {
		if err := addSpan(chart, fault, highest*(1.08+0.04*float64(n%faultRows))); err != nil {
			return "", err
		}
	}
	return render(chart)
}

// span is a fault, or another trouble of a day, as it is drawn.
type span struct {
	from, to time.Duration
	label    string
}

func spansOf(result soak.Result) []span {
	var spans []span
	for _, fault := range result.Day.Faults {
		spans = append(spans, span{fault.At, fault.At + fault.For, string(fault.Kind)})
	}
	if from := result.Day.CrashingFrom; from > 0 {
		spans = append(spans, span{from, result.Length, "requests that crash targets"})
	}
	return spans
}

// faultRows is the number of rows on which the faults are drawn.
const faultRows = 12

// addSpan draws a span at a height, with its label at the beginning.
func addSpan(chart *plot.Plot, s span, y float64) error {
	line, err := plotter.NewLine(plotter.XYs{{X: s.from.Seconds(), Y: y}, {X: s.to.Seconds(), Y: y}})
	if err != nil {
		return err
	}
	line.Width, line.Color = faultWidth, color.Gray{Y: 0xc0}
	chart.Add(line)
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: s.from.Seconds(), Y: y}}, Labels: []string{s.label}})
	if err != nil {
		return err
	}
	labels.TextStyle[0].Font.Size = vg.Points(7)
	labels.TextStyle[0].YAlign = draw.YCenter
	chart.Add(labels)
	return nil
}

// countsBySecond counts the requests that were sent in each second of a day, by group.
func countsBySecond(result soak.Result) [groups]plotter.XYs {
	seconds := int(result.Length / time.Second) // without the last one, which is not whole
	var counts [groups]plotter.XYs
	for kind := range counts {
		counts[kind] = make(plotter.XYs, seconds)
		for second := range counts[kind] {
			counts[kind][second].X = float64(second)
		}
	}
	for _, sample := range result.Samples {
		if second := int(sample.At / time.Second); second < seconds {
			counts[groupOf(sample)][second].Y++
		}
	}
	return counts
}

// render returns a chart as an SVG element.
func render(chart *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	chart.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 {
		text = text[at:] // without the XML declaration, which has no place inside a page
	}
	return template.HTML(text), nil
}
