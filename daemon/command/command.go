// Package command implements what the command lines of all daemons share: options, exit
// statuses, the settings check and signal handling.
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
	// ExitSuccess means that the command succeeded.
	ExitSuccess = 0
	// ExitRefused means that the command was refused or failed.
	ExitRefused = 1
	// ExitUsage means that the command line or a settings file is invalid.
	ExitUsage = 2
	// ExitUnreachable means that a process or address could not be reached, or that a
	// daemon failed while running.
	ExitUnreachable = 3
)

// Options holds the options of a daemon.
type Options struct {
	Config  string `long:"config" value-name:"FILE" description:"INI file with the settings"`
	Check   bool   `long:"check" description:"Check the settings and exit"`
	Version bool   `long:"version" description:"Print the version and exit"`
}

// Daemon is a program that runs until it is told to stop.
type Daemon interface {
	// Run serves until ctx ends, then shuts down gracefully. When abort ends, requests
	// still in flight are aborted.
	Run(ctx, abort context.Context) error
}

// Reloader is a daemon that reloads its settings file on SIGHUP. Daemons that do not
// implement it ignore the signal.
type Reloader interface {
	// Reload reads and checks the settings again. Invalid settings change nothing.
	Reload()
}

// Main runs a daemon's command line and returns its exit status. load reads and checks
// the settings and returns a function that creates the daemon with them.
func Main(program string, arguments []string, load func(file string) (create func() (Daemon, error), err error)) int {
	var options Options
	if status, done := parse(program, &options, arguments, os.Stdout, os.Stderr); done {
		return status
	}
	create, err := load(options.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	if options.Check {
		fmt.Printf("%s: settings are valid\n", options.Config)
		return ExitSuccess
	}
	TuneGC()
	daemon, err := create()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitRefused
	}
	return runUntilSignal(daemon)
}

// parse parses a daemon's command line. It returns true, with the exit status, if nothing
// is left to do.
func parse(program string, options *Options, arguments []string, out, errOut io.Writer) (int, bool) {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Exit status: 0 success, 1 failed to start, 2 usage or settings error, 3 address unreachable or failed while running."
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage, true
	}
	rest, err := parser.ParseArgs(arguments)
	var flagsError *flags.Error
	switch {
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Fprintln(out, flagsError.Message)
		return ExitSuccess, true
	case err != nil:
		fmt.Fprintln(errOut, err)
		return ExitUsage, true
	case options.Version:
		fmt.Fprintln(out, program, Version)
		return ExitSuccess, true
	case len(rest) > 0 || options.Config == "":
		fmt.Fprintf(errOut, "usage: %s --config FILE [--check]\n", program)
		return ExitUsage, true
	}
	return ExitSuccess, false
}

// runUntilSignal runs a daemon until SIGINT or SIGTERM. A second SIGINT aborts the graceful
// shutdown.
func runUntilSignal(daemon Daemon) int {
	ctx, abort, stop := Signals()
	defer stop()
	defer reloadOnHangup(daemon)()
	if err := daemon.Run(ctx, abort); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUnreachable
	}
	return ExitSuccess
}

// reloadOnHangup reloads a daemon on SIGHUP until stop is called.
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

// Signals returns a context that ends on the first SIGINT or SIGTERM, which starts the
// shutdown, and one that ends on the second SIGINT, which aborts it.
func Signals() (first, second context.Context, stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	start, abort := drain.Signals(signals)
	first, endFirst := contextUntil(start)
	second, endSecond := contextUntil(abort)
	return first, second, func() {
		signal.Stop(signals)
		close(signals)
		endFirst()
		endSecond()
	}
}

// contextUntil returns a context that ends when done is closed.
func contextUntil(done <-chan struct{}) (context.Context, context.CancelFunc) {
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

// PrependConfigOption returns the arguments with a --config option for the settings file
// in front, so that a --config option among the arguments takes precedence. An empty file
// name changes nothing.
func PrependConfigOption(arguments []string, file string) []string {
	if file == "" {
		return arguments
	}
	return append([]string{"--config", file}, arguments...)
}
