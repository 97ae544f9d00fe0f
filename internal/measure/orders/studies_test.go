package orders

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClusterRunsEachOrderOnce guards against a load generator that counts orders as
// completed that the agent did not run, or that runs an order twice.
func TestClusterRunsEachOrderOnce(t *testing.T) {
	c, err := newCluster()
	require.NoError(t, err)
	defer c.close()
	c.offerLoad(context.Background(), 200, 200*time.Millisecond)
	require.Equal(t, c.agent.runs.Load(), c.completed.Load())
	require.Positive(t, c.completed.Load())
}

// BenchmarkStudies runs all studies and prints their figures.
func BenchmarkStudies(b *testing.B) {
	for _, study := range Studies() {
		result, err := study.Run(context.Background())
		require.NoError(b, err)
		for _, figure := range result.Figures {
			fmt.Printf("%s: %s = %.4g %s %s %s\n", study.Name, figure.Name, figure.Value, figure.Unit, figure.BoundText(), figure.Verdict())
		}
	}
}
