package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
