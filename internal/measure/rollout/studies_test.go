package rollout

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDeterministicStudiesKeepTheirBounds guards against a change that moves a figure
// of a deterministic study past its bound. VERBENASEAM_STUDIES=all also runs the other
// studies and prints their figures without checking them.
func TestDeterministicStudiesKeepTheirBounds(t *testing.T) {
	for _, study := range Studies() {
		if !study.Deterministic && os.Getenv("VERBENASEAM_STUDIES") != "all" {
			continue
		}
		t.Run(study.Name, func(t *testing.T) {
			if testing.Short() {
				t.Skip("studies run without -short")
			}
			result, err := study.Run(t.Context())
			require.NoError(t, err)
			for _, figure := range result.Figures {
				fmt.Printf("%-90s %12.4g %-12s %-14s %s\n", figure.Name, figure.Value, figure.Unit, figure.BoundText(), figure.Verdict())
				if study.Deterministic {
					require.True(t, figure.OK(), "%s: %g %s", figure.Name, figure.Value, figure.Unit)
				}
			}
		})
	}
}

func TestGeneratedTablesAreValid(t *testing.T) {
	require.NoError(t, currentSize.build().Validate())
	require.NoError(t, plannedSize.build().Validate())
}
