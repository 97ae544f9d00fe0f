package rebalance

import "fmt"

// HeldExpertsError reports that the experts held by a rank do not fit the shape of its
// group.
type HeldExpertsError struct{ Rank, Size, Layers, Experts int }

// Error implements error.
func (e *HeldExpertsError) Error() string {
	return fmt.Sprintf("experts held by rank %d do not fit a group of %d ranks: %d layers, %d experts in all layers", e.Rank, e.Size, e.Layers, e.Experts)
}

// MapKeepingRank returns a map, by layer and rank, in which the given rank keeps the
// experts that it holds, given by layer. The remaining experts are assigned to the
// other ranks round robin. experts is the number of experts in all layers. It
// fails with HeldExpertsError.
func MapKeepingRank(held [][]int, rank, size, experts int) ([][][]int, error) {
	if len(held) == 0 || experts%len(held) != 0 || rank < 0 || rank >= size || size < 2 {
		return nil, &HeldExpertsError{Rank: rank, Size: size, Layers: len(held), Experts: experts}
	}
	layers := make([][][]int, len(held))
	for layer, kept := range held {
		layers[layer] = layerKeepingRank(kept, rank, size, experts/len(held))
	}
	return layers, nil
}

func layerKeepingRank(kept []int, rank, size, experts int) [][]int {
	ranks := make([][]int, size)
	ranks[rank] = kept
	isKept := make(map[int]bool, len(kept))
	for _, expert := range kept {
		isKept[expert] = true
	}
	assigned := 0
	for expert := range experts {
		if isKept[expert] {
			continue
		}
		other := (rank + 1 + assigned%(size-1)) % size
		ranks[other] = append(ranks[other], expert)
		assigned++
	}
	return ranks
}
