package retry

import (
	"sync/atomic"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
)

// Session is the state machine of one request's attempts. It uses neither a
// clock nor randomness of its own and is not safe for concurrent use, except for Prepay.
type Session struct {
	policy Policy
	avoid  AvoidSet
	// started is the number of attempts begun, running the number of those that
	// have not ended.
	started, running int
	retries          int
	hedged           bool
	// prepaid is set once the next retry has been charged to the budget.
	prepaid atomic.Bool
	// mayHaveRun is set once an attempt has ended, or was abandoned, without
	// confirmation that it did not run.
	mayHaveRun bool
	last       *failure.Error
}

// NewSession returns a session without attempts.
func NewSession(policy Policy) *Session {
	if policy.MaxAttempts <= 0 {
		policy.MaxAttempts = DefaultMaxAttempts
	}
	return &Session{policy: policy, avoid: AvoidSet{groups: policy.Groups}}
}

// Begin starts an attempt and returns its index, from 0, and the targets to
// avoid.
func (s *Session) Begin() (int, AvoidSet) {
	n := s.started
	s.started++
	s.running++
	return n, s.avoid
}

// RecordTarget records the target of an attempt, so that further attempts avoid
// it.
func (s *Session) RecordTarget(target string) { s.avoid = s.avoid.with(target) }

// Started returns the number of attempts begun.
func (s *Session) Started() int { return s.started }

// Hedge reports whether a second attempt may start in parallel with the only
// running one; if so, it consumes one retry of the budget. It returns true at
// most once.
func (s *Session) Hedge(now time.Time) bool {
	if s.hedged || s.running != 1 || s.started >= s.policy.MaxAttempts || s.policy.HedgeAfter <= 0 {
		return false
	}
	if s.remaining(now) <= s.policy.MinAttemptTime || !s.policy.Budget.Take() {
		return false
	}
	s.hedged = true
	return true
}

// HedgeStalled reports whether another attempt may start in parallel with those that run, which make
// no progress; if so, it consumes one retry of the budget.
func (s *Session) HedgeStalled(now time.Time) bool {
	return s.started < s.policy.MaxAttempts && s.remaining(now) > s.policy.MinAttemptTime && s.policy.Budget.Take()
}

// Prepay charges the retry that is to follow the running attempt to the budget. It returns false if
// none may follow; the attempt must not be given up then. It is safe for concurrent use.
func (s *Session) Prepay(now time.Time) bool {
	if s.remaining(now) <= s.policy.MinAttemptTime || s.prepaid.Load() || !s.policy.Budget.Take() {
		return false
	}
	s.prepaid.Store(true)
	return true
}

// refund returns a prepaid retry that was not needed.
func (s *Session) refund() {
	if s.prepaid.Swap(false) {
		s.policy.Budget.Grant(1)
	}
}

// Succeeded ends the session with a response. It returns false past the
// deadline, when the caller no longer waits for the response.
func (s *Session) Succeeded(now time.Time) bool {
	s.running--
	s.refund()
	if s.remaining(now) <= 0 {
		s.mayHaveRun = true
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
		s.mayHaveRun = true
	}
	decision := s.decide(err, now, random)
	if !decision.Retry {
		s.refund()
	}
	return decision
}

// decide returns what follows a failed attempt, and charges a retry to the budget.
func (s *Session) decide(err *failure.Error, now time.Time, random float64) Decision {
	if !Retriable(err.Kind) || s.policy.NonIdempotent && err.Outcome != failure.NotRun {
		return Decision{Reason: GiveUpFinal}
	}
	if s.running > 0 {
		return Decision{Wait: true}
	}
	if s.started >= s.policy.MaxAttempts {
		return Decision{Reason: GiveUpAttempts}
	}
	delay := s.policy.Backoff.Delay(s.retries+1, random)
	if s.remaining(now) <= delay+s.policy.MinAttemptTime {
		return Decision{Reason: GiveUpDeadline}
	}
	if !s.prepaid.Swap(false) && !s.policy.Budget.Take() {
		return Decision{Reason: GiveUpBudget}
	}
	s.retries++
	return Decision{Retry: true, Delay: delay}
}

// Outcome returns the combined outcome of the attempts so far: NotRun only if
// every attempt that was started has ended with that outcome.
func (s *Session) Outcome() failure.Outcome {
	if s.mayHaveRun || s.running > 0 {
		return failure.Unknown
	}
	return failure.NotRun
}

// Failure returns the final failure for the caller. Its outcome is NotRun only
// if every attempt that was started has ended with that outcome.
func (s *Session) Failure(reason GiveUpReason) *failure.Error {
	final := s.last
	unknown := s.Outcome() != failure.NotRun
	if final == nil || reason == GiveUpDeadline && unknown {
		final = failure.New(failure.DeadlineExceeded, failure.NotRun, "the request's time ran out")
		if s.last != nil {
			final = final.WithCause(s.last)
		}
	}
	copied := *final
	if unknown {
		copied.Outcome = failure.Unknown
	}
	if copied.RetryAfter <= 0 && Retriable(copied.Kind) {
		copied.RetryAfter = DefaultRetryAfter
	}
	return &copied
}

func (s *Session) remaining(now time.Time) time.Duration { return s.policy.Deadline.Sub(now) }
