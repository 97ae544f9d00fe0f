package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenaseam.example/verbenaseam/process/failure"
)

var origin = time.Unix(1000, 0)

func at(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

func crash(target string, ms int, fingerprints ...uint64) Crash {
	return Crash{Target: target, Incarnation: target + "-1", At: at(ms), Fingerprints: fingerprints}
}

func TestAssessments(t *testing.T) {
	onTrial := crash("b", 5000, 1, 9)
	onTrial.OnTrial = []uint64{1}
	trialOfOne := crash("b", 5000, 1, 2)
	trialOfOne.OnTrial = []uint64{1}
	trialOfTwo := crash("c", 9000, 2)
	trialOfTwo.OnTrial = []uint64{2}
	second := crash("a", 5000, 1)
	second.Incarnation = "a-2"
	grouped := func(target string, ms int, fingerprints ...uint64) Crash {
		c := crash(target, ms, fingerprints...)
		c.Group = "ranks"
		return c
	}
	cases := []struct {
		desc    string
		crashes []Crash
		// completed is when fingerprint 2 completes, 0 for never.
		completed  int
		assessedAt int
		want       map[uint64]Level
	}{
		{desc: "no crash", assessedAt: 100, want: map[uint64]Level{1: Clear}},
		{desc: "held after the first crash", crashes: []Crash{crash("a", 0, 1, 2)}, assessedAt: 100, want: map[uint64]Level{1: Held, 2: Held, 3: Clear}},
		{desc: "on trial after the first crash", crashes: []Crash{crash("a", 0, 1, 2)}, assessedAt: 200, want: map[uint64]Level{1: OnTrial, 2: OnTrial, 3: Clear}},
		{desc: "completion clears a suspect", crashes: []Crash{crash("a", 0, 1, 2)}, completed: 100, assessedAt: 200, want: map[uint64]Level{1: OnTrial, 2: Clear}},
		{desc: "held after the second crash", crashes: []Crash{crash("a", 0, 1), crash("b", 5000, 1)}, assessedAt: 6400, want: map[uint64]Level{1: Held}},
		{desc: "refused after the second crash", crashes: []Crash{crash("a", 0, 1), crash("b", 5000, 1, 9)}, assessedAt: 6500, want: map[uint64]Level{1: Refused, 9: OnTrial}},
		{desc: "two crashes of the same target", crashes: []Crash{crash("a", 0, 1), second}, assessedAt: 6500, want: map[uint64]Level{1: Refused}},
		{desc: "crash on trial implies an earlier crash", crashes: []Crash{onTrial}, assessedAt: 6500, want: map[uint64]Level{1: Refused, 9: OnTrial}},
		{desc: "two fingerprints explain both crashes", crashes: []Crash{crash("a", 0, 1, 2), crash("b", 5000, 1, 2)}, assessedAt: 6500, want: map[uint64]Level{1: OnTrial, 2: OnTrial}},
		{desc: "fingerprint on trial explains the crashes better", crashes: []Crash{crash("a", 0, 1, 2), trialOfOne}, assessedAt: 6500, want: map[uint64]Level{1: Refused, 2: OnTrial}},
		{desc: "other fingerprint is in flight in a further crash", crashes: []Crash{crash("a", 0, 1, 2), trialOfOne, trialOfTwo}, assessedAt: 10500, want: map[uint64]Level{1: OnTrial, 2: Refused}},
		{desc: "one of two fingerprints completes", crashes: []Crash{crash("a", 0, 1, 2), crash("b", 5000, 1, 2)}, completed: 6000, assessedAt: 6500, want: map[uint64]Level{1: Refused, 2: Clear}},
		{desc: "third crash refuses both fingerprints", crashes: []Crash{crash("a", 0, 1, 2), crash("b", 5000, 1, 2), crash("c", 9000, 1, 2)}, assessedAt: 10500, want: map[uint64]Level{1: Refused, 2: Refused}},
		{desc: "suspected again by a crash after completion", crashes: []Crash{crash("a", 0, 2), crash("b", 5000, 2)}, completed: 100, assessedAt: 6500, want: map[uint64]Level{2: OnTrial}},
		{desc: "mass crash of three targets", crashes: []Crash{crash("a", 0, 1), crash("b", 400, 2), crash("c", 1000, 3)}, assessedAt: 200, want: map[uint64]Level{1: Clear, 2: Clear, 3: Clear}},
		{desc: "in flight in two crashes of a mass crash", crashes: []Crash{crash("a", 0, 1), crash("b", 400, 1, 2), crash("c", 1000, 3)}, assessedAt: 2600, want: map[uint64]Level{1: OnTrial, 2: Clear, 3: Clear}},
		{desc: "in flight in a mass crash and a later crash", crashes: []Crash{crash("a", 0, 1), crash("b", 400, 1, 2), crash("c", 1000, 3), crash("d", 5000, 1)}, assessedAt: 6500, want: map[uint64]Level{1: Refused, 2: Clear}},
		{desc: "crashes of one group count as one", crashes: []Crash{grouped("a", 0, 1), grouped("b", 10, 1)}, assessedAt: 6500, want: map[uint64]Level{1: OnTrial}},
		{desc: "crashes of one group and a later crash count as two", crashes: []Crash{grouped("a", 0, 1), grouped("b", 10, 1), grouped("c", 20, 1), crash("d", 5000, 1)}, assessedAt: 6500, want: map[uint64]Level{1: Refused}},
		{desc: "the refusal ends", crashes: []Crash{crash("a", 0, 1), crash("b", 5000, 1)}, assessedAt: 605000, want: map[uint64]Level{1: Clear}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			l := NewLedger(Config{}, origin)
			for _, crash := range c.crashes {
				if c.completed > 0 && crash.At.After(at(c.completed)) {
					l.Completed(2, at(c.completed))
				}
				l.Add(crash, crash.At)
			}
			if c.completed > 0 {
				l.Completed(2, at(c.completed))
			}
			for fingerprint, want := range c.want {
				require.Equal(t, want, l.Assess(fingerprint, at(c.assessedAt)).Level, "fingerprint %d", fingerprint)
			}
		})
	}
}

