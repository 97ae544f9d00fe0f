package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/version/config"
)

// newOrderService returns a dispatcher in d0 for an order service with one target of 6 slots
// in each of three failure domains. Its requests take 30 ms.
func newOrderService(t *testing.T, crossing Crossing) (d *Dispatcher, now time.Time) {
	t.Helper()
	d, now = newDispatcher(3, 6), start
	d.SetCrossing(crossing)
	for range 50 {
		taken := take(t, d, now)
		now = now.Add(30 * time.Millisecond)
		d.Release(taken, Served, now)
	}
	return d, now
}

// TestOwnTargetIsKeptWhileCrossingCostsMore guards against orders that cross for a single
// request less at the other target, and against ones that wait for the own one instead.
func TestOwnTargetIsKeptWhileCrossingCostsMore(t *testing.T) {
	for name, tc := range map[string]struct {
		crossing Crossing
		own      int
	}{
		"not stated":             {Crossing{}, 1},
		"cheap":                  {Crossing{Delay: time.Millisecond}, 1},
		"dear":                   {Crossing{Delay: 4 * time.Millisecond}, 2},
		"dearer than any target": {Crossing{Delay: time.Second}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			d, now := newOrderService(t, tc.crossing)
			for range tc.own {
				require.Equal(t, "t0", take(t, d, now).ID())
			}
			require.NotEqual(t, "t0", take(t, d, now).ID())
			require.Equal(t, CrossingCount{Crossed: 1, Total: uint64(51 + tc.own)}, d.CrossingCounts()["s"])
		})
	}
}

// TestStatedDelaysDecideAmongDomains guards against one delay for all pairs of failure domains.
func TestStatedDelaysDecideAmongDomains(t *testing.T) {
	d, now := newOrderService(t, Crossing{Delay: time.Second})
	d.SetServices(map[string]*config.Service{"s": {Name: "s", Delays: config.Delays{
		"d0": {"d1": 10 * time.Millisecond, "d2": time.Millisecond}, config.AnyDomain: {"d2": time.Hour},
	}}}, now)
	require.Equal(t, "t0", take(t, d, now).ID())
	require.Equal(t, "t2", take(t, d, now).ID())
}

// TestObservedDelaysCountWhereNoneIsStated guards against a price that makes all crossings
// equal, however far away the targets are.
func TestObservedDelaysCountWhereNoneIsStated(t *testing.T) {
	d, now := newOrderService(t, Crossing{Price: time.Millisecond})
	for _, to := range d.pool("s").list {
		d.RecordConnection(to, map[string]time.Duration{"t0": 0, "t1": 20 * time.Millisecond, "t2": time.Millisecond}[to.ID()])
	}
	require.Equal(t, "t0", take(t, d, now).ID())
	require.Equal(t, "t2", take(t, d, now).ID())
}

// TestLossOfOwnTargetsCrossesAtOnceAndReturns guards against requests that wait for the own
// failure domain's target while it is away, and against crossings that go on after.
func TestLossOfOwnTargetsCrossesAtOnceAndReturns(t *testing.T) {
	d, now := newOrderService(t, Crossing{Delay: 4 * time.Millisecond})
	d.SetPeerDomain("other", "d1")
	d.SetPeerLoad("other", map[string]int{"t1": 1, "t2": 1}, now.Add(-time.Second))
	gone := d.Remove("t0")
	first := take(t, d, now)
	require.NotEqual(t, "t0", first.ID())
	d.Release(first, Served, now)
	d.SetPeerLoad("other", nil, now)
	d.Register(gone.registration, now)
	for range 2 {
		require.Equal(t, "t0", take(t, d, now).ID())
	}
}

// TestSlowOrderTargetLeavesRequestsToOthers guards against requests at a slow target, which
// they prefer for its failure domain, while others would respond in time.
func TestSlowOrderTargetLeavesRequestsToOthers(t *testing.T) {
	const normal, slow = 30 * time.Millisecond, 360 * time.Millisecond
	d := newDispatcher(3, 6)
	now := start
	respond := func(seconds int) (sent map[string]int) {
		sent = map[string]int{}
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			d.Tick(now)
			taken := take(t, d, now)
			sent[taken.ID()]++
			elapsed := normal
			if taken.ID() == "t0" {
				elapsed = slow
			}
			d.RecordResponse(taken, elapsed, true, now)
			for _, other := range d.pool("s").list[1:] {
				d.RecordResponse(other, normal, true, now)
			}
			d.Release(taken, Served, now)
		}
		return sent
	}
	respond(2)
	require.Less(t, respond(20)["t0"], 20, "a tenth of the requests")
	changes := d.PaceChanges()
	require.NotEmpty(t, changes)
	require.Equal(t, "t0", changes[0].Target)
	require.True(t, changes[0].Slow)
	// With the others full it still gets some.
	d.SetPeerLoad("other", map[string]int{"t1": 6, "t2": 6}, now)
	require.Equal(t, "t0", take(t, d, now).ID())
}

// TestMostlySlowTargetsKeepTheirSlots guards against requests that are rejected while slots
// are free, because all targets but one are slow.
func TestMostlySlowTargetsKeepTheirSlots(t *testing.T) {
	for slow, want := range map[int]int{1: 13, 2: 18} {
		d := newDispatcher(3, 6)
		for range 50 {
			for n, to := range d.pool("s").list {
				elapsed := 30 * time.Millisecond
				if n < slow {
					elapsed *= 12
				}
				d.RecordResponse(to, elapsed, true, start)
			}
		}
		d.Tick(start)
		total := 0
		for _, count := range fill(d, start) {
			total += count
		}
		require.Equal(t, want, total, "%d slow", slow)
	}
}

// TestEnginesAreNotPaced guards against engines that get fewer requests for long ones.
func TestEnginesAreNotPaced(t *testing.T) {
	d := newDispatcher(0, 0)
	d.SetServices(map[string]*config.Service{"s": {Name: "s", Engine: &config.Engine{MaxConcurrentRequests: 6}}}, start)
	for _, id := range []string{"t0", "t1"} {
		d.Register(target.Registration{ID: id, Service: "s", Address: id, FailureDomain: "d0", Capacity: 6}, start)
	}
	for range 50 {
		d.RecordResponse(d.pool("s").targets["t0"], 10*time.Second, true, start)
		d.RecordResponse(d.pool("s").targets["t1"], time.Second, true, start)
	}
	d.Tick(start)
	require.Equal(t, map[string]int{"t0": 6, "t1": 6}, fill(d, start))
}
