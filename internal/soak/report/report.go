// Package report writes results of the fault soak as a page for operators.
package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"verbenaseam.example/verbenaseam/internal/soak"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// Run is the results of the days of one run.
type Run struct {
	// Name tells the run apart from the one that it is compared with.
	Name    string        `json:"name"`
	Results []soak.Result `json:"results"`
}

// Write writes a page about one run, or about two that are compared: each day shows the time
// line of its faults over the requests of each run. The page needs no other files.
func Write(out io.Writer, runs ...Run) error {
	days, err := daysOf(runs)
	if err != nil {
		return err
	}
	return page.Execute(out, struct {
		Runs []runSummary
		Days []day
	}{summaries(runs), days})
}

// runSummary is a run in the table at the top of the page.
type runSummary struct {
	Name, Builds                string
	Days, Broken                int
	Requests, Served, NotServed int
	Kinds                       []kindSummary
}

// kindSummary is one kind of request of a run or a day.
type kindSummary struct {
	Kind                               string
	Served, Late, Refused, Failed      int
	Median, Percentile95, Percentile99 string
}

// day is a day of one run or of two.
type day struct {
	Seed uint64
	Plan string
	Runs []dayRun
}

// dayRun is a day as one run played it.
type dayRun struct {
	Name, Build string
	Violations  []string
	Kinds       []kindSummary
	Plot        template.HTML
}

func summaries(runs []Run) []runSummary {
	var all []runSummary
	for _, run := range runs {
		summary := runSummary{Name: run.Name, Days: len(run.Results)}
		var samples []soak.Sample
		var builds []string
		for _, result := range run.Results {
			samples = append(samples, result.Samples...)
			builds = append(builds, result.Build)
			summary.Broken += len(result.Violations)
		}
		slices.Sort(builds)
		summary.Builds = strings.Join(slices.Compact(builds), ", ")
		summary.Kinds = kindsOf(samples)
		for _, kind := range summary.Kinds {
			summary.Requests += kind.Served + kind.Refused + kind.Failed
			summary.Served += kind.Served
		}
		summary.NotServed = summary.Requests - summary.Served
		all = append(all, summary)
	}
	return all
}

// daysOf joins the days of all runs by their seeds.
func daysOf(runs []Run) ([]day, error) {
	var days []day
	for _, run := range runs {
		for _, result := range run.Results {
			n := slices.IndexFunc(days, func(d day) bool { return d.Seed == result.Seed })
			if n < 0 {
				n = len(days)
				days = append(days, day{Seed: result.Seed, Plan: result.Day.String()})
			}
			played, err := newDayRun(run.Name, result)
			if err != nil {
				return nil, err
			}
			days[n].Runs = append(days[n].Runs, played)
		}
	}
	slices.SortFunc(days, func(a, b day) int { return int(a.Seed) - int(b.Seed) })
	return days, nil
}

func newDayRun(name string, result soak.Result) (dayRun, error) {
	drawn, err := drawDay(result)
	if err != nil {
		return dayRun{}, err
	}
	played := dayRun{Name: name, Build: result.Build, Kinds: kindsOf(result.Samples), Plot: drawn}
	for _, violation := range result.Violations {
		played.Violations = append(played.Violations, violation.String())
	}
	return played, nil
}

// group is how a request ended, as the page counts it.
type group int

const (
	served group = iota
	late
	refused
	failed
	groups
)

func (g group) String() string { return [...]string{"served", "served late", "refused", "failed"}[g] }

// groupOf returns how a request ended. A refusal is a status that promises that it has not run.
func groupOf(sample soak.Sample) group {
	switch {
	case sample.IsLate():
		return late
	case sample.Outcome == soak.Served:
		return served
	case soak.IsRefusal(sample.Outcome):
		return refused
	default:
		return failed
	}
}

// kindsOf summarises requests by their kinds. The percentiles are those of served ones.
func kindsOf(samples []soak.Sample) []kindSummary {
	counts := map[string]*[groups]int{}
	took := map[string][]time.Duration{}
	for _, sample := range samples {
		if counts[sample.Kind] == nil {
			counts[sample.Kind] = &[groups]int{}
		}
		counts[sample.Kind][groupOf(sample)]++
		if sample.Outcome == soak.Served {
			took[sample.Kind] = append(took[sample.Kind], sample.Took)
		}
	}
	var all []kindSummary
	for kind, count := range counts {
		slices.Sort(took[kind])
		all = append(all, kindSummary{
			Kind: kind, Served: count[served] + count[late], Late: count[late], Refused: count[refused], Failed: count[failed],
			Median: percentile(took[kind], 0.5), Percentile95: percentile(took[kind], 0.95), Percentile99: percentile(took[kind], 0.99),
		})
	}
	slices.SortFunc(all, func(a, b kindSummary) int { return strings.Compare(a.Kind, b.Kind) })
	return all
}

// percentile returns a percentile of sorted durations as text, or a dash if there are none.
func percentile(sorted []time.Duration, share float64) string {
	if len(sorted) == 0 {
		return "–"
	}
	at := min(int(share*float64(len(sorted))), len(sorted)-1)
	return fmt.Sprintf("%.1f ms", float64(sorted[at])/float64(time.Millisecond))
}
