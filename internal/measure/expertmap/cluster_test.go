package expertmap

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSwitchInvariantsUnderFaults runs map switches of 64 ranks with every kind of
// fault and checks that no step runs on different maps, that no proposal gets
// conflicting decisions, and that the group proceeds after the last fault.
func TestSwitchInvariantsUnderFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			// Proposals overlap: the next may be sent before the previous one has
			// ended. Even seeds have fewer faults, so that more proposals commit.
			faults, interval := allFaults(), 40*time.Millisecond
			if seed%2 == 0 {
				faults.LossShare, faults.CrashInterval, interval = 0.005, 2*time.Second, 80*time.Millisecond
			}
			options := Options{
				Ranks: 64, OneWayDelay: 1500 * time.Microsecond, StepTime: 5 * time.Millisecond,
				PollInterval: 30 * time.Millisecond, Faults: faults, Seed: seed,
				Encode: seed%4 == 0,
			}
			if seed >= 4 {
				options.PermittedSteps = 4 // engines without holds of their own
			}
			c := RunSwitches(options, 300, interval, 0)
			require.Positive(t, c.Counts.Commits)
			require.Positive(t, c.Counts.Aborts)
			require.Positive(t, c.Counts.Crashes)
			require.Positive(t, c.Counts.Reformations)
			c.EndFaults()
			c.RunFor(3 * time.Second)
			require.Zero(t, c.Counts.MixedMapSteps, "steps on different maps")
			require.Zero(t, c.Counts.ConflictingDecisions, "proposals with conflicting decisions")
			require.Zero(t, c.Counts.EngineErrors, "failed engine calls")
			require.Zero(t, c.Counts.CodecErrors, "messages that the codec failed on")
			require.Zero(t, c.HeldRanks(), "ranks held after the last fault")
			before := c.Counts.Steps
			c.RunFor(time.Second)
			require.Greater(t, c.Counts.Steps, before+100, "steps after the last fault")
			t.Logf("%+v", c.Counts)
		})
	}
}

func TestStudiesKeepTheirBounds(t *testing.T) {
	if testing.Short() {
		t.Skip("takes minutes under the race detector; run without -short")
	}
	for _, study := range Studies() {
		t.Run(study.Name, func(t *testing.T) {
			result, err := study.Run(context.Background())
			require.NoError(t, err)
			for _, figure := range result.Figures {
				t.Logf("%-90s %10.4g %-10s %-8s %s", figure.Name, figure.Value, figure.Unit, figure.BoundText(), figure.Verdict())
				require.True(t, figure.OK(), figure.Name)
			}
		})
	}
}
