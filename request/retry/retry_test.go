package retry

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
	"verbenaseam.example/verbenaseam/process/failure"
)

var (
	errOverloaded = failure.New(failure.Overloaded, failure.NotRun, "full")
	errCrashed    = failure.New(failure.EngineFailed, failure.Unknown, "crashed")
	errBadRequest = failure.New(failure.BadRequest, failure.NotRun, "bad")
)

type relatedPairs map[string]string

func (p relatedPairs) Related(a, b string) bool { return p[a] == b || p[b] == a }

func testPolicy(clock clockwork.Clock) Policy {
	return Policy{
		MaxAttempts: 3,
		Deadline:    clock.Now().Add(time.Second),
		Backoff:     Backoff{Base: 10 * time.Millisecond, Max: 100 * time.Millisecond},
		Budget:      NewBudget(DefaultBudgetRatio, DefaultBudgetCapacity),
	}
}

func TestSessionDecisions(t *testing.T) {
	cases := []struct {
		desc       string
		change     func(*Policy)
		failures   []*failure.Error
		after      time.Duration
		want       Decision
		outcome    failure.Outcome
		retryAfter bool
	}{
		{desc: "overloaded once", failures: []*failure.Error{errOverloaded}, want: Decision{Retry: true, Delay: 5 * time.Millisecond}, outcome: failure.NotRun, retryAfter: true},
		{desc: "second delay is longer", failures: []*failure.Error{errOverloaded, errOverloaded}, want: Decision{Retry: true, Delay: 10 * time.Millisecond}, outcome: failure.NotRun, retryAfter: true},
		{desc: "attempts exhausted", failures: []*failure.Error{errOverloaded, errOverloaded, errOverloaded}, want: Decision{Reason: GiveUpAttempts}, outcome: failure.NotRun, retryAfter: true},
		{desc: "refusal after a crash has an unknown outcome", failures: []*failure.Error{errCrashed, errOverloaded, errOverloaded}, want: Decision{Reason: GiveUpAttempts}, outcome: failure.Unknown, retryAfter: true},
		{desc: "caller error", failures: []*failure.Error{errBadRequest}, want: Decision{Reason: GiveUpFinal}, outcome: failure.NotRun},
		{desc: "may have run, not idempotent", change: func(p *Policy) { p.NonIdempotent = true }, failures: []*failure.Error{errOverloaded, errCrashed}, want: Decision{Reason: GiveUpFinal}, outcome: failure.Unknown, retryAfter: true},
		{desc: "did not run, not idempotent", change: func(p *Policy) { p.NonIdempotent = true }, failures: []*failure.Error{errOverloaded}, want: Decision{Retry: true, Delay: 5 * time.Millisecond}, outcome: failure.NotRun, retryAfter: true},
		{desc: "no time for another attempt", failures: []*failure.Error{errOverloaded}, after: 999 * time.Millisecond, want: Decision{Reason: GiveUpDeadline}, outcome: failure.NotRun, retryAfter: true},
		{desc: "budget empty", change: func(p *Policy) { p.Budget = NewBudget(DefaultBudgetRatio, 0) }, failures: []*failure.Error{errOverloaded}, want: Decision{Reason: GiveUpBudget}, outcome: failure.NotRun, retryAfter: true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			policy := testPolicy(clock)
			if c.change != nil {
				c.change(&policy)
			}
			s := NewSession(policy)
			var got Decision
			for _, err := range c.failures {
				s.Begin()
				got = s.Failed(err, clock.Now().Add(c.after), 0.5)
			}
			require.Equal(t, c.want, got)
			final := s.Failure(got.Reason)
			require.Equal(t, c.outcome, final.Outcome)
			require.Equal(t, c.retryAfter, final.RetryAfter > 0)
		})
	}
}

func TestHedgeDecisions(t *testing.T) {
	cases := []struct {
		desc   string
		change func(*Policy)
		after  time.Duration
		want   bool
	}{
		{desc: "one attempt running", want: true},
		{desc: "hedge delay unknown", change: func(p *Policy) { p.HedgeAfter = 0 }},
		{desc: "budget empty", change: func(p *Policy) { p.Budget = NewBudget(DefaultBudgetRatio, 0.5) }},
		{desc: "one attempt allowed", change: func(p *Policy) { p.MaxAttempts = 1 }},
		{desc: "deadline passed", after: time.Second},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			policy := testPolicy(clock)
			policy.HedgeAfter = time.Millisecond
			if c.change != nil {
				c.change(&policy)
			}
			s := NewSession(policy)
			s.Begin()
			now := clock.Now().Add(c.after)
			require.Equal(t, c.want, s.Hedge(now))
			require.False(t, s.Hedge(now), "a request is hedged at most once")
		})
	}
}

