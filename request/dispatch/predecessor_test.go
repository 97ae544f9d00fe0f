package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/version/config"
)

// TestEarlierTargetAtAnAddressGetsNoRequests guards against requests to incarnations that have
// ended: after all hosts lost power, 70 entries sent some 900 requests in two seconds to
// targets whose addresses belonged to their successors, and each was rejected in the end.
func TestEarlierTargetAtAnAddressGetsNoRequests(t *testing.T) {
	earlier, later := registration(0, 4), registration(0, 4)
	earlier.ID, earlier.StartedAt = "earlier", start.Add(-time.Minute)
	later.ID, later.StartedAt = "later", start
	for _, laterFirst := range []bool{false, true} {
		d := newDispatcher(0, 0)
		first, second := earlier, later
		if laterFirst {
			first, second = later, earlier
		}
		require.Nil(t, d.Register(first, start))
		replaced := d.Register(second, start)
		require.Equal(t, !laterFirst, replaced != nil, "crash detection must learn of its end")
		for range 4 {
			require.Equal(t, "later", take(t, d, start).ID())
		}
		// The next registration of the earlier one changes nothing.
		d.Register(earlier, start)
		taken, _ := d.Acquire(work(1), start)
		require.Nil(t, taken)
	}
}

// TestTargetsWithoutAStartTimeAreKept guards against the loss of a target whose registration
// does not say when it started.
func TestTargetsWithoutAStartTimeAreKept(t *testing.T) {
	unknown, known := registration(0, 1), registration(0, 1)
	unknown.ID, unknown.StartedAt = "unknown", time.UnixMilli(0)
	known.ID, known.StartedAt = "known", start
	d := newDispatcher(0, 0)
	d.Register(known, start)
	d.Register(unknown, start)
	first, second := take(t, d, start), take(t, d, start)
	require.ElementsMatch(t, []string{"known", "unknown"}, []string{first.ID(), second.ID()})
}

// TestRegistrationOfAnUnknownServiceSupersedesNobody guards against live targets that get no requests any
// more, because another writer has registered something at their addresses.
func TestRegistrationOfAnUnknownServiceSupersedesNobody(t *testing.T) {
	live, other := registration(0, 1), registration(0, 1)
	live.StartedAt = start.Add(-time.Minute)
	other.ID, other.Service, other.StartedAt = "other", "host-metrics", start
	for name, otherFirst := range map[string]bool{"registered before": true, "registered after": false} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(0, 0)
			first, second := live, other
			if otherFirst {
				first, second = other, live
			}
			require.Nil(t, d.Register(first, start))
			require.Nil(t, d.Register(second, start))
			taken := take(t, d, start)
			require.Equal(t, live.ID, taken.ID())
			require.True(t, d.IsRegistered(taken))

			// Once a configuration names the service, the address is the other's.
			d.SetServices(map[string]*config.Service{"host-metrics": {Name: "host-metrics"}}, start)
			require.False(t, d.IsRegistered(taken))
		})
	}
}

// TestTargetReturnsOnceItsAddressIsItsOwnAgain guards against a target that is never used again after another
// registration at its address, which was removed or turned out to be wrong.
func TestTargetReturnsOnceItsAddressIsItsOwnAgain(t *testing.T) {
	live, other := registration(0, 4), registration(0, 4)
	live.StartedAt = start.Add(-time.Minute)
	other.ID, other.StartedAt = "other", start
	for name, end := range map[string]func(d *Dispatcher){
		"removed":                      func(d *Dispatcher) { d.Remove("other") },
		"answered by the target there": func(d *Dispatcher) { d.Release(take(t, d, start), AddressReused, start) },
		"moved to another address": func(d *Dispatcher) {
			moved := other
			moved.Address = "10.0.9.9:80"
			d.Register(moved, start)
			d.Remove("other")
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(0, 0)
			d.Register(live, start)
			require.NotNil(t, d.Register(other, start))
			end(d)
			d.Register(live, start)
			require.Equal(t, live.ID, take(t, d, start).ID())
		})
	}
}
