package engine

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestGroupStepsUseOneExpertMap runs random map switches and releases and checks
// that all ranks make each step on the same expert map, and that a hold on one
// rank stops the whole group.
func TestGroupStepsUseOneExpertMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ranks = 3
		group := NewGroup(ranks)
		version := int64(1)
		for round := range rapid.IntRange(1, 5).Draw(t, "rounds") {
			at := group.State(0).Step + rapid.Int64Range(1, 4).Draw(t, "ahead")
			hold := Hold{Group: group.State(0).Group, Step: at, Version: int64(round) + 2}
			for i := range ranks {
				_, err := group.HoldStep(i, hold)
				require.ErrorIs(t, err, ErrNotLoaded)
				group.LoadMap(i, hold.Version)
				_, err = group.HoldStep(i, hold)
				require.NoError(t, err)
			}
			for group.Advance() {
				continue
			}
			require.Equal(t, at-1, group.State(0).Step, "the group must stop before the held step")
			switchMap := rapid.Bool().Draw(t, "switchMap")
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				require.False(t, group.Advance(), "one hold must stop all ranks")
				if switchMap {
					_, err := group.SwitchMap(i, hold)
					require.NoError(t, err)
					continue
				}
				_, err := group.ReleaseHold(i, hold)
				require.NoError(t, err)
			}
			require.True(t, group.Advance())
			if switchMap {
				version = hold.Version
			}
			require.Equal(t, version, group.State(1).Version)
			_, err := group.HoldStep(0, Hold{Group: hold.Group, Step: at, Version: version})
			require.ErrorIs(t, err, ErrStepStarted)
		}
		require.Zero(t, group.MixedSteps())
	})
}

func TestGroupCountsMixedSteps(t *testing.T) {
	group := NewGroup(2)
	hold := Hold{Group: group.State(0).Group, Step: 1, Version: 2}
	group.LoadMap(0, 2)
	_, err := group.HoldStep(0, hold)
	require.NoError(t, err)
	_, err = group.SwitchMap(0, hold)
	require.NoError(t, err)
	require.True(t, group.Advance())
	require.EqualValues(t, 1, group.MixedSteps())
	group.Reset()
	_, err = group.HoldStep(1, hold)
	require.ErrorIs(t, err, ErrGroupMismatch)
}
