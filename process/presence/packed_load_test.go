package presence

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPackedLoadIsReadBack guards against loads that are counted at another target.
func TestPackedLoadIsReadBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		load := rapid.MapOf(rapid.String(), rapid.IntRange(0, 5000)).Draw(rt, "load")
		var ids []string
		for id := range load {
			ids = append(ids, id)
		}
		var numbers TargetNumbers
		numbers.Set(ids)
		unpacked, complete := numbers.Unpack(PackLoad(load))
		require.True(rt, complete)
		require.Equal(rt, load, unpacked)
	})
}

// TestUnknownAndMalformedPackedLoads guards against loads of unknown targets, or datagrams cut
// short, that stop an entry or hide the other loads.
func TestUnknownAndMalformedPackedLoads(t *testing.T) {
	var numbers TargetNumbers
	numbers.Set([]string{"a"})
	packed := PackLoad(map[string]int{"a": 3, "b": 4})
	load, complete := numbers.Unpack(packed)
	require.Equal(t, map[string]int{"a": 3}, load)
	require.False(t, complete)
	numbers.Set([]string{"a", "b"})
	for cut := range packed {
		_, complete = numbers.Unpack(packed[:cut])
		require.Equal(t, cut == 0 || cut == 5, complete, "%d bytes; each load takes 5", cut)
	}
	_, complete = numbers.Unpack([]byte{1, 2, 3, 4, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	require.False(t, complete)
}
