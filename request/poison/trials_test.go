package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// keepAsking lets requests with a suspect come every half second, and returns after how long the
// process may try it, limit if not before.
func keepAsking(ledger *Ledger, suspect uint64, rank int, now time.Time, limit time.Duration) time.Duration {
	return askEvery(500*time.Millisecond, ledger, suspect, rank, now, limit)
}

// suspiciousLedger returns a ledger of a process that started at the given time, with a part that is on
// trial since then.
func suspiciousLedger(process uint64, now time.Time, parts ...uint64) *Ledger {
	ledger := NewLedger(Config{Process: process}, now)
	for _, crash := range crashesAtOnce(minDoubtfulPartCrashes, now, parts...) {
		ledger.Add(crash, crash.At)
	}
	return ledger
}

// TestProcessWithoutAllowanceTriesASuspectLater guards against sound requests that are refused for good:
// they come only to processes that may begin no trial, so that nobody finds out that a suspected part is
// sound, or the trials that all processes may begin are used up without a result.
func TestProcessWithoutAllowanceTriesASuspectLater(t *testing.T) {
	const part, rival, rank = 1, 2, 50
	now := time.Unix(1000, 0)
	ledger, other := suspiciousLedger(1, now, part, rival), suspiciousLedger(2, now, part, rival)
	now = now.Add(time.Minute)
	require.Equal(t, lateTrialDelay(0), keepAsking(ledger, part, rank, now, time.Hour/10), "whatever its rank")

	// A trial elsewhere makes the process wait again.
	now = now.Add(lateTrialDelay(0) + trialInterval)
	require.True(t, other.BeginTrial(part, 0, now))
	require.True(t, ledger.Merge(other.Evidence(now), now))
	require.True(t, other.Merge(ledger.Evidence(now), now))
	require.Equal(t, lateTrialDelay(0), keepAsking(ledger, part, rank, now, time.Hour/10), "its first trial may have had no result")

	// All processes together begin no more than maxTrials, until it is clear that these had no result.
	now = now.Add(lateTrialDelay(0))
	require.True(t, other.Merge(ledger.Evidence(now), now))
	for _, next := range []struct {
		ledger *Ledger
		rank   int
	}{{ledger, rank}, {other, 0}, {other, 1}, {other, rank + 1}} {
		copied := suspiciousLedger(3, now.Add(-time.Minute), part, rival)
		copied.Merge(next.ledger.Evidence(now), now)
		require.Equal(t, lateTrialInterval, keepAsking(copied, part, next.rank, now, time.Hour/10), "rank %d", next.rank)
	}
	require.Equal(t, lateTrialInterval, keepAsking(ledger, part, rank, now, time.Hour/10))
	now = now.Add(lateTrialInterval)
	require.Equal(t, lateTrialInterval, keepAsking(ledger, part, rank, now, time.Hour/10), "one at a time")
	now = now.Add(lateTrialInterval + trialInterval)

	// Those that crash targets have all parts that may be the cause, and are not tried so often.
	assessment, _ := ledger.AssessRequest(Subject{Fingerprint: 100, Parts: []uint64{part}}, now)
	require.Equal(t, OnTrial, assessment.Level)
	assessment, _ = ledger.AssessRequest(Subject{Fingerprint: 100, Parts: []uint64{part, rival}}, now)
	require.Equal(t, Refused, assessment.Level)
	require.True(t, ledger.PartsRan([]uint64{rival}, now))
	assessment, _ = ledger.AssessRequest(Subject{Fingerprint: 100, Parts: []uint64{part}}, now)
	require.Equal(t, Refused, assessment.Level, "no other part is left")

	// A run clears the part at once.
	require.True(t, ledger.PartsRan([]uint64{part}, now))
	assessment, _ = ledger.AssessRequest(Subject{Fingerprint: 100, Parts: []uint64{part}}, now)
	require.Equal(t, Clear, assessment.Level)
}

// askEvery lets requests with a suspect come at intervals, and returns after how long the process may try it,
// limit if not before.
func askEvery(interval time.Duration, ledger *Ledger, suspect uint64, rank int, now time.Time, limit time.Duration) time.Duration {
	for waited := time.Duration(0); waited < limit; waited += interval {
		if ledger.MayTry(suspect, rank, now.Add(waited)) && ledger.BeginTrial(suspect, rank, now.Add(waited)) {
			return waited
		}
	}
	return limit
}

