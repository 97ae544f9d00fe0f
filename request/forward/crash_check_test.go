package forward

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/request/dispatch"
)

// TestInterruptionDuringCheckIsCheckedAgain guards against a crash that happens while the
// target is being checked for an earlier one and goes unnoticed.
func TestInterruptionDuringCheckIsCheckedAgain(t *testing.T) {
	checks, target := newTargetChecks(), &dispatch.Target{}
	require.True(t, checks.request(target))
	require.True(t, checks.next(target))
	require.False(t, checks.request(target), "the running check goes on")
	for range checkRounds {
		require.True(t, checks.next(target))
	}
	require.False(t, checks.next(target))
	require.True(t, checks.request(target))
}
