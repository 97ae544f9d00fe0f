package expertmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// simulate runs a simulation with one seed and returns the violation found, if any.
func simulate(seed uint64, countsCommands bool, fault simFault) (violation string, switches int) {
	g := newSimGroup(seed, 3, countsCommands, fault)
	for _, agent := range g.agents {
		agent.start()
	}
	switch seed % 4 {
	case 0:
		g.killPercent = 3
	case 1:
		g.freezePercent = 1
	}
	for event := range 6000 {
		if violation := g.randomEvent(uint64(event) + 1); violation != "" {
			return violation, g.switches
		}
	}
	return g.runWithoutFaults(), g.switches
}

func TestSwitchesWithDelayedCommandsNeverMixMaps(t *testing.T) {
	for name, countsCommands := range map[string]bool{"engines that count commands": true, "engines that do not": false} {
		t.Run(name, func(t *testing.T) {
			switches := 0
			for seed := range uint64(1500) {
				violation, switched := simulate(seed, countsCommands, simNoFault)
				require.Empty(t, violation, "seed %d", seed)
				switches += switched
			}
			require.Greater(t, switches, 1500, "too few switches for the test to be significant")
		})
	}
}

func TestSimulationCatchesBrokenCommandRules(t *testing.T) {
	for name, fault := range map[string]simFault{
		"the holder promises without a hold":             simFalseHold,
		"the holder does not wait for the others":        simForgedConfirmation,
		"a map with delayed commands is not invalidated": simFalseCopy,
		"the group is released without an armed switch":  simGoUnarmed,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2000) {
				if violation, _ := simulate(seed, false, fault); violation != "" {
					return
				}
			}
			t.Fatal("no seed shows the broken rule")
		})
	}
}