// TestRareRequestsReachATrial guards against sound requests that are refused for good because each comes
// longer after the one before than a process waits for its turn.
func TestRareRequestsReachATrial(t *testing.T) {
	const part, another, rank = 1, 2, 50
	for _, interval := range []time.Duration{wantTTL, 3 * time.Second, 6 * time.Second, 30 * time.Second} {
		now := time.Unix(1000, 0)
		ledger := suspiciousLedger(1, now, part)
		now = now.Add(time.Minute)
		require.Equal(t, interval, askEvery(interval, ledger, part, rank, now, 5*time.Minute), "the second one, every %v", interval)

		both := suspiciousLedger(1, now, part, another)
		now = now.Add(time.Minute)
		request := Subject{Fingerprint: 100, Parts: []uint64{part, another}}
		waited := time.Duration(0)
		for assessment, _ := both.AssessRequest(request, now); assessment.Level == Held; assessment, _ = both.AssessRequest(request, now.Add(waited)) {
			waited += interval
			require.Less(t, waited, time.Minute, "every %v", interval)
		}
		require.Less(t, waited, jointTrialDelay+interval, "several suspects, every %v", interval)
	}
}

// TestRequestsAfterAPauseAreTriedInTurn guards against trials that many processes begin at the same time,
// because requests come at all of them at once, long after their first ones.
func TestRequestsAfterAPauseAreTriedInTurn(t *testing.T) {
	const part, count = 1, 70
	now := time.Unix(1000, 0)
	processes := startSuspicious(count, now, part)
	now = now.Add(time.Minute)
	require.Empty(t, processes.ask(part, now))
	require.Equal(t, []int{trialRanks}, processes.ask(part, now.Add(wantMemory/2)))
	require.Empty(t, processes.ask(part, now.Add(3*wantMemory)), "a pause so long that others may have come first")
}

// TestPartRefusedOnEvidenceIsTried guards against sound requests that are refused for ten minutes because a
// part of theirs, which nobody had asked for before, was in flight in two crashes with other causes.
func TestPartRefusedOnEvidenceIsTried(t *testing.T) {
	const part, popular = 1, 2
	start := time.Unix(1000, 0)
	request := Subject{Fingerprint: 100, Parts: []uint64{popular, part}}
	refused := func() (*Ledger, time.Time) {
		ledger, now := NewLedger(Config{}, start), start
		for range minKnownRuns {
			ledger.PartsRan([]uint64{popular}, now)
		}
		for n := range minPartIncidents {
			now = now.Add(5 * time.Second)
			ledger.Add(Crash{Target: fmt.Sprint("t", n), Incarnation: "1", Parts: []uint64{part, popular}, At: now}, now)
		}
		return ledger, now
	}
	ledger, last := refused()
	assessment, _ := ledger.AssessRequest(request, last.Add(time.Second))
	require.Equal(t, Assessment{Level: Refused, Until: last.Add(unprovenRefusal)}, assessment)
	now := last.Add(unprovenRefusal)
	assessment, trial := ledger.AssessRequest(request, now)
	require.Equal(t, OnTrial, assessment.Level)
	require.Equal(t, uint64(part), trial)
	require.True(t, ledger.BeginTrial(part, 0, now))
	require.True(t, ledger.PartsRan(request.Parts, now))
	assessment, _ = ledger.AssessRequest(request, now)
	require.Equal(t, Clear, assessment.Level, "it ran")

	ledger, last = refused()
	now = last.Add(unprovenRefusal)
	require.True(t, ledger.BeginTrial(part, 0, now))
	ledger.Add(Crash{Target: "tried", Incarnation: "1", Parts: request.Parts, OnTrial: []uint64{part}, At: now}, now)
	assessment, _ = ledger.AssessRequest(request, now.Add(DefaultRefuseFor-time.Second))
	require.Equal(t, Assessment{Level: Refused, Until: now.Add(DefaultRefuseFor)}, assessment, "one crash on trial is enough")
}

// suspiciousProcesses are ledgers of processes with a part on trial, by rank.
type suspiciousProcesses []*Ledger

// startSuspicious returns processes that started at the given time.
func startSuspicious(count int, now time.Time, part uint64) suspiciousProcesses {
	var all suspiciousProcesses
	for n := range uint64(count) {
		all = append(all, suspiciousLedger(n+1, now, part))
	}
	return all
}

