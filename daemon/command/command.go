// Package command is the common part of the daemons' command lines: options,
// exit statuses, settings check and signals.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"verbenaseam.example/verbenaseam/process/drain"
)

// Version is the version of the programs; the build may set it.
var Version = "0.1.0"

// Exit statuses of all programs.
const (
	// ExitDone means that everything asked for was done.
	ExitDone = 0
	// ExitRefused means that it was refused or failed.
	ExitRefused = 1
	// ExitUsage means a wrong command line or settings file.
	ExitUsage = 2
	// ExitUnreachable means that a process or address could not be reached.
	ExitUnreachable = 3
)

// Options are the options of a daemon.
type Options struct {
	Config  string `long:"config" value-name:"FILE" description:"INI file with the settings"`
	Check   bool   `long:"check" description:"Check the settings and exit"`
	Version bool   `long:"version" description:"Print the version and exit"`
}

// Daemon is a program that runs until it is told to end.
type Daemon interface {
	// Run serves until ctx ends, then leaves gracefully; when cut ends, what is
	// still in flight is cut.
	Run(ctx, cut context.Context) error
}

// Reloader is a daemon that reads its settings file again on SIGHUP. Without it
// the signal changes nothing.
type Reloader interface {
	// Reload reads and checks the settings again; settings that are wrong change
	// nothing.
	Reload()
}

// Main runs a daemon's command line and returns its exit status. load reads and
// checks the settings and returns how to start with them.
func Main(program string, arguments []string, load func(file string) (func() (Daemon, error), error)) int {
	var options Options
	if status, done := parse(program, &options, arguments, os.Stdout, os.Stderr); done {
		return status
	}
	start, err := load(options.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	if options.Check {
		fmt.Printf("%s: the settings are good\n", options.Config)
		return ExitDone
	}
	TuneMemory()
	daemon, err := start()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitRefused
	}
	return runUntilSignal(daemon)
}

func parse(program string, options *Options, arguments []string, out, errOut io.Writer) (int, bool) {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Exit status: 0 done, 1 refused, 2 usage or settings, 3 unreachable."
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage, true
	}
	rest, err := parser.ParseArgs(arguments)
	var flagsError *flags.Error
	switch {
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Fprintln(out, flagsError.Message)
		return ExitDone, true
	case err != nil:
		fmt.Fprintln(errOut, err)
		return ExitUsage, true
	case options.Version:
		fmt.Fprintln(out, program, Version)
		return ExitDone, true
	case len(rest) > 0 || options.Config == "":
		fmt.Fprintf(errOut, "usage: %s --config FILE [--check]\n", program)
		return ExitUsage, true
	}
	return ExitDone, false
}

// runUntilSignal runs a daemon until SIGINT or SIGTERM; a second signal cuts.
func runUntilSignal(daemon Daemon) int {
	ctx, cut, stop := Signals()
	defer stop()
	defer reloadOnHangup(daemon)()
	if err := daemon.Run(ctx, cut); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUnreachable
	}
	return ExitDone
}

// reloadOnHangup lets a daemon reload on SIGHUP, until stop is called.
func reloadOnHangup(daemon Daemon) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			if reloader, ok := daemon.(Reloader); ok {
				reloader.Reload()
			}
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(hangups)
	}
}

// Signals returns a context that ends with the first SIGINT or SIGTERM and one
// that ends with the second.
func Signals() (first, second context.Context, stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	start, cut := drain.Signals(signals)
	first, endFirst := contextOf(start)
	second, endSecond := contextOf(cut)
	return first, second, func() {
		signal.Stop(signals)
		close(signals)
		endFirst()
		endSecond()
	}
}

// contextOf returns a context that ends when done is closed.
func contextOf(done <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// WithConfig returns the arguments with the settings file named in front, so
// that an option on the command line goes before it; an empty file changes
// nothing.
func WithConfig(arguments []string, file string) []string {
	if file == "" {
		return arguments
	}
	return append([]string{"--config", file}, arguments...)
}
