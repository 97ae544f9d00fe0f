package direct

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/settings"
)

// TestRetryBudgetIsOneEntrysPartOfTheBounds guards against entries that together exceed
// the bounds on retries: they do not coordinate, so each must stay within its part.
func TestRetryBudgetIsOneEntrysPartOfTheBounds(t *testing.T) {
	const entries, slack = 60, 648
	b := newRetryBudgets(settings.Bounds{RetryShare: 0.2, RetrySlack: slack})
	b.forService("s")
	b.setEntries(entries)
	spent := 0
	for b.forService("s").Take() {
		spent++
	}
	require.Positive(t, spent)
	require.LessOrEqual(t, 2*entries*spent, slack, "also if all entries restart in the window")
	for range 100 {
		b.forService("s").Succeeded()
	}
	require.LessOrEqual(t, b.forService("s").Tokens(), 0.2*100)
	require.True(t, b.forService("other").Take(), "each service has its own budget")
}
