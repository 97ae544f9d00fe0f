package retry

import (
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
)

// Session is the course of one request through its attempts. It is pure and
// not safe for concurrent use.
type Session struct {
	policy Policy
	avoid  Avoid
	// started counts attempts, running those without an end.
	started, running int
	retries          int
	hedged           bool
	// unsure tells that an attempt ended, or was left, without the word that it
	// did not run.
	unsure bool
	last   *failure.Error
}

// NewSession returns a session before its first attempt.
func NewSession(policy Policy) *Session {
	if policy.MaxAttempts <= 0 {
		policy.MaxAttempts = DefaultMaxAttempts
	}
	return &Session{policy: policy, avoid: Avoid{groups: policy.Groups}}
}

// Begin starts an attempt and returns its number, from 0, and what to avoid.
func (s *Session) Begin() (int, Avoid) {
	n := s.started
	s.started++
	s.running++
	return n, s.avoid
}

// Used notes the target of an attempt, so that further ones avoid it.
func (s *Session) Used(target string) { s.avoid = s.avoid.with(target) }

// Started returns how many attempts were begun.
func (s *Session) Started() int { return s.started }

// Hedge tells whether a second attempt may start beside the only one, and takes
// it out of the budget. It answers yes once.
func (s *Session) Hedge(now time.Time) bool {
	if s.hedged || s.running != 1 || s.started >= s.policy.MaxAttempts || s.policy.HedgeAfter <= 0 {
		return false
	}
	if s.remaining(now) <= s.policy.MinimumTime || !s.policy.Budget.Take() {
		return false
	}
	s.hedged = true
	return true
}

// Succeeded ends the session with an answer. Past the deadline it returns
// false: nobody waits for the answer any more.
func (s *Session) Succeeded(now time.Time) bool {
	s.running--
	if s.remaining(now) <= 0 {
		s.unsure = true
		return false
	}
	s.policy.Budget.Succeeded()
	return true
}

// Failed ends one attempt with a failure and decides what follows. random is in
// [0, 1).
func (s *Session) Failed(err *failure.Error, now time.Time, random float64) Decision {
	s.running--
	s.last = err
	if err.Outcome != failure.NotRun {
		s.unsure = true
	}
	if !Retriable(err.Kind) || s.policy.Once && err.Outcome != failure.NotRun {
		return Decision{Reason: GiveUpFinal}
	}
	if s.running > 0 {
		return Decision{Wait: true}
	}
	if s.started >= s.policy.MaxAttempts {
		return Decision{Reason: GiveUpAttempts}
	}
	delay := s.policy.Backoff.Delay(s.retries+1, random)
	if s.remaining(now) <= delay+s.policy.MinimumTime {
		return Decision{Reason: GiveUpDeadline}
	}
	if !s.policy.Budget.Take() {
		return Decision{Reason: GiveUpBudget}
	}
	s.retries++
	return Decision{Retry: true, Delay: delay}
}

// Outcome is what is known of the attempts so far: NotRun only if each that was
// started has ended with that word.
func (s *Session) Outcome() failure.Outcome {
	if s.unsure || s.running > 0 {
		return failure.Unknown
	}
	return failure.NotRun
}

// Failure is the final failure for the caller. Its outcome is NotRun only if
// every attempt that was started has ended with that word.
func (s *Session) Failure(reason GiveUp) *failure.Error {
	final := s.last
	unsure := s.Outcome() != failure.NotRun
	if final == nil || reason == GiveUpDeadline && unsure {
		final = failure.New(failure.DeadlineExceeded, failure.NotRun, "the request's time ran out")
		if s.last != nil {
			final = final.WithCause(s.last)
		}
	}
	copied := *final
	if unsure {
		copied.Outcome = failure.Unknown
	}
	if copied.RetryAfter <= 0 && Retriable(copied.Kind) {
		copied.RetryAfter = DefaultRetryAfter
	}
	return &copied
}

func (s *Session) remaining(now time.Time) time.Duration { return s.policy.Deadline.Sub(now) }