func TestAssessmentFailures(t *testing.T) {
	require.Nil(t, Assessment{Level: OnTrial}.Failure(origin))
	refused := Assessment{Level: Refused, Until: at(60000)}.Failure(origin)
	require.Equal(t, failure.RequestPoisoned, refused.Kind)
	require.Equal(t, failure.NotRun, refused.Outcome)
	require.Equal(t, time.Minute, refused.RetryAfter)
}

// TestEvidenceConverges merges the same evidence in random order, one crash at a time
// and twice over, and checks that both ledgers reach the same assessments.
func TestEvidenceConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := at(60000)
		source := NewLedger(Config{}, origin)
		for i := range rapid.IntRange(1, 12).Draw(t, "crashes") {
			c := crash(string(rune('a'+i%8)), rapid.IntRange(0, 20000).Draw(t, "at"),
				rapid.SliceOfN(rapid.Uint64Range(1, 6), 0, 4).Draw(t, "fingerprints")...)
			c.Incarnation += string(rune('0' + i))
			source.Add(c, now)
		}
		source.Completed(rapid.Uint64Range(1, 6).Draw(t, "completed"), at(rapid.IntRange(0, 20000).Draw(t, "at")))
		all := source.Evidence(now)
		replica := NewLedger(Config{}, origin)
		for range 2 {
			for _, i := range rapid.Permutation(indexes(len(all.Crashes))).Draw(t, "order") {
				replica.Merge(Evidence{Crashes: all.Crashes[i : i+1], Clearances: all.Clearances}, now)
			}
		}
		require.False(t, replica.Merge(all, now), "all evidence was already known")
		for fingerprint := range uint64(8) {
			require.Equal(t, source.Assess(fingerprint, now), replica.Assess(fingerprint, now))
		}
	})
}

func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func TestEarliestReportOfACrashWins(t *testing.T) {
	l := NewLedger(Config{}, origin)
	require.True(t, l.Add(crash("a", 100, 1), at(100)))
	require.False(t, l.Add(crash("a", 300, 1), at(300)))
	require.Equal(t, at(100).Add(DefaultPropagationHold), l.Assess(1, at(200)).Until)
	require.True(t, l.Add(crash("a", 50, 1), at(300)))
	require.Equal(t, OnTrial, l.Assess(1, at(220)).Level)
}

func TestMemoryIsBounded(t *testing.T) {
	config := Config{MaxCrashes: 8, MaxFingerprints: 16, MaxClearances: 4}
	l := NewLedger(config, origin)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 500 {
		c := crash("a", 2000*i)
		c.Incarnation = time.Duration(i).String()
		for range 40 {
			c.Fingerprints = append(c.Fingerprints, random.Uint64N(1000))
		}
		l.Add(c, c.At)
		l.Completed(c.Fingerprints[0], c.At.Add(time.Second))
		evidence := l.Evidence(c.At)
		require.LessOrEqual(t, len(evidence.Crashes), config.MaxCrashes)
		require.LessOrEqual(t, len(evidence.Clearances), config.MaxClearances)
		require.LessOrEqual(t, len(l.suspects), config.MaxCrashes*config.MaxFingerprints)
	}
}

func TestTrialTargetIsTheSameOnAllEntries(t *testing.T) {
	targets := []string{"a", "b", "c", "d"}
	shuffled := []string{"d", "b", "a", "c"}
	for fingerprint := range uint64(50) {
		one, _ := TrialTarget(fingerprint, targets, []string{"a"})
		other, _ := TrialTarget(fingerprint, shuffled, []string{"a"})
		require.Equal(t, one, other)
		require.NotEqual(t, "a", one)
	}
	only, ok := TrialTarget(1, []string{"a"}, []string{"a"})
	require.True(t, ok)
	require.Equal(t, "a", only)
	_, ok = TrialTarget(1, nil, nil)
	require.False(t, ok)
}

func TestTrackersShareEvidence(t *testing.T) {
	clock := clockwork.NewFakeClock()
	local, remote := NewTracker(Config{}, clock), NewTracker(Config{}, clock)
	require.True(t, local.Crashed(Crash{Target: "a", Incarnation: "1", Fingerprints: []uint64{1, 2}}, 0))
	require.False(t, local.Crashed(Crash{Target: "a", Incarnation: "1", Fingerprints: []uint64{1, 2}}, 0))
	clock.Advance(time.Millisecond)
	local.Completed(2)
	require.True(t, remote.Merge(local.Evidence()))
	require.Equal(t, Held, remote.Assess(1).Level)
	require.Equal(t, Clear, remote.Assess(2).Level)
	require.True(t, remote.Crashed(Crash{Target: "b", Incarnation: "1", Fingerprints: []uint64{1}}, 0))
	clock.Advance(DefaultRefusalHold)
	require.Equal(t, []uint64{1}, remote.Refused())
}
