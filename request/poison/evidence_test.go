package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeartbeatsReportNewestClearances guards against suspects that stay suspected at peers,
// because others that were cleared before take their places in the heartbeats.
func TestHeartbeatsReportNewestClearances(t *testing.T) {
	const suspects, limit = 40, 3
	now := time.Unix(1000, 0)
	ledger := NewLedger(refuseAfterThree, now)
	var fingerprints []uint64
	for n := range uint64(suspects) {
		fingerprints = append(fingerprints, n)
	}
	ledger.Add(Crash{Target: "t", Incarnation: "1", Fingerprints: fingerprints, At: now}, now)
	for _, fingerprint := range fingerprints {
		now = now.Add(time.Millisecond)
		require.True(t, ledger.Completed(fingerprint, now))
	}
	recent := ledger.Recent(limit, time.Second, now)
	require.Equal(t, []Clearance{{39, 0}, {38, 1}, {37, 2}}, recent.Clearances)
}

// TestTrialsThatEarlierReleasesCountAreCounted guards against a suspect that is tried more often while processes of
// two releases run, of which the earlier one counts trials by rank only.
func TestTrialsThatEarlierReleasesCountAreCounted(t *testing.T) {
	const part = 1
	now := time.Unix(1000, 0)
	ledger := suspiciousLedger(1, now, part)
	now = now.Add(time.Minute)
	require.True(t, ledger.BeginTrial(part, 0, now))
	earlier := Evidence{Trials: []TrialEvidence{{Fingerprint: part, Begun: []int{0, 1, 0, 1}}}}
	require.True(t, ledger.Merge(earlier, now))
	require.False(t, ledger.Merge(earlier, now), "once")
	now = now.Add(trialInterval)
	require.False(t, ledger.BeginTrial(part, 0, now))
	require.Equal(t, []int{1, 1, 0, 1}, ledger.Evidence(now).Trials[0].Begun, "as earlier releases read it")
}
