package forward

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTransfersAreLearnedByRoute guards against one size for streams and for short requests.
func TestTransfersAreLearnedByRoute(t *testing.T) {
	var sizes transfers
	require.Zero(t, sizes.expected("a"))
	sizes.record("a", 1000)
	sizes.record("b", 10)
	require.InDelta(t, 1000, sizes.expected("a"), 1e-9)
	for range 200 {
		sizes.record("a", 2000)
	}
	require.InDelta(t, 2000, sizes.expected("a"), 1)
	require.InDelta(t, 10, sizes.expected("b"), 1e-9)
}
