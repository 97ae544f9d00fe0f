package poisons

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSimulationsKeepTheirBounds(t *testing.T) {
	quickCrash := defaultDelays
	quickCrash.crash = 50 * time.Millisecond
	longRuns := defaultDelays
	longRuns.run = 10 * time.Second
	cases := []struct {
		desc       string
		delays     delays
		poison     bool
		loss       bool
		maxCrashes int
	}{
		{desc: "poisonous request", delays: defaultDelays, poison: true, maxCrashes: maxCrashes},
		{desc: "quick crashes", delays: quickCrash, poison: true, maxCrashes: maxCrashes},
		{desc: "long runs", delays: longRuns, poison: true, maxCrashes: maxCrashes},
		{desc: "4 of 12 lost at once", delays: defaultDelays, loss: true},
		{desc: "both at once", delays: defaultDelays, poison: true, loss: true, maxCrashes: maxCrashes + lostTargetCount},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			for seed := range uint64(40) {
				got := simulate(seed, c.delays, c.poison, c.loss)
				require.Zero(t, got.refusedInnocent, "seed %d", seed)
				require.LessOrEqual(t, got.crashes, c.maxCrashes, "seed %d", seed)
				if c.poison {
					require.LessOrEqual(t, got.refusedAt-got.lastCrash, maxRefusalSeconds*time.Second, "seed %d", seed)
				}
			}
		})
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	require.Equal(t, simulate(7, defaultDelays, true, true), simulate(7, defaultDelays, true, true))
}
