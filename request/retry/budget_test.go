package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestGrantIsConsumedOnce loses a target with requests in flight. Each of them
// may be sent once more and no further retries may follow, also after a
// success.
func TestGrantIsConsumedOnce(t *testing.T) {
	const inFlight = 7
	b := NewBudget(DefaultBudgetRatio, 1)
	require.True(t, b.Take())
	b.Grant(inFlight)
	b.Succeeded()
	for range inFlight {
		require.True(t, b.Take())
	}
	require.False(t, b.Take())
	b.Grant(-inFlight)
	require.False(t, b.Take())
}
