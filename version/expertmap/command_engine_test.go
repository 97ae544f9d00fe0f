package expertmap

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/mutant"
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

// simulateGroups runs two groups with equal numbers on one network and returns the
// violation found, if any.
func simulateGroups(seed uint64) (violation string, switches int) {
	a, b := newSimGroup(seed, 3, false, simNoFault), newSimGroup(seed+1<<32, 3, false, simNoFault)
	a.id.Name, b.id.Name = "a", "b"
	a.others, b.others = []*simGroup{b}, []*simGroup{a}
	groups := []*simGroup{a, b}
	for _, g := range groups {
		for rank, agent := range g.agents {
			g.ranks[rank].report.Group = g.id
			agent.start()
		}
	}
	for event := range 6000 {
		for _, g := range groups {
			if violation := g.randomEvent(uint64(event) + 1); violation != "" {
				return violation, 0
			}
		}
	}
	for _, g := range groups {
		if violation := g.runWithoutFaults(); violation != "" {
			return violation, 0
		}
	}
	return "", a.switches + b.switches
}

// groupSeeds is the number of seeds of TestGroupsWithEqualNumbersNeverMixMaps.
const groupSeeds = 600

// TestGroupsWithEqualNumbersNeverMixMaps guards against a rank that takes the votes of
// another group for those of its own: groups of a service count incarnations, maps and
// steps alike, and their messages reach each other's agents.
func TestGroupsWithEqualNumbersNeverMixMaps(t *testing.T) {
	switches := 0
	for seed := range uint64(groupSeeds) {
		violation, switched := simulateGroups(seed)
		require.Empty(t, violation, "seed %d", seed)
		switches += switched
	}
	require.Greater(t, switches, groupSeeds, "too few switches for the test to be significant")
}

func TestSimulationCatchesGroupsWithoutNames(t *testing.T) {
	output, passed, err := mutant.Run(t.TempDir(), []mutant.Edit{
		{File: "agent.go", Old: "return group == a.group", New: "return group.Incarnation == a.group.Incarnation"},
	}, "TestGroupsWithEqualNumbersNeverMixMaps", "groups without names")
	require.NoError(t, err)
	require.False(t, passed, "the broken rule is not detected")
	require.Contains(t, output, "seed ")
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

// TestPromiseNeedsContentsOfProposal guards against a promise to switch to another map that has the
// number of the proposed one.
func TestPromiseNeedsContentsOfProposal(t *testing.T) {
	to := MapID{Epoch: 1, Version: 2}
	for name, c := range map[string]struct {
		stated, copied uint64
		promised       bool
	}{
		"the same contents":                       {stated: 7, copied: 7, promised: true},
		"other contents":                          {stated: 7, copied: 8},
		"contents that the agent did not copy":    {stated: 7},
		"a proposer of an earlier release":        {copied: 8, promised: true},
		"neither the proposer nor the agent know": {promised: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := newSimGroup(1, 2, true, simNoFault)
			g.lossRate = 0
			require.True(t, g.ranks[0].copyMap(to.Number()))
			engine := NewCommandEngine(&simCommands{group: g, rank: 0})
			_, err := engine.Refresh()
			require.NoError(t, err)
			if c.copied != 0 {
				engine.RecordCopy(to.Number(), c.copied)
			}
			proposal := Proposal{ID: NewProposalID(to, 4), Group: g.id, To: to, ToSum: c.stated, Step: 4, GroupHeld: true, Holder: 1, Proposer: 1}
			held, err := engine.Hold(proposal)
			require.Equal(t, c.promised, held && err == nil)
			if !c.promised {
				require.Zero(t, g.ranks[0].report.Armed)
			}
		})
	}
}

// TestReportOfEarlierStateIsRejected guards against a promise for a switch that is not armed any more: the
// engine sends an earlier report once more in place of the present one.
func TestReportOfEarlierStateIsRejected(t *testing.T) {
	g := newSimGroup(1, 2, true, simNoFault)
	g.lossRate = 0
	to := MapID{Epoch: 1, Version: 2}
	require.True(t, g.ranks[0].copyMap(to.Number()))
	engine := NewCommandEngine(&simCommands{group: g, rank: 0})
	proposal := Proposal{ID: NewProposalID(to, 4), Group: g.id, To: to, Step: 4, GroupHeld: true, Holder: 1, Proposer: 1}
	held, err := engine.Hold(proposal)
	require.NoError(t, err)
	require.True(t, held)
	armed, err := engine.Refresh()
	require.NoError(t, err)
	require.Equal(t, to.Number(), armed.Armed)
	ok, err := engine.commands.Disarm(armed.CommandCount, 1, to.Number())
	require.NoError(t, err)
	require.True(t, ok)
	present, err := engine.Refresh()
	require.NoError(t, err)
	require.Zero(t, present.Armed)

	g.ranks[0].report = armed
	got, err := engine.Refresh()
	require.ErrorIs(t, err, ErrStaleReport)
	require.Zero(t, got.Armed)
	_, err = engine.Hold(proposal)
	require.Error(t, err)

	// A restarted engine begins to count anew.
	g.ranks[0].report = RankReport{Group: g.id, Size: 2, StartedAt: g.now.Add(1)}
	_, err = engine.Refresh()
	require.NoError(t, err)
}

// TestOnlyALaterGroupVoidsCommands guards against a rank that switches its map alone: a command that may still be
// carried out is taken for void, because of a report without a group or of an earlier incarnation.
func TestOnlyALaterGroupVoidsCommands(t *testing.T) {
	const unconfirmed = 7
	for name, c := range map[string]struct {
		group GroupID
		want  uint64
	}{
		"no group":              {GroupID{}, unconfirmed},
		"earlier incarnation":   {GroupID{Name: "g", Incarnation: 2}, unconfirmed},
		"the same incarnation":  {GroupID{Name: "g", Incarnation: 3}, unconfirmed},
		"later incarnation":     {GroupID{Name: "g", Incarnation: 4}, 0},
		"another group":         {GroupID{Name: "h", Incarnation: 1}, 0},
		"only an incarnation":   {GroupID{Incarnation: 4}, 0},
		"no group, incarnation": {GroupID{Incarnation: 0}, unconfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			g := newSimGroup(1, 2, true, simNoFault)
			engine := NewCommandEngine(&simCommands{group: g, rank: 0})
			g.ranks[0].report.Group = GroupID{Name: "g", Incarnation: 3}
			_, err := engine.refreshForPromise()
			require.NoError(t, err)
			engine.unconfirmedMap, engine.unconfirmedGo = unconfirmed, unconfirmed
			g.ranks[0].report.Group = c.group
			_, err = engine.refreshForPromise()
			require.NoError(t, err)
			require.Equal(t, c.want, engine.unconfirmedMap)
			require.Equal(t, c.want, engine.unconfirmedGo)
		})
	}
}
