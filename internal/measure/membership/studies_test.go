package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDeterministicStudiesKeepTheirBounds guards against a change that moves a figure
// past its bound.
func TestDeterministicStudiesKeepTheirBounds(t *testing.T) {
	if testing.Short() {
		t.Skip("studies run without -short")
	}
	for _, study := range Studies() {
		t.Run(study.Name, func(t *testing.T) {
			result, err := study.Run(t.Context())
			require.NoError(t, err)
			for _, figure := range result.Figures {
				fmt.Printf("%-90s %12.4g %-8s %-10s %s\n", figure.Name, figure.Value, figure.Unit, figure.BoundText(), figure.Verdict())
				require.True(t, figure.OK(), figure.Name)
			}
		})
	}
}
