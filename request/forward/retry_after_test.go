package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetryAfterIsSpreadOutAndLeavesTimeForARetry(t *testing.T) {
	const remaining = 8 * time.Second
	require.Equal(t, busyRetryMin, retryAfter(false, remaining, 0))
	require.Equal(t, busyRetryMin+busyRetryJitter/2, retryAfter(false, remaining, 0.5))
	require.Greater(t, retryAfter(true, remaining, 0), retryAfter(false, remaining, 0.9))
	require.LessOrEqual(t, retryAfter(true, time.Second, 0.9), time.Second/3)
	require.Equal(t, minRetryAfter, retryAfter(true, -time.Second, 0))
}

// TestRetryAfterFollowsTheDrainTime guards against callers that all come back at the same
// moment, before the queue has drained or after their time is up.
func TestRetryAfterFollowsTheDrainTime(t *testing.T) {
	const remaining = 8 * time.Second
	require.Equal(t, time.Second, retryAfterDrain(time.Second, remaining, 0))
	require.Equal(t, 1250*time.Millisecond, retryAfterDrain(time.Second, remaining, 0.5))
	require.Equal(t, minDrainRetry, retryAfterDrain(0, remaining, 0))
	require.LessOrEqual(t, retryAfterDrain(2*time.Second, time.Second, 0.9), time.Second/3)
	require.Equal(t, minRetryAfter, retryAfterDrain(time.Second, -time.Second, 0))
}
