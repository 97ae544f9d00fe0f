package expertmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// play plays one seed and returns what went wrong.
func play(seed uint64, counting bool, fault simFault) (wrong string, switches int) {
	g := newSimGroup(seed, 3, counting, fault)
	for _, agent := range g.agents {
		agent.start()
	}
	switch seed % 4 {
	case 0:
		g.kills = 3
	case 1:
		g.freezes = 1
	}
	for turn := range 6000 {
		if wrong := g.turn(uint64(turn) + 1); wrong != "" {
			return wrong, g.switches
		}
	}
	return g.settle(), g.switches
}

func TestSwitchesWithLateOrdersNeverMixMaps(t *testing.T) {
	for name, counting := range map[string]bool{"engines that count orders": true, "engines that do not": false} {
		t.Run(name, func(t *testing.T) {
			switches := 0
			for seed := range uint64(1500) {
				wrong, switched := play(seed, counting, simSound)
				require.Empty(t, wrong, "seed %d", seed)
				switches += switched
			}
			require.Greater(t, switches, 1500, "too few switches happened for the test to mean anything")
		})
	}
}

func TestBrokenRulesOfLateOrdersAreCaught(t *testing.T) {
	for name, fault := range map[string]simFault{
		"the keeper promises without a hold":      simUnheld,
		"the keeper does not wait for the others": simReleasedForged,
		"a map with late orders is not made void": simVoidSkipped,
		"the group is let go without a switch":    simGoUnarmed,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2000) {
				if wrong, _ := play(seed, false, fault); wrong != "" {
					return
				}
			}
			t.Fatal("no seed shows the broken rule")
		})
	}
}
