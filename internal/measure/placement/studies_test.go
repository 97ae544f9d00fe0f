package placement

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDeterministicStudiesKeepTheirBounds(t *testing.T) {
	if testing.Short() {
		t.Skip("takes minutes under the race detector; run without -short")
	}
	for _, study := range Studies() {
		if !study.Deterministic {
			continue
		}
		t.Run(study.Name, func(t *testing.T) {
			result, err := study.Run(context.Background())
			require.NoError(t, err)
			for _, figure := range result.Figures {
				t.Logf("%-90s %10.4g %-8s %-8s %s", figure.Name, figure.Value, figure.Unit, figure.BoundText(), figure.Verdict())
			}
			for _, figure := range result.Figures {
				require.True(t, figure.OK(), figure.Name)
			}
		})
	}
}
