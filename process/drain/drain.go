// Package drain shuts a process down gracefully: the steps of the shutdown run in
// order, each to completion. Only a second interrupt or the time limit in the settings
// aborts them.
package drain

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/logs"
)

// Step is one step of a shutdown.
type Step struct {
	// Name identifies the step in log entries and errors.
	Name string
	// Run runs the step to completion. Its context is cancelled when the shutdown is
	// aborted.
	Run func(ctx context.Context) error
}

// Wait returns a step that waits for d, which gives callers time to switch to other
// processes.
func Wait(name string, clock clockwork.Clock, d time.Duration) Step {
	return Step{Name: name, Run: func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-clock.After(d):
			return nil
		}
	}}
}

// StepError means that a step failed. The steps after it were run nevertheless.
type StepError struct {
	// Step is the name of the step.
	Step string
	// Cause is the error of the step.
	Cause error
}

// Error implements error.
func (e *StepError) Error() string { return "shutdown step " + e.Step + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *StepError) Unwrap() error { return e.Cause }

// AbortError means that the shutdown was aborted by a second interrupt or its time limit.
type AbortError struct {
	// Unfinished holds the names of the steps that were not completed, in order.
	Unfinished []string
	// ByLimit is set if the time limit was reached, unset after a second interrupt.
	ByLimit bool
}

// Error implements error.
func (e *AbortError) Error() string {
	reason := "second interrupt"
	if e.ByLimit {
		reason = "time limit reached"
	}
	return "shutdown aborted: " + reason + "; steps not completed: " + strings.Join(e.Unfinished, ", ")
}

// Plan is a shutdown with its steps in order.
type Plan struct {
	Clock clockwork.Clock
	// Limit is the maximum duration of the shutdown; 0 means no limit.
	Limit time.Duration
	Steps []Step
	// Logger receives log entries; nil means logrus's standard logger.
	Logger *logrus.Logger
}

// Run runs the steps in order. It returns nil or the first StepError. When abort is
// closed or the limit is reached it returns AbortError at once: the context of the
// running step is cancelled and the step is not waited for.
func (p Plan) Run(abort <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var limit <-chan time.Time
	if p.Limit > 0 {
		limit = p.Clock.After(p.Limit)
	}
	log := logs.Component(logs.OrDefault(p.Logger), "drain")
	var firstErr error
	for i, step := range p.Steps {
		log.WithField("step", step.Name).Info("shutdown step started")
		done := make(chan error, 1)
		go func() { done <- step.Run(ctx) }()
		select {
		case err := <-done:
			if err != nil && firstErr == nil {
				firstErr = &StepError{Step: step.Name, Cause: err}
			}
		case <-abort:
			return &AbortError{Unfinished: p.stepNames(i)}
		case <-limit:
			return &AbortError{Unfinished: p.stepNames(i), ByLimit: true}
		}
	}
	return firstErr
}

// stepNames returns the names of the steps from the given index on.
func (p Plan) stepNames(from int) []string {
	var names []string
	for _, step := range p.Steps[from:] {
		names = append(names, step.Name)
	}
	return names
}

// Signals returns a channel that is closed on the first signal, which starts the shutdown, and one
// that is closed on the second interrupt, which aborts it. Termination signals do not abort: whoever
// stops a process may send more than one, and the grace period that the first one begins holds.
func Signals(signals <-chan os.Signal) (start, abort <-chan struct{}) {
	first, second := make(chan struct{}), make(chan struct{})
	go func() {
		interrupts := 0
		for n := 0; interrupts < abortingInterrupts; n++ {
			received, open := <-signals
			if !open {
				return
			}
			if n == 0 {
				close(first)
			}
			if received == os.Interrupt {
				interrupts++
			}
		}
		close(second)
	}()
	return first, second
}

// abortingInterrupts is the number of interrupts that abort a shutdown, also one that they began.
const abortingInterrupts = 2
