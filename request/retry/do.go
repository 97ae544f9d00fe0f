package retry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/process/failure"
)

// Environment provides the clock and the randomness that Do uses.
type Environment struct {
	Clock clockwork.Clock
	// Random returns a number in [0, 1).
	Random func() float64
}

// AttemptInfo describes one attempt to the function that performs it.
type AttemptInfo struct {
	// Number is the index of the attempt, from 0.
	Number int
	// Avoid is the set of targets that the attempt should not use.
	Avoid AvoidSet
	// Hedge reports whether the attempt runs in parallel with another one.
	Hedge     bool
	setTarget func(string)
}

// SetTarget records the target of the attempt. It must be called before anything
// is sent to the target.
func (a AttemptInfo) SetTarget(target string) { a.setTarget(target) }

// AttemptFunc sends a request once. Its ctx is cancelled when another attempt
// has succeeded or Do has given up, for example at the deadline. The ctx of the
// attempt whose result Do returns stays valid as long as Do's own ctx, so that a
// streamed response can be read.
type AttemptFunc[R any] func(ctx context.Context, info AttemptInfo) (R, error)

// Report summarises the attempts of a request.
type Report struct {
	// Attempts is the number of attempts started; Retries and Hedges are
	// included in it.
	Attempts, Retries, Hedges int
	// Reason is why a failed request was not sent again.
	Reason GiveUpReason
}

// attemptResult is the result of one attempt.
type attemptResult[R any] struct {
	number int
	value  R
	err    error
}

// runner is the state of one call of Do; only the goroutine of Do uses it.
type runner[R any] struct {
	environment Environment
	session     *Session
	attempt     AttemptFunc[R]
	discard     func(R)
	ctx         context.Context
	results     chan attemptResult[R]
	targets     chan string
	cancels     []context.CancelFunc
	report      Report
}

// Do runs attempts until one succeeds or the session gives up, and then returns
// at once. The other attempts are cancelled; a response that such an attempt
// returns nevertheless is passed to discard. The error is always a
// *failure.Error.
func Do[R any](ctx context.Context, environment Environment, policy Policy, attempt AttemptFunc[R], discard func(R)) (R, Report, error) {
	r := &runner[R]{
		environment: environment,
		session:     NewSession(policy),
		attempt:     attempt,
		discard:     discard,
		ctx:         ctx,
		results:     make(chan attemptResult[R], max(policy.MaxAttempts, DefaultMaxAttempts)),
		targets:     make(chan string),
	}
	value, err := r.loop(policy)
	r.report.Attempts = r.session.Started()
	return value, r.report, err
}

func (r *runner[R]) loop(policy Policy) (R, error) {
	clock := r.environment.Clock
	deadline := clock.NewTimer(policy.Deadline.Sub(clock.Now()))
	defer deadline.Stop()
	hedge, stopHedge := r.hedgeTimer(policy)
	defer stopHedge()
	r.start(false)
	for {
		select {
		case target := <-r.targets:
			r.session.RecordTarget(target)
		case result := <-r.results:
			value, err, decided := r.handleResult(result, deadline)
			if decided {
				return value, err
			}
		case <-hedge:
			if r.session.Hedge(clock.Now()) {
				r.report.Hedges++
				r.start(true)
			}
		case <-deadline.Chan():
			return r.giveUp(GiveUpDeadline)
		case <-r.ctx.Done():
			return r.giveUp(GiveUpDeadline)
		}
	}
}

func (r *runner[R]) hedgeTimer(policy Policy) (<-chan time.Time, func()) {
	if policy.HedgeAfter <= 0 {
		return nil, func() {}
	}
	timer := r.environment.Clock.NewTimer(policy.HedgeAfter)
	return timer.Chan(), func() { timer.Stop() }
}

// start runs an attempt in its own goroutine.
func (r *runner[R]) start(hedge bool) {
	number, avoid := r.session.Begin()
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancels = append(r.cancels, cancel)
	info := AttemptInfo{Number: number, Avoid: avoid, Hedge: hedge}
	info.setTarget = func(target string) {
		select {
		case r.targets <- target:
		case <-ctx.Done():
		}
	}
	go func() {
		value, err := r.attempt(ctx, info)
		r.results <- attemptResult[R]{number: number, value: value, err: err}
	}()
}

// handleResult processes the result of an attempt; the last value reports
// whether the request is decided.
func (r *runner[R]) handleResult(result attemptResult[R], deadline clockwork.Timer) (R, error, bool) {
	now := r.environment.Clock.Now()
	if result.err == nil {
		if !r.session.Succeeded(now) {
			r.discardValue(result.value)
			value, err := r.giveUp(GiveUpDeadline)
			return value, err, true
		}
		r.cancelExcept(result.number)
		return result.value, nil, true
	}
	var none R
	r.cancels[result.number]()
	decision := r.session.Failed(failure.From(result.err), now, r.environment.Random())
	switch {
	case decision.Wait:
		return none, nil, false
	case decision.Retry:
		if !r.waitForRetry(decision.Delay, deadline) {
			value, err := r.giveUp(GiveUpDeadline)
			return value, err, true
		}
		r.report.Retries++
		r.start(false)
		return none, nil, false
	default:
		value, err := r.giveUp(decision.Reason)
		return value, err, true
	}
}

// waitForRetry waits before a retry. It returns false if the deadline passes or
// ctx is done first.
func (r *runner[R]) waitForRetry(delay time.Duration, deadline clockwork.Timer) bool {
	if delay <= 0 {
		return true
	}
	timer := r.environment.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-deadline.Chan():
		return false
	case <-r.ctx.Done():
		return false
	}
}

// giveUp cancels the attempts that still run and returns the final failure.
func (r *runner[R]) giveUp(reason GiveUpReason) (R, error) {
	var none R
	r.report.Reason = reason
	final := r.session.Failure(reason)
	r.cancelExcept(noWinner)
	return none, final
}

// noWinner is the winner passed to cancelExcept if no attempt succeeded.
const noWinner = -1

// cancelExcept cancels all attempts but the winner and discards the responses
// that they still return.
func (r *runner[R]) cancelExcept(winner int) {
	for number, cancel := range r.cancels {
		if number != winner {
			cancel()
		}
	}
	running := r.session.running
	if running == 0 {
		return
	}
	go func() {
		for range running {
			if result := <-r.results; result.err == nil {
				r.discardValue(result.value)
			}
		}
	}()
}

func (r *runner[R]) discardValue(value R) {
	if r.discard != nil {
		r.discard(value)
	}
}
