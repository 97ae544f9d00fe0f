package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/platform"
)

// limitedTable refuses its first calls for their rate.
type limitedTable struct {
	platform.Table
	refusals, calls int
}

func (l *limitedTable) Commit(context.Context, platform.Txn) (platform.TxnResult, error) {
	l.calls++
	if l.calls <= l.refusals {
		return platform.TxnResult{}, &platform.RateLimitedError{}
	}
	return platform.TxnResult{Committed: true}, nil
}

// commit runs a transaction on a clock that jumps to whatever is waited for.
func commit(ctx context.Context, t *testing.T, table platform.Table) (platform.TxnResult, time.Duration, error) {
	clock := clockwork.NewFakeClock()
	started := clock.Now()
	done := make(chan struct{})
	var result platform.TxnResult
	var err error
	go func() {
		defer close(done)
		result, err = (&patientTable{Table: table, clock: clock}).Commit(ctx, platform.Txn{})
	}()
	for {
		waits, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		waiting := clock.BlockUntilContext(waits, 1) == nil
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

func TestCallsRefusedForTheRateAreMadeAgain(t *testing.T) {
	table := &limitedTable{refusals: limitedTries - 1}
	result, took, err := commit(t.Context(), t, table)
	require.NoError(t, err)
	require.True(t, result.Committed)
	require.Equal(t, limitedTries, table.calls)
	require.GreaterOrEqual(t, took, 400*time.Millisecond)
}

func TestCallsRefusedForTheRateEnd(t *testing.T) {
	table := &limitedTable{refusals: 2 * limitedTries}
	_, _, err := commit(t.Context(), t, table)
	var limited *platform.RateLimitedError
	require.ErrorAs(t, err, &limited)
	require.Equal(t, limitedTries, table.calls)
}

func TestCallsRefusedForTheRateEndWithTheirContext(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	table := &limitedTable{refusals: 1}
	_, _, err := commit(ended, t, table)
	require.Error(t, err)
	require.Equal(t, 1, table.calls)
}
