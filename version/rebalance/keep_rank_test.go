package rebalance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMapKeepingRankKeepsItsExpertsAndPlacesAllOthers(t *testing.T) {
	held := [][]int{{4, 0}, {1, 5, 3}}
	ranks, err := MapKeepingRank(held, 1, 3, 12)
	require.NoError(t, err)
	for layer, lists := range ranks {
		require.Equal(t, held[layer], lists[1])
		seen := map[int]int{}
		for rank, list := range lists {
			require.LessOrEqual(t, len(list), 3, "rank %d", rank)
			for _, expert := range list {
				seen[expert]++
			}
		}
		require.Len(t, seen, 6)
	}
}

func TestMapKeepingRankRejectsInvalidShape(t *testing.T) {
	var shapeErr *HeldExpertsError
	for name, call := range map[string]func() ([][][]int, error){
		"no layers":     func() ([][][]int, error) { return MapKeepingRank(nil, 0, 3, 12) },
		"single rank":   func() ([][][]int, error) { return MapKeepingRank([][]int{{0}}, 0, 1, 1) },
		"uneven layers": func() ([][][]int, error) { return MapKeepingRank([][]int{{0}, {1}}, 0, 3, 5) },
		"rank too high": func() ([][][]int, error) { return MapKeepingRank([][]int{{0}}, 3, 3, 6) },
		"negative rank": func() ([][][]int, error) { return MapKeepingRank([][]int{{0}}, -1, 3, 6) },
	} {
		_, err := call()
		require.ErrorAs(t, err, &shapeErr, name)
	}
}
