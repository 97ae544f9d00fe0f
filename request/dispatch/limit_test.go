package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/presence"
)

// limitOf returns the limit that is known of a target; NaN for none.
func limitOf(d *Dispatcher, target string) float64 {
	known := d.limits[d.pool("s").targets[target].incarnationID()]
	if known == nil || known.lifted {
		return math.NaN()
	}
	return known.perSecond
}

// TestLimitIsLiftedByLaterRequestsOnly guards against a limit that is lost because the response
// to an earlier request, which the target made before it named the limit, arrives after it.
func TestLimitIsLiftedByLaterRequestsOnly(t *testing.T) {
	d := newDispatcher(1, 4)
	only := d.pool("s").targets["t0"]
	require.True(t, d.RecordLimit(only, 2.2, at(time.Second)))
	require.False(t, d.RecordLimit(only, 2.2, at(2*time.Second)), "known")
	require.False(t, d.RecordNoLimit(only, at(2*time.Second-time.Millisecond), at(3*time.Second)))
	require.Equal(t, 2.2, limitOf(d, "t0"))
	require.True(t, d.RecordNoLimit(only, at(2*time.Second), at(3*time.Second)))
	require.True(t, math.IsNaN(limitOf(d, "t0")))
	require.False(t, d.RecordNoLimit(only, at(4*time.Second), at(4*time.Second)), "known")
}

// TestLatestStatementOfALimitCounts guards against limits that entries give back to each other
// after they were lifted, or lift although the target has named them again.
func TestLatestStatementOfALimitCounts(t *testing.T) {
	d := newDispatcher(1, 4)
	report := func(perSecond float64, lifted bool, age time.Duration) presence.TargetLimit {
		id := d.pool("s").targets["t0"].incarnationID()
		return presence.TargetLimit{Target: id.target, Incarnation: id.incarnation, PerSecond: perSecond, Lifted: lifted, AgeMillis: age.Milliseconds()}
	}
	merge := func(now time.Duration, r presence.TargetLimit) int {
		return len(d.MergeLimits([]presence.TargetLimit{r}, at(now)))
	}
	require.Equal(t, 1, merge(10*time.Second, report(3, false, time.Second)))
	require.Zero(t, merge(10*time.Second, report(0, true, 2*time.Second)), "lifted earlier")
	require.Zero(t, merge(10*time.Second, report(3, false, 0)), "known")
	require.Equal(t, 1, merge(11*time.Second, report(2, false, 0)))
	require.Equal(t, 1, merge(12*time.Second, report(0, true, 0)))
	require.Zero(t, merge(13*time.Second, report(2, false, 2*time.Second)), "named earlier")
	for _, nonsense := range []presence.TargetLimit{report(-1, false, 0), report(math.NaN(), false, 0), report(math.Inf(1), false, 0)} {
		require.Zero(t, merge(14*time.Second, nonsense))
	}
	require.True(t, math.IsNaN(limitOf(d, "t0")))
	require.Empty(t, d.Limits(at(14*time.Second)), "a process reports only what it was told itself")
}

// TestLimitsAreReportedInTurn guards against entries that start while many targets have limits
// and never hear of some of them, and against heartbeats that grow with their number.
func TestLimitsAreReportedInTurn(t *testing.T) {
	const targets = 3 * maxReported
	d := newDispatcher(targets, 4)
	for n := range targets {
		d.RecordLimit(d.pool("s").targets[fmt.Sprintf("t%d", n)], 1, start)
	}
	heard := map[string]bool{}
	for n := range 2 * targets {
		reports := d.Limits(at(newsSpan + time.Duration(n)*100*time.Millisecond))
		require.LessOrEqual(t, len(reports), maxReported)
		for _, report := range reports {
			heard[report.Target] = true
		}
	}
	require.Len(t, heard, targets)
}

// TestLimitOutlastsTheRegistration guards against a limit that is forgotten because the target's
// registration lapses, as while the store is away, and against limits that are kept for ever.
func TestLimitOutlastsTheRegistration(t *testing.T) {
	d := newDispatcher(1, 4)
	d.RecordLimit(d.pool("s").targets["t0"], 2, start)
	d.Tick(at(2 * limitTTL))
	require.Equal(t, 2.0, limitOf(d, "t0"), "as long as it is registered")
	d.Remove("t0")
	d.Register(registration(0, 4), start)
	require.Equal(t, 2.0, limitOf(d, "t0"))
	d.Remove("t0")
	d.Tick(at(2 * limitTTL))
	require.Empty(t, d.limits)
}
