package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestStaysRefusedThroughManyCrashesOfPopularOnes guards against a request that runs
// again because its crashes made room for those in which a popular request was in flight.
func TestRequestStaysRefusedThroughManyCrashesOfPopularOnes(t *testing.T) {
	const crashing, popular = 7, 8
	now := time.Unix(1000, 0)
	ledger := NewLedger(refuseAfterThree, now)
	add := func(n int, fingerprint uint64) {
		now = now.Add(2 * time.Second)
		require.True(t, ledger.Add(Crash{Target: fmt.Sprint(n), Incarnation: "1", Fingerprints: []uint64{fingerprint}, At: now}, now))
	}
	for n := range 3 {
		add(n, crashing)
	}
	for n := range 2 * DefaultMaxCrashes {
		add(3+n, popular)
		require.Equal(t, Refused, ledger.Assess(crashing, now).Level, "after %d crashes", 3+n)
	}
	require.Len(t, ledger.crashes, DefaultMaxCrashes)
}

// TestRequestStaysRefusedThroughMassCrash guards against the same where each of the other
// crashes is one of three in which some request was in flight, none of which is refused.
func TestRequestStaysRefusedThroughMassCrash(t *testing.T) {
	const crashing = 7
	now := time.Unix(1000, 0)
	ledger := NewLedger(refuseAfterThree, now)
	add := func(n int, after time.Duration, fingerprints ...uint64) {
		now = now.Add(after)
		require.True(t, ledger.Add(Crash{Target: fmt.Sprint(n), Incarnation: "1", Fingerprints: fingerprints, At: now}, now))
	}
	for n := range 3 {
		add(n, 2*time.Second, crashing)
	}
	now = now.Add(DefaultMassCrashWindow)
	for n := range uint64(2 * DefaultMaxCrashes) {
		add(3+int(n), 300*time.Millisecond, 100+n, 101+n, 102+n)
		require.Equal(t, Refused, ledger.Assess(crashing, now.Add(2*time.Second)).Level, "after %d crashes", 4+n)
	}
}
