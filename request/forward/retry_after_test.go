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
