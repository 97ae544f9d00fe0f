package rebalance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDeltaOfHugeMapIsRejected guards against a delta of a few bytes that makes an agent allocate
// gigabytes for the initial map that it names.
func TestDeltaOfHugeMapIsRejected(t *testing.T) {
	for _, delta := range []Delta{
		{Number: 1, Layers: maxLayers, Experts: maxExpertsOrRanks, Ranks: 2},
		{Number: 1, Layers: maxLayers, Experts: 1, Ranks: maxExpertsOrRanks},
	} {
		require.False(t, delta.hasValidShape())
		_, ok := delta.Apply(nil)
		require.False(t, ok)
	}
}
