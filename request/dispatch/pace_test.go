package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlowTargetKeepsItsCapacityWhileOthersHaveNone guards against rejected requests: a target
// that is slow beside one that names a limit is the only one that can do the work.
func TestSlowTargetKeepsItsCapacityWhileOthersHaveNone(t *testing.T) {
	d := newDispatcher(2, 4)
	limited, slow := d.pool("s").targets["t0"], d.pool("s").targets["t1"]
	d.RecordLimit(limited, 1, start)
	now := at(time.Second)
	for range 20 {
		d.RecordResponse(limited, 10*time.Millisecond, true, now)
		d.RecordResponse(slow, 100*time.Millisecond, true, now)
	}
	d.Tick(now)
	require.Positive(t, slow.slowness)
	for range 4 {
		taken, _ := d.Acquire(work(1, limited), now)
		require.Equal(t, slow, taken)
	}
}
