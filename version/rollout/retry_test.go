package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/platform"
)

// rateLimitedTable rejects its first commits with a RateLimitedError.
type rateLimitedTable struct {
	platform.Table
	rejections, calls int
}

func (r *rateLimitedTable) Commit(context.Context, platform.Txn) (platform.TxnResult, error) {
	r.calls++
	if r.calls <= r.rejections {
		return platform.TxnResult{}, &platform.RateLimitedError{}
	}
	return platform.TxnResult{Committed: true}, nil
}

// commit runs a transaction through a retryingTable with a fake clock that is
// advanced whenever the retry waits. It returns the fake time that has passed.
func commit(ctx context.Context, t *testing.T, table platform.Table) (platform.TxnResult, time.Duration, error) {
	clock := clockwork.NewFakeClock()
	started := clock.Now()
	done := make(chan struct{})
	var result platform.TxnResult
	var err error
	go func() {
		defer close(done)
		result, err = (&retryingTable{Table: table, clock: clock}).Commit(ctx, platform.Txn{})
	}()
	for {
		waitCtx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		waiting := clock.BlockUntilContext(waitCtx, 1) == nil
		cancel()
		select {
		case <-done:
			return result, clock.Since(started), err
		default:
		}
		if waiting {
			clock.Advance(10 * time.Millisecond)
		}
	}
}

func TestRateLimitedCallIsRetried(t *testing.T) {
	table := &rateLimitedTable{rejections: maxRateLimitAttempts - 1}
	result, took, err := commit(t.Context(), t, table)
	require.NoError(t, err)
	require.True(t, result.Committed)
	require.Equal(t, maxRateLimitAttempts, table.calls)
	require.GreaterOrEqual(t, took, 400*time.Millisecond)
}

func TestRateLimitedCallFailsAfterMaxAttempts(t *testing.T) {
	table := &rateLimitedTable{rejections: 2 * maxRateLimitAttempts}
	_, _, err := commit(t.Context(), t, table)
	var limited *platform.RateLimitedError
	require.ErrorAs(t, err, &limited)
	require.Equal(t, maxRateLimitAttempts, table.calls)
}

func TestRateLimitedCallStopsWhenContextIsDone(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	table := &rateLimitedTable{rejections: 1}
	_, _, err := commit(canceled, t, table)
	require.Error(t, err)
	require.Equal(t, 1, table.calls)
}