// TestNotRunOnlyIfNoAttemptMayHaveRun runs random sessions: a final failure may
// have the outcome NotRun only if no attempt may have run.
func TestNotRunOnlyIfNoAttemptMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		policy := testPolicy(clock)
		policy.HedgeAfter = time.Millisecond
		s := NewSession(policy)
		mayHaveRun, running := false, 1
		s.Begin()
		for running > 0 {
			if s.Hedge(clock.Now()) {
				s.Begin()
				running++
			}
			if rapid.IntRange(0, 9).Draw(t, "abandon") == 0 {
				break
			}
			err := rapid.SampledFrom([]*failure.Error{errOverloaded, errCrashed, errBadRequest}).Draw(t, "err")
			mayHaveRun = mayHaveRun || err.Outcome != failure.NotRun
			running--
			if s.Failed(err, clock.Now(), rapid.Float64Range(0, 0.99).Draw(t, "random")).Retry {
				s.Begin()
				running++
			}
		}
		if final := s.Failure(GiveUpDeadline); final.Outcome == failure.NotRun {
			require.False(t, mayHaveRun)
			require.Zero(t, running)
		}
	})
}

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget(DefaultBudgetRatio, DefaultBudgetCapacity)
		successes, retries := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				budget.Succeeded()
				successes++
			} else if budget.Take() {
				retries++
			}
			require.LessOrEqual(t, float64(retries), DefaultBudgetCapacity+DefaultBudgetRatio*float64(successes)+1e-9)
		}
	})
}

func TestAvoidSetExcludesTriedTargetsAndTheirGroup(t *testing.T) {
	s := NewSession(Policy{Groups: relatedPairs{"a": "b"}})
	_, before := s.Begin()
	s.RecordTarget("a")
	_, avoid := s.Begin()
	require.True(t, avoid.Excludes("a") && avoid.Excludes("b"))
	require.False(t, avoid.Excludes("c") || avoid.Tried("b"))
	require.False(t, before.Excludes("a"), "an AvoidSet passed to an attempt must not change")
}

func TestLatencyExpiresOldSamples(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := NewLatency()
	record := func(latency time.Duration, count int) {
		for range count {
			clock.Advance(10 * time.Millisecond)
			l.Record(latency, clock.Now())
		}
	}
	record(time.Second, 50)
	require.Zero(t, l.P95(), "too few samples for an estimate")
	record(time.Second, 1000)
	require.InEpsilon(t, time.Second, l.P95(), 0.1)
	record(10*time.Millisecond, 3600)
	record(5*time.Second, 400)
	require.InEpsilon(t, 40*time.Millisecond, l.HedgeAfter(), 0.1, "one slow target must not determine the hedge delay")
	record(10*time.Millisecond, 5000)
	require.InEpsilon(t, 10*time.Millisecond, l.P95(), 0.1)
}

// startDo runs Do in the background; the channel delivers its result.
func startDo(t *testing.T, clock clockwork.Clock, policy Policy, attempt AttemptFunc[string], discard func(string)) <-chan attemptResult[string] {
	done := make(chan attemptResult[string], 1)
	environment := Environment{Clock: clock, Random: func() float64 { return 0 }}
	go func() {
		value, _, err := Do(t.Context(), environment, policy, attempt, discard)
		done <- attemptResult[string]{value: value, err: err}
	}()
	return done
}

func TestHedgeWinsAndLoserIsCancelled(t *testing.T) {
	clock := clockwork.NewFakeClock()
	policy := testPolicy(clock)
	policy.HedgeAfter = 50 * time.Millisecond
	discarded := make(chan string, 1)
	sent := make(chan struct{})
	done := startDo(t, clock, policy, func(ctx context.Context, info AttemptInfo) (string, error) {
		if !info.Hedge {
			info.SetTarget("slow")
			close(sent)
			<-ctx.Done()
			return "late answer", nil
		}
		if !info.Avoid.Excludes("slow") {
			return "", errBadRequest
		}
		return "answer", nil
	}, func(late string) { discarded <- late })
	<-sent
	require.NoError(t, clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(policy.HedgeAfter)
	result := <-done
	require.NoError(t, result.err)
	require.Equal(t, "answer", result.value)
	require.Equal(t, "late answer", <-discarded)
}

func TestDeadlineExceededWhileAttemptRuns(t *testing.T) {
	clock := clockwork.NewFakeClock()
	policy := testPolicy(clock)
	unblock := make(chan struct{})
	discarded := make(chan string, 1)
	done := startDo(t, clock, policy, func(context.Context, AttemptInfo) (string, error) {
		<-unblock
		return "too late", nil
	}, func(late string) { discarded <- late })
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	result := <-done
	require.Equal(t, failure.DeadlineExceeded, failure.From(result.err).Kind)
	require.Equal(t, failure.Unknown, failure.From(result.err).Outcome)
	close(unblock)
	require.Equal(t, "too late", <-discarded)
}

func TestResponseAtDeadlineIsRejected(t *testing.T) {
	s := NewSession(Policy{Deadline: time.Unix(10, 0), Budget: NewBudget(1, 1)})
	s.Begin()
	require.False(t, s.Succeeded(time.Unix(10, 0)))
	require.Equal(t, failure.Unknown, s.Failure(GiveUpDeadline).Outcome)
}

// TestGiveUpReturnsImmediately checks that Do returns without an advance of the
// clock when it gives up.
func TestGiveUpReturnsImmediately(t *testing.T) {
	clock := clockwork.NewFakeClock()
	policy := testPolicy(clock)
	policy.Budget = NewBudget(DefaultBudgetRatio, 0)
	result := <-startDo(t, clock, policy, func(context.Context, AttemptInfo) (string, error) { return "", errOverloaded }, nil)
	require.Equal(t, failure.Overloaded, failure.From(result.err).Kind)
	require.Positive(t, failure.From(result.err).RetryAfter)
}
