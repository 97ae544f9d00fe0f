package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/internal/soak"
	"verbenaseam.example/verbenaseam/internal/soak/report"
)

type soakRun struct {
	tool     *tool
	Seed     uint64        `long:"seed" value-name:"N" default:"1" description:"Seed of the first day"`
	Seeds    int           `long:"seeds" value-name:"N" default:"1" description:"Number of days, with successive seeds"`
	Minutes  float64       `long:"minutes" value-name:"M" description:"Play days until this many minutes have passed, in place of --seeds"`
	Trouble  time.Duration `long:"trouble" value-name:"TIME" default:"10s" description:"Time of a day in which faults begin"`
	Stops    bool          `long:"stops" description:"Play days of planned stops only, with slow requests and callers that come late"`
	Entries  int           `long:"entries" value-name:"N" default:"3" description:"Number of entries"`
	Targets  int           `long:"targets" value-name:"N" default:"4" description:"Number of targets of the plain service"`
	Jobs     int           `long:"jobs" value-name:"N" default:"1" description:"Number of days played at once"`
	Binaries string        `long:"binaries" value-name:"DIRECTORY" description:"Directory of the programs to play (default: that of this program)"`
	Logs     string        `long:"logs" value-name:"DIRECTORY" default:"build/soak" description:"Directory for settings and logs"`
	Results  string        `long:"results" value-name:"FILE" description:"File for the results, as JSON"`
	Report   string        `long:"report" value-name:"FILE" description:"File for a page about the run, as HTML"`
	Compare  string        `long:"compare" value-name:"FILE" description:"Results of an earlier run to show beside this one in the report"`
}

// soakFailed means that a promise was broken or a day was not played.
type soakFailed struct{ broken, missing int }

// Error implements error.
func (e *soakFailed) Error() string {
	return fmt.Sprintf("%d promises broken, %d days not played", e.broken, e.missing)
}

// Execute implements flags.Commander.
func (c *soakRun) Execute([]string) error {
	if err := c.check(); err != nil {
		return err
	}
	var earlier []report.Run
	if c.Compare != "" {
		run, err := readResults(c.Compare)
		if err != nil {
			return err
		}
		earlier = append(earlier, run)
	}
	ctx, _, stop := command.Signals()
	defer stop()
	run, missing := c.play(ctx)
	if err := c.write(run, earlier); err != nil {
		return err
	}
	broken := 0
	for _, result := range run.Results {
		broken += len(result.Violations)
	}
	if broken > 0 || missing > 0 {
		return &soakFailed{broken, missing}
	}
	return nil
}

// check checks the options and sets the default of Binaries.
func (c *soakRun) check() error {
	switch {
	case c.Seeds < 1 || c.Entries < 1 || c.Targets < 1 || c.Jobs < 1:
		return &usageError{Message: "--seeds, --entries, --targets and --jobs must be at least 1"}
	case c.Trouble <= 0 || c.Minutes < 0:
		return &usageError{Message: "--trouble must be positive, --minutes must not be negative"}
	case c.Compare != "" && c.Report == "":
		return &usageError{Message: "--compare needs --report"}
	}
	if c.Binaries == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		c.Binaries = filepath.Dir(executable)
	}
	return soak.CheckBinaries(c.Binaries)
}

// play plays the days, several at once. It returns the results of those that started and the
// number of the others.
func (c *soakRun) play(ctx context.Context) (run report.Run, missing int) {
	run.Name = fmt.Sprintf("seeds from %d", c.Seed)
	var mu sync.Mutex
	slots := make(chan struct{}, c.Jobs)
	started := time.Now()
	var running sync.WaitGroup
	for n := 0; ctx.Err() == nil && c.another(n, started); n++ {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			day := c.draw(c.Seed + uint64(n))
			result, err := soak.Run(ctx, soak.Config{
				Day: day, Entries: c.Entries, Targets: c.Targets, Binaries: c.Binaries,
				Directory: filepath.Join(c.Logs, fmt.Sprint(day.Seed)),
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing++
				_, _ = fmt.Fprintf(c.tool.out, "%v\nnot played: %v\n\n", day, err)
				return
			}
			printDay(c.tool.out, result)
			run.Results = append(run.Results, result)
		})
	}
	running.Wait()
	return run, missing
}

// draw draws the day of a seed.
func (c *soakRun) draw(seed uint64) soak.Day {
	if c.Stops {
		return soak.DrawStopDay(seed, c.Trouble)
	}
	return soak.DrawDay(seed, c.Trouble)
}

// another reports whether another day is to be played after n.
func (c *soakRun) another(n int, started time.Time) bool {
	if c.Minutes > 0 {
		return time.Since(started).Minutes() < c.Minutes
	}
	return n < c.Seeds
}

func printDay(out io.Writer, result soak.Result) {
	_, _ = fmt.Fprintln(out, result.Day)
	for _, violation := range result.Violations {
		_, _ = fmt.Fprintln(out, "BROKEN", violation)
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d promises broken; %v\n\n", result.Seed, len(result.Violations), result.Outcomes)
}

// write writes the results and the report to their files.
func (c *soakRun) write(run report.Run, earlier []report.Run) error {
	if c.Results != "" {
		encoded, err := json.Marshal(run)
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Results, encoded, 0o644); err != nil {
			return err
		}
	}
	if c.Report == "" {
		return nil
	}
	file, err := os.Create(c.Report)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := report.Write(file, append(earlier, run)...); err != nil {
		return err
	}
	return file.Close()
}

// readResults reads the results that an earlier run has written.
func readResults(file string) (report.Run, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return report.Run{}, &usageError{Message: err.Error()}
	}
	var run report.Run
	if err := json.Unmarshal(content, &run); err != nil {
		return report.Run{}, &usageError{Message: fmt.Sprintf("%s holds no results of a soak: %v", file, err)}
	}
	run.Name += ", compared"
	return run, nil
}
