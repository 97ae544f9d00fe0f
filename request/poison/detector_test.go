package poison

import (
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/metrics"
)

// refuseAfterThree is the configuration of entries without agents.
var refuseAfterThree = Config{TrialAfterCrashes: 3, RefuseAfterCrashes: 3}

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// interruption returns the interruption of a request without a prompt.
func interruption(fingerprint uint64, onTrial bool, connectedAt time.Time) Interruption {
	interrupted := Interruption{Subject: Subject{Fingerprint: fingerprint}, ConnectedAt: connectedAt}
	if onTrial {
		interrupted.Trial = fingerprint
	}
	return interrupted
}

func newDetector() (*CrashDetector, *Tracker, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	tracker := NewTracker(refuseAfterThree, clock)
	return NewCrashDetector(DetectorConfig{
		Tracker: tracker, Clock: clock, Metrics: metrics.New("direct", 1), Log: discardLog(), Share: func() {},
	}), tracker, clock
}

func TestTargetThatInterruptsRequestsAndIsGoneHasCrashed(t *testing.T) {
	detector, tracker, clock := newDetector()
	for n, target := range []string{"a", "b", "c"} {
		require.NotEqual(t, Refused, tracker.Assess(1).Level, "before crash %d", n+1)
		detector.RequestInterrupted(target, "1", interruption(1, false, clock.Now()))
		clock.Advance(20 * time.Millisecond)
		require.True(t, detector.TargetEnded(target, "1", ConnectionRefused))
		require.False(t, detector.TargetEnded(target, "1", ConnectionRefused), "one crash counts once")
		clock.Advance(5 * time.Second)
	}
	require.Equal(t, Refused, tracker.Assess(1).Level)
	require.Equal(t, Clear, tracker.Assess(2).Level)
}

func TestTargetThatRespondsAgainHasNotCrashed(t *testing.T) {
	detector, _, clock := newDetector()
	detector.RequestInterrupted("a", "1", interruption(1, false, clock.Now()))
	detector.TargetResponded("a", "1", clock.Now())
	require.False(t, detector.TargetEnded("a", "1", ConnectionRefused))
}

// TestCrashesBetweenRegistrationsCountSeparately guards against a request that goes on
// crashing a target, because the target is back before its registration shows the last crash.
func TestCrashesBetweenRegistrationsCountSeparately(t *testing.T) {
	detector, tracker, clock := newDetector()
	peer := NewTracker(refuseAfterThree, clock)
	for range 3 {
		detector.RequestInterrupted("a", "1", interruption(1, false, clock.Now()))
		require.True(t, detector.TargetEnded("a", "1", ConnectionRefused))
		peer.Merge(tracker.Evidence())
		clock.Advance(500 * time.Millisecond)
	}
	clock.Advance(DefaultRefusalHold)
	require.Equal(t, Refused, tracker.Assess(1).Level)
	require.Equal(t, Refused, peer.Assess(1).Level)
}

// TestOneCrashNoticedLateCountsOnce guards against a popular request that is refused for one
// crash: its target accepts connections for a while, as a proxy does, and interrupts all
// requests, and two entries learn seconds later that it is gone.
func TestOneCrashNoticedLateCountsOnce(t *testing.T) {
	first, tracker, clock := newDetector()
	second := NewCrashDetector(DetectorConfig{Tracker: tracker, Clock: clock, Metrics: first.config.Metrics, Log: discardLog(), Share: func() {}})
	for _, d := range []*CrashDetector{first, second, first, second, first} {
		d.RequestInterrupted("a", "1", interruption(1, false, clock.Now()))
		clock.Advance(time.Second)
	}
	require.True(t, first.TargetEnded("a", "1", RegistrationDeleted))
	second.TargetEnded("a", "1", RegistrationDeleted)
	require.Len(t, tracker.Evidence().Crashes, 1)
	require.Equal(t, Clear, tracker.Assess(1).Level)
}

// TestRequestThatCompletesElsewhereIsNoCauseOfCrashNoticedLater guards against a popular
// request that is refused because crashes are noticed long after, when it has completed at
// other targets.
func TestRequestThatCompletesElsewhereIsNoCauseOfCrashNoticedLater(t *testing.T) {
	detector, tracker, clock := newDetector()
	for _, target := range []string{"a", "b", "c"} {
		detector.RequestInterrupted(target, "1", interruption(1, false, clock.Now()))
		detector.RequestInterrupted(target, "1", interruption(2, false, clock.Now()))
		clock.Advance(1500 * time.Millisecond)
	}
	detector.Completed(1)
	for _, target := range []string{"a", "b", "c"} {
		require.True(t, detector.TargetEnded(target, "1", RegistrationDeleted))
	}
	require.Equal(t, Clear, tracker.Assess(1).Level)
	require.NotEqual(t, Clear, tracker.Assess(2).Level)
}

// TestRequestSentToBrokenConnectionAddsNoCrash guards against a crash that counts twice, as
// a request is sent before the entry sees that the connection has ended.
func TestRequestSentToBrokenConnectionAddsNoCrash(t *testing.T) {
	detector, tracker, clock := newDetector()
	detector.RequestInterrupted("a", "1", interruption(1, false, clock.Now()))
	require.True(t, detector.TargetEnded("a", "1", ConnectionRefused))
	clock.Advance(minRestart / 2)
	detector.RequestInterrupted("a", "1", interruption(1, false, clock.Now()))
	require.False(t, detector.TargetEnded("a", "1", ConnectionRefused))
	require.Len(t, tracker.Evidence().Crashes, 1)
}

