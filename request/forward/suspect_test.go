package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/finish"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/retry"
	"verbenaseam.example/verbenaseam/version/table"
)

const suspectFingerprint = 7

// newSuspectingHandler returns a handler that has run for a while, and then seen three
// targets crash at once with a request in flight on all of them.
func newSuspectingHandler(rank int) *Handler {
	clock := clockwork.NewFakeClock()
	tracker := poison.NewTracker(poison.Config{TrialAfterCrashes: 3, RefuseAfterCrashes: 3}, clock)
	clock.Advance(time.Minute)
	for n := range 3 {
		tracker.Crashed(poison.Crash{Target: fmt.Sprint(n), Incarnation: "1", Fingerprints: []uint64{suspectFingerprint}}, 0)
	}
	clock.Advance(poison.DefaultRefusalHold)
	logger, _ := logrustest.NewNullLogger()
	crashes := poison.NewCrashDetector(poison.DetectorConfig{Tracker: tracker, Clock: clock, Share: func() {}, Log: logrus.NewEntry(logger)})
	return &Handler{poison: tracker, crashes: crashes, clock: clock, guard: finish.NewGuard(clock), trialRank: func(uint64) int { return rank }}
}

func newSuspect() *call {
	const maxAttempts = 2
	return &call{
		subject: poison.Subject{Fingerprint: suspectFingerprint}, attempts: retry.NewSession(retry.Policy{MaxAttempts: maxAttempts}),
		route: &table.Route{Idempotent: true, Direct: &table.Direct{MaxAttempts: maxAttempts}},
	}
}

// TestSuspectIsTriedOnceAtATime guards against a suspect that all requests of an entry, or
// all entries, run on trial together.
func TestSuspectIsTriedOnceAtATime(t *testing.T) {
	h := newSuspectingHandler(0)
	tried := newSuspect()
	require.Positive(t, tried.silenceTimeout())
	require.Nil(t, h.refuseSuspect(tried))
	require.Nil(t, h.refuseBeforeAttempt(tried))
	require.NotZero(t, tried.trial)
	require.Zero(t, tried.silenceTimeout(), "not sent to another target while it runs")
	other := newSuspect()
	refusal := h.refuseBeforeAttempt(other)
	require.Zero(t, other.trial)
	require.Equal(t, failure.NotRun, refusal.Outcome)
	require.Equal(t, trialRetryAfter, refusal.RetryAfter)

	last := newSuspectingHandler(2)
	require.NotNil(t, last.refuseSuspect(newSuspect()), "refused at once where it cannot be tried")
}

// TestSuspectRefusedBetweenAttemptsMayHaveRun guards against a refusal that says "not run"
// although an earlier attempt may have run.
func TestSuspectRefusedBetweenAttemptsMayHaveRun(t *testing.T) {
	h := newSuspectingHandler(2)
	c := newSuspect()
	c.attempts.Begin()
	c.attempts.Failed(failure.New(failure.IncompleteAnswer, failure.Unknown, "no whole answer"), time.Now(), 0)
	require.Equal(t, failure.Unknown, h.refuseBeforeAttempt(c).Outcome)
}
