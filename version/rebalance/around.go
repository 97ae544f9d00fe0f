package rebalance

import "fmt"

// HeldError means that the experts which a rank holds do not fit its group.
type HeldError struct{ Rank, Size, Layers, Experts int }

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("rank %d of %d holds %d layers of %d experts in all", e.Rank, e.Size, e.Layers, e.Experts)
}

// AroundRank returns a map, by layer and rank, that leaves a rank with what it
// holds, given by layer; the other ranks get the other experts in turn. experts is
// the number of experts in all layers. It fails with HeldError.
func AroundRank(held [][]int, rank, size, experts int) ([][][]int, error) {
	if len(held) == 0 || experts%len(held) != 0 || rank < 0 || rank >= size || size < 2 {
		return nil, &HeldError{Rank: rank, Size: size, Layers: len(held), Experts: experts}
	}
	all := make([][][]int, len(held))
	for layer, own := range held {
		all[layer] = layerAround(own, rank, size, experts/len(held))
	}
	return all, nil
}

func layerAround(own []int, rank, size, experts int) [][]int {
	ranks := make([][]int, size)
	ranks[rank] = own
	mine := make(map[int]bool, len(own))
	for _, expert := range own {
		mine[expert] = true
	}
	others := 0
	for expert := range experts {
		if mine[expert] {
			continue
		}
		other := (rank + 1 + others%(size-1)) % size
		ranks[other] = append(ranks[other], expert)
		others++
	}
	return ranks
}
