package soak

import (
	"context"
	"debug/buildinfo"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// Config configures a run.
type Config struct {
	Day Day
	// Entries and Targets are the numbers of entries and of targets of the plain service.
	Entries, Targets int
	// Binaries is the directory of the compiled programs, Directory that for settings and
	// logs.
	Binaries, Directory string
}

// Result is the result of a run.
type Result struct {
	Seed uint64
	// Build is the build of the programs.
	Build      string
	Day        Day
	Violations []Violation
	// Outcomes counts requests by kind and outcome.
	Outcomes map[string]map[string]int
	// Samples are all requests, in the order in which they ended. Length is the length of
	// the day.
	Samples []Sample
	Length  time.Duration
}

// BuildError means that the programs could not be built.
type BuildError struct {
	Output string
	Cause  error
}

// Error implements error.
func (e *BuildError) Error() string {
	return fmt.Sprintf("building the programs failed: %v\n%s", e.Cause, e.Output)
}

// Unwrap returns the error of the command.
func (e *BuildError) Unwrap() error { return e.Cause }

// Build builds the programs into a directory. It fails with BuildError.
func Build(directory string) error {
	command := exec.Command("go", "build", "-o", directory+string(filepath.Separator), "verbenaseam.example/verbenaseam/cmd/...")
	if output, err := command.CombinedOutput(); err != nil {
		return &BuildError{Output: string(output), Cause: err}
	}
	return nil
}

// MissingProgramError means that a directory lacks a program that the soak plays.
type MissingProgramError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *MissingProgramError) Error() string {
	return fmt.Sprintf("no program %s; make build builds it: %v", e.File, e.Cause)
}

// Unwrap returns the error of looking for the file.
func (e *MissingProgramError) Unwrap() error { return e.Cause }

// CheckBinaries reports whether a directory has the programs that the soak plays. It fails with
// MissingProgramError.
func CheckBinaries(directory string) error {
	for _, program := range []string{entryProgram, agentProgram} {
		file := filepath.Join(directory, program)
		if _, err := os.Stat(file); err != nil {
			return &MissingProgramError{File: file, Cause: err}
		}
	}
	return nil
}

// buildOf returns the commit that the programs in a directory were built from, "unknown" if they
// do not tell.
func buildOf(binaries string) string {
	info, err := buildinfo.ReadFile(filepath.Join(binaries, entryProgram))
	if err != nil {
		return unknownBuild
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(len(setting.Value), commitLength)]
		}
	}
	return unknownBuild
}

const (
	entryProgram, agentProgram = "verbenaseam-direct", "verbenaseam-rank"
	unknownBuild               = "unknown"
	// commitLength is the length to which commits are shortened.
	commitLength = 7
)

// startTimeout is how long the system may take to become ready.
const startTimeout = 15 * time.Second

// Run plays a day. It ends all processes that it has started, also after an error, which
// means that the system did not start.
func Run(ctx context.Context, config Config) (Result, error) {
	if err := os.MkdirAll(config.Directory, 0o755); err != nil {
		return Result{}, err
	}
	r := newRecords()
	s, err := startSystem(config.Directory, config.Binaries, config.Entries, config.Targets, r)
	defer s.close()
	if err != nil {
		return Result{}, err
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.awaitReady(starting); err != nil {
		return Result{}, err
	}
	config.Day.Entries = config.Entries
	started := time.Now()
	r.startDay(started)
	s.play(ctx, config.Day)
	s.check(config.Day, started)
	result := Result{
		Seed: config.Day.Seed, Build: buildOf(config.Binaries), Day: config.Day, Violations: r.violations, Outcomes: map[string]map[string]int{},
		Samples: r.samples, Length: time.Since(started),
	}
	for kind, outcomes := range r.outcomes {
		result.Outcomes[string(kind)] = outcomes
	}
	return result, nil
}

// play lets callers send requests while the faults of a day happen, until the day has ended.
func (s *system) play(ctx context.Context, day Day) {
	ctx, cancel := context.WithTimeout(ctx, day.Length())
	defer cancel()
	started := time.Now()
	judging := func() bool { return time.Since(started) > day.LastFaultEnds()+recovery }
	changed := func() bool { return day.CrashingFrom > 0 && time.Since(started) >= day.CrashingFrom }
	var running sync.WaitGroup
	running.Go(func() { s.runGroup(ctx) })
	for n, kind := range []requestKind{lookup, order, chat} {
		for i := range callersPerKind {
			c := newCaller(kind, s.records, day.Seed+uint64(n*callersPerKind+i), s.directories, s.callerAddresses, judging)
			c.changed = changed
			running.Go(func() { c.run(ctx) })
		}
	}
	if day.Stops {
		s.runStopCallers(func(c *caller) { running.Go(func() { c.run(ctx) }) }, day)
	}
	s.runCrashingCallers(ctx, day, started, &running)
	for _, fault := range day.Faults {
		running.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(started.Add(fault.At))):
				s.inject(fault)
			}
		})
	}
	running.Wait()
}

// runCrashingCallers sends the requests of a day that crash targets.
func (s *system) runCrashingCallers(ctx context.Context, day Day, started time.Time, running *sync.WaitGroup) {
	if day.CrashingFrom == 0 {
		return
	}
	for i := range crashingCallers {
		c := newCaller(crashing, s.records, day.Seed+uint64(i), s.directories, s.callerAddresses, func() bool { return false })
		running.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(started.Add(day.CrashingFrom))):
				c.run(ctx)
			}
		})
	}
}