// ask lets a request with the part come to each process without an allowance, and tells all of them of the
// others. It returns the ranks of those that began a trial.
func (p suspiciousProcesses) ask(part uint64, at time.Time) []int {
	var begun []int
	for rank := trialRanks; rank < len(p); rank++ {
		if p[rank].MayTry(part, rank, at) && p[rank].BeginTrial(part, rank, at) {
			begun = append(begun, rank)
		}
	}
	for _, to := range p {
		for _, from := range p {
			to.Merge(Evidence{Trials: from.trialEvidence(1, time.Time{}, at)}, at)
		}
	}
	return begun
}

// TestProcessesThatWantATrialTakeTurns guards against trials that all processes with requests begin at the
// same time, and against waits that grow with the number of processes.
func TestProcessesThatWantATrialTakeTurns(t *testing.T) {
	const part, count = 1, 70
	now := time.Unix(1000, 0)
	processes := startSuspicious(count, now, part)
	now = now.Add(time.Minute)
	type trial struct {
		rank int
		at   time.Duration
	}
	var begun []trial
	for waited := time.Duration(0); waited < 2*lateTrialDelay(0)+trialTurn; waited += 100 * time.Millisecond {
		for _, rank := range processes.ask(part, now.Add(waited)) {
			begun = append(begun, trial{rank, waited})
		}
	}
	require.Equal(t, []trial{{trialRanks, lateTrialDelay(0)}, {trialRanks, 2 * lateTrialDelay(0)}}, begun, "the first of them, without a result again")
}

// TestTrialThatReachesNoTargetDoesNotCount guards against trials that are used up by targets that are
// down, or are back at their address as another one.
func TestTrialThatReachesNoTargetDoesNotCount(t *testing.T) {
	const part, another = 1, 2
	now := time.Unix(1000, 0)
	ledger, other := suspiciousLedger(1, now, part, another), suspiciousLedger(2, now, part, another)
	now = now.Add(time.Minute)
	for range 4 * maxTrials {
		require.True(t, ledger.BeginTrial(part, 0, now))
		require.True(t, other.Merge(ledger.Evidence(now), now))
		require.False(t, other.BeginTrial(part, 1, now))
		require.True(t, ledger.BeginTrial(another, 0, now), "a trial of another part goes on")
		require.True(t, ledger.TrialUnsent(part))
		require.False(t, ledger.TrialUnsent(part), "once")
		require.True(t, ledger.TrialUnsent(another))
		require.True(t, other.Merge(ledger.Evidence(now), now))
		now = now.Add(100 * time.Millisecond)
	}
	require.True(t, other.BeginTrial(part, 1, now))
}

// TestPartsThatSuspectEachOtherAreTried guards against sound requests that are refused for good because two
// of their parts came with the one that crashes targets, or with each other only.
func TestPartsThatSuspectEachOtherAreTried(t *testing.T) {
	const first, second, crashing = 1, 2, 3
	now := time.Unix(1000, 0)
	ledger := suspiciousLedger(1, now, first, second, crashing)
	now = now.Add(time.Minute)
	level := func(parts ...uint64) Level {
		assessment, _ := ledger.AssessRequest(Subject{Fingerprint: 100, Parts: parts}, now)
		return assessment.Level
	}
	require.Equal(t, OnTrial, level(first, second), "if it runs, the other part is the cause")
	require.Equal(t, Held, level(first, second, crashing), "this would show nothing")
	for range 2 * jointTrialDelay / time.Second {
		now = now.Add(time.Second)
		level(first, second, crashing)
	}
	require.Equal(t, OnTrial, level(first, second, crashing), "no others have come")
	require.True(t, ledger.BeginTrial(first, 0, now))
	ledger.Add(Crash{Target: "tried", Incarnation: "1", Parts: []uint64{first, second, crashing}, OnTrial: []uint64{first}, At: now}, now)
	now = now.Add(trialInterval)
	require.Equal(t, Refused, level(first, second, crashing), "once")
	require.Equal(t, OnTrial, level(first, second))
	ledger.PartsRan([]uint64{first, second}, now)
	require.Equal(t, Clear, level(first, second))
	require.Equal(t, Refused, level(first, second, crashing))
}
