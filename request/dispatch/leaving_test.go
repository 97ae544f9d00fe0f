package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/presence"
)

// TestTargetThatSaidItLeavesGetsNoMoreRequests guards against a target that gets requests
// because its registration is older than what it said, or was restored from a copy.
func TestTargetThatSaidItLeavesGetsNoMoreRequests(t *testing.T) {
	d := newDispatcher(2, 4)
	var leaving *Target
	for leaving == nil || leaving.ID() != "t0" {
		leaving = take(t, d, start)
	}
	require.True(t, d.RecordLeaving(leaving, start))
	require.False(t, d.RecordLeaving(leaving, start), "said again")
	require.False(t, d.MayStart(leaving, start))
	d.Register(registration(0, 4), at(time.Second))
	require.Equal(t, "t1", take(t, d, at(time.Second)).ID(), "the registration does not say that it leaves")
	d.Remove("t0")
	d.Register(registration(0, 4), at(2*time.Second))
	require.Equal(t, "t1", take(t, d, at(2*time.Second)).ID(), "registered again")

	d.Remove("t1")
	restarted := registration(0, 4)
	restarted.StartedAt = at(time.Second)
	d.Register(restarted, at(3*time.Second))
	require.Equal(t, "t0", take(t, d, at(3*time.Second)).ID(), "another incarnation does not leave")
}

// TestWaitersAreRejectedWhenAllTargetsLeave guards against requests that wait for nothing
// until their time is up.
func TestWaitersAreRejectedWhenAllTargetsLeave(t *testing.T) {
	d := newDispatcher(2, 1)
	first, second := take(t, d, start), take(t, d, start)
	_, waiter := d.Acquire(work(1), start)
	d.RecordLeaving(first, start)
	require.NotContains(t, drain(waiter), (*Target)(nil), "the other one may still serve it")
	d.RecordLeaving(second, start)
	require.Contains(t, drain(waiter), (*Target)(nil))
	_, waiter = d.Acquire(work(1), start)
	require.Nil(t, waiter)
}

// drain returns what a waiter has been granted so far.
func drain(w *Waiter) []*Target {
	select {
	case t := <-w.Granted():
		return []*Target{t}
	default:
		return nil
	}
}

// TestLeavingSpreadsToOtherProcesses guards against processes that go on sending requests to
// a target that said only once that it leaves, and against belief in old reports.
func TestLeavingSpreadsToOtherProcesses(t *testing.T) {
	teller, hearer := newDispatcher(2, 4), newDispatcher(2, 4)
	var leaving *Target
	for leaving == nil || leaving.ID() != "t0" {
		leaving = take(t, teller, start)
	}
	teller.RecordLeaving(leaving, start)
	reports := teller.Leavings(at(100 * time.Millisecond))
	require.Equal(t, []presence.TargetLeaving{presence.NewTargetLeaving("t0", leaving.Incarnation(), 100*time.Millisecond)}, reports)
	require.Equal(t, reports, hearer.MergeLeavings(reports, start))
	require.Empty(t, hearer.MergeLeavings(reports, start), "known")
	require.Empty(t, hearer.Leavings(start), "only what a target told itself is reported")
	for range 4 {
		require.Equal(t, "t1", take(t, hearer, start).ID())
	}
	hearer.Tick(at(reportedLeavingTTL + time.Second))
	require.Equal(t, "t0", take(t, hearer, at(reportedLeavingTTL+time.Second)).ID(), "not believed for ever")
	require.Empty(t, hearer.MergeLeavings([]presence.TargetLeaving{presence.NewTargetLeaving("t1", "", time.Hour)}, start))
	require.Len(t, teller.Leavings(at(time.Minute)), 1, "told in turn to processes that have started since")
}

// TestLeavingsInHeartbeatsAreBounded guards against heartbeats that grow with a release, and
// against targets that are never reported because of it.
func TestLeavingsInHeartbeatsAreBounded(t *testing.T) {
	const targets = 30
	d := newDispatcher(targets, 1)
	for range targets {
		d.RecordLeaving(take(t, d, start), start)
	}
	reported := map[string]bool{}
	for range targets {
		reports := d.Leavings(at(time.Second))
		require.LessOrEqual(t, len(reports), maxReported)
		for _, report := range reports {
			reported[report.Target] = true
		}
	}
	require.Len(t, reported, targets)
}
