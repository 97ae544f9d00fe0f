// Command soakrun plays days of the fault soak and exits with status 1 if a promise was
// broken. It prints each day in full before it is played, so that a seed names the day.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"verbenaseam.example/verbenaseam/internal/soak"
)

type options struct {
	Seed    uint64        `long:"seed" default:"1" description:"Seed of the first day"`
	Seeds   int           `long:"seeds" default:"1" description:"Number of days, with successive seeds"`
	Trouble time.Duration `long:"trouble" default:"10s" description:"Time of a day in which faults begin"`
	Entries int           `long:"entries" default:"3" description:"Number of entries"`
	Targets int           `long:"targets" default:"4" description:"Number of targets of the plain service"`
	Jobs    int           `long:"jobs" default:"1" description:"Number of days played at once"`
	Logs    string        `long:"logs" default:"build/soak" value-name:"DIRECTORY" description:"Directory for settings and logs"`
	Report  string        `long:"report" value-name:"FILE" description:"File for the results, as JSON"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	status := run(ctx, opts)
	stop()
	os.Exit(status)
}

func run(ctx context.Context, opts options) int {
	binaries := filepath.Join(opts.Logs, "bin")
	if err := soak.Build(binaries); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	results := playAll(ctx, opts, binaries)
	failed := len(results) < opts.Seeds
	for _, result := range results {
		failed = failed || len(result.Violations) > 0
	}
	if opts.Report != "" {
		if err := writeReport(opts.Report, results); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	if failed {
		return 1
	}
	return 0
}

// playAll plays all days, several at once, and returns the results of those that started.
func playAll(ctx context.Context, opts options, binaries string) []soak.Result {
	var mu sync.Mutex
	var results []soak.Result
	slots := make(chan struct{}, max(opts.Jobs, 1))
	var running sync.WaitGroup
	for n := range opts.Seeds {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			day := soak.DrawDay(opts.Seed+uint64(n), opts.Trouble)
			result, err := soak.Run(ctx, soak.Config{
				Day: day, Entries: opts.Entries, Targets: opts.Targets, Binaries: binaries,
				Directory: filepath.Join(opts.Logs, fmt.Sprint(day.Seed)),
			})
			mu.Lock()
			defer mu.Unlock()
			fmt.Println(day)
			if err != nil {
				fmt.Fprintln(os.Stderr, "not played:", err)
				return
			}
			printResult(result)
			results = append(results, result)
		})
	}
	running.Wait()
	return results
}

func printResult(result soak.Result) {
	for _, violation := range result.Violations {
		fmt.Println("BROKEN", violation)
	}
	fmt.Printf("seed %d: %d promises broken; %v\n\n", result.Seed, len(result.Violations), result.Outcomes)
}

func writeReport(file string, results []soak.Result) error {
	encoded, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, encoded, 0o644)
}
