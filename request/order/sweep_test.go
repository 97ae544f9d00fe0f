package order

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	standin "verbenaseam.example/verbenaseam/internal/standin/platform"
)

// TestSweepDeletesExpiredRecordsOnly makes orders of two ages and sweeps in pages
// after the older ones have expired.
func TestSweepDeletesExpiredRecordsOnly(t *testing.T) {
	clock := clockwork.NewFakeClock()
	server := standin.New(standin.Config{Clock: clock, WritesPerSecond: -1, ReadsPerSecond: -1})
	recorder := NewRecorder(RecorderConfig{Table: server, Clock: clock, CommitsPerSecond: 1e12}) // the clock is stopped, so the pacer must not wait
	defer recorder.Close()
	agent := singleAgent{execution: NewExecutionTracker(ExecutionTrackerConfig{Incarnation: "one"}), runs: &atomic.Int64{}}
	c, err := NewCoordinator(Config{Table: server, Writer: recorder, Dispatcher: agent, Clock: clock})
	require.NoError(t, err)
	ctx := context.Background()
	for i := range 5 {
		_, err := c.Run(ctx, Request{Organisation: "himal", Key: fmt.Sprint(i), Timeout: time.Minute})
		require.NoError(t, err)
		if i == 2 {
			clock.Advance(DefaultRetention)
		}
	}
	clock.Advance(time.Hour)
	deleted, after := 0, ""
	for {
		swept, err := c.Sweep(ctx, after, 2)
		require.NoError(t, err)
		deleted += swept.Deleted
		if after = swept.NextAfter; after == "" {
			break
		}
	}
	require.Equal(t, 3, deleted)
	rows, err := server.Scan(ctx, RowPrefix, "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 2)
}