// TestRestartedProcessCountsTrialsOfEarlierOnes guards against a request that reaches targets
// without end, because each process that restarts may run it on trial as often as before.
func TestRestartedProcessCountsTrialsOfEarlierOnes(t *testing.T) {
	_, first, clock := newDetector()
	peer := NewTracker(refuseAfterThree, clock)
	clock.Advance(trialInterval)
	crashAtOnce := func(round int) {
		for n := range DefaultMassCrashTargets {
			first.Crashed(Crash{Target: string(rune('a' + n)), Incarnation: strconv.Itoa(round), Fingerprints: []uint64{1}}, 0)
		}
	}
	for round := range TrialAllowance(0) {
		crashAtOnce(round)
		clock.Advance(trialInterval)
		require.True(t, first.BeginTrial(1, 0))
		require.False(t, first.BeginTrial(1, 0), "one at a time")
		peer.Merge(first.Evidence())
	}
	crashAtOnce(TrialAllowance(0))
	peer.Merge(first.Evidence())
	restarted := NewTracker(refuseAfterThree, clock)
	require.False(t, restarted.BeginTrial(1, 0))
	restarted.Merge(peer.Restricted(1))
	clock.Advance(trialInterval)
	require.False(t, restarted.BeginTrial(1, 0), "earlier processes have begun all of them")
	require.False(t, restarted.BeginTrial(1, trialRanks))
	require.True(t, peer.BeginTrial(1, 1))
	clock.Advance(trialInterval)
	require.False(t, peer.BeginTrial(1, 1))

	require.True(t, first.Completed(1))
	crashAtOnce(TrialAllowance(0) + 1)
	clock.Advance(trialInterval)
	require.True(t, first.BeginTrial(1, 0), "crashes after a completion count anew")
}

// TestResponseOnItsWayDoesNotHideCrash guards against a crash that goes unnoticed because
// the target's last responses are read after the requests that it interrupted.
func TestResponseOnItsWayDoesNotHideCrash(t *testing.T) {
	detector, _, clock := newDetector()
	sent := clock.Now()
	clock.Advance(10 * time.Millisecond)
	detector.RequestInterrupted("a", "1", interruption(1, false, clock.Now()))
	detector.TargetResponded("a", "1", sent)
	require.True(t, detector.TargetEnded("a", "1", ConnectionRefused))
}

// TestTargetThatLeftHasNotCrashed guards against requests that are suspected because targets
// that leave, as announced, end with them in flight.
func TestTargetThatLeftHasNotCrashed(t *testing.T) {
	detector, _, clock := newDetector()
	detector.RequestInterrupted("a", "1", interruption(1, false, clock.Now()))
	detector.TargetLeft("a", "1")
	require.False(t, detector.TargetEnded("a", "1", RegistrationDeleted))
	require.Empty(t, detector.interrupted)
}

func TestRequestsInterruptedLongBeforeAreNotPartOfACrash(t *testing.T) {
	detector, _, clock := newDetector()
	detector.RequestInterrupted("a", "1", interruption(1, false, clock.Now()))
	clock.Advance(interruptedTTL + time.Second)
	require.False(t, detector.TargetEnded("a", "1", ConnectionRefused))
	require.False(t, detector.TargetEnded("b", "1", ConnectionRefused), "a target without interrupted requests")
}

func TestInterruptedRequestsPerTargetAreBounded(t *testing.T) {
	detector, _, clock := newDetector()
	for fingerprint := range uint64(3 * maxInterrupted) {
		detector.RequestInterrupted("a", "1", interruption(fingerprint, false, clock.Now()))
	}
	require.Len(t, detector.interrupted[incarnationID{"a", "1"}], maxInterrupted)
}

func TestRequestThatCompletesBetweenCrashesIsNotRefused(t *testing.T) {
	detector, tracker, clock := newDetector()
	for n, target := range []string{"a", "b", "c", "d"} {
		detector.RequestInterrupted(target, "1", interruption(1, false, clock.Now()))
		require.True(t, detector.TargetEnded(target, "1", ConnectionRefused))
		clock.Advance(3 * time.Second)
		if n == 1 {
			require.True(t, tracker.Completed(1))
			clock.Advance(time.Second)
		}
	}
	require.NotEqual(t, Refused, tracker.Assess(1).Level)
}

// TestRecentReturnsTheNewestCrashesFirst also checks that Recent is bounded by number
// and by age.
func TestRecentReturnsTheNewestCrashesFirst(t *testing.T) {
	detector, tracker, clock := newDetector()
	for _, target := range []string{"a", "b", "c"} {
		detector.RequestInterrupted(target, "1", interruption(1, false, clock.Now()))
		require.True(t, detector.TargetEnded(target, "1", ConnectionRefused))
		clock.Advance(time.Minute)
	}
	recent := tracker.Recent(2, 10*time.Minute)
	require.Len(t, recent.Crashes, 2)
	require.Equal(t, "c", recent.Crashes[0].Target)
	require.Equal(t, "b", recent.Crashes[1].Target)
	require.Empty(t, tracker.Recent(2, time.Second).Crashes)
}
