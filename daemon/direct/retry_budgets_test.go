package direct

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/settings"
)

// TestRetryBudgetIsOneEntrysPartOfTheBounds guards against entries that together exceed
// the bounds on retries: they do not coordinate, so each must stay within its part.
func TestRetryBudgetIsOneEntrysPartOfTheBounds(t *testing.T) {
	b := newRetryBudgets(settings.Bounds{RetryShare: 0.2, RetrySlack: 80})
	spent := 0
	for b.forService("s").Take() {
		spent++
	}
	require.Equal(t, 80/maxEntries, spent)
	for range 100 {
		b.forService("s").Succeeded()
	}
	require.LessOrEqual(t, b.forService("s").Tokens(), 0.2*100)
	require.True(t, b.forService("other").Take(), "each service has its own budget")
}
