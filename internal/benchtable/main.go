// Command benchtable runs the benchmark studies, prints a table of their figures
// with the bounds, writes a report with plots under build/report, and exits with
// status 1 if a study fails or a figure is out of bounds.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/internal/measure/all"
)

type options struct {
	Only   string `long:"only" value-name:"TEXT" description:"Run only studies whose name contains TEXT"`
	Report string `long:"report" value-name:"DIRECTORY" default:"build/report" description:"Directory to write the report to"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	command.TuneGC()
	os.Exit(run(opts))
}

// printProgress prints the outcome of a study to standard error.
func printProgress(outcome measure.Outcome) {
	verdict := "ok"
	if outcome.Failed() {
		verdict = "failed or out of bounds"
	}
	fmt.Fprintf(os.Stderr, "%-32s %8.1f s  %s\n", outcome.Study.Name, outcome.Duration.Seconds(), verdict)
	for _, figure := range outcome.OutOfBounds() {
		fmt.Fprintf(os.Stderr, "    %s: %.4g %s, bound %s\n", figure.Name, figure.Value, figure.Unit, figure.BoundText())
	}
}

func run(opts options) int {
	studies := []measure.Study{}
	for _, study := range all.Studies() {
		if strings.Contains(study.Name, opts.Only) {
			studies = append(studies, study)
		}
	}
	outcomes := measure.RunAll(context.Background(), studies, printProgress)
	measure.WriteTable(os.Stdout, outcomes)
	if err := measure.WriteReport(opts.Report, outcomes); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	failed := 0
	for _, outcome := range outcomes {
		if outcome.Failed() {
			failed++
		}
	}
	fmt.Printf("%d studies, %d failed or out of bounds; report in %s\n", len(outcomes), failed, opts.Report)
	if failed > 0 {
		return 1
	}
	return 0
}
