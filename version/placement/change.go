package placement

import "slices"

// change is a set of replica removals and additions that are applied together.
type change struct {
	// drops are removed first, then adds are loaded.
	drops, adds []assignment
}

// assignment places an expert on a rank.
type assignment struct {
	expert, rank int
}

// changes lists the ways to shift some load of the heavy assignment from its rank,
// the source, to the destination. destinationExperts lists the experts on the
// destination, spares the replicas that can be dropped to free slots on other ranks.
func (s *layerState) changes(heavy assignment, destination int, destinationExperts []int, spares []assignment) []change {
	expert, source := heavy.expert, heavy.rank
	add := assignment{expert, destination}
	if s.hasFreeSlot(destination) {
		return []change{{adds: []assignment{add}}}
	}
	var all []change
	for _, other := range destinationExperts {
		if s.pinned(other, destination) {
			continue
		}
		drop := assignment{other, destination}
		if len(s.expertRanks[other]) > 1 {
			if s.diverseWithout(other, destination) {
				all = append(all, change{drops: []assignment{drop}, adds: []assignment{add}})
			}
			continue
		}
		if !s.hasReplica(other, source) && !s.pinned(expert, source) {
			all = append(all, change{
				drops: []assignment{drop, {expert, source}},
				adds:  []assignment{add, {other, source}},
			})
		}
		if free := s.leastLoadedFreeRank(other); free >= 0 && free != destination {
			all = append(all, change{drops: []assignment{drop}, adds: []assignment{add, {other, free}}})
			continue
		}
		for _, spare := range spares {
			if spare.rank == destination || s.hasReplica(other, spare.rank) || spare.expert == expert {
				continue
			}
			all = append(all, change{drops: []assignment{drop, spare}, adds: []assignment{add, {other, spare.rank}}})
		}
	}
	return all
}

// maxSpares bounds the replicas that are tried to free a slot.
const maxSpares = 3

// spareReplicas lists the maxSpares replicas with the fewest tokens among those
// that can be dropped because their experts have other replicas.
func (s *layerState) spareReplicas() []assignment {
	var spares []assignment
	var tokens []float64
	for _, expert := range s.replicated {
		for index, rank := range s.expertRanks[expert] {
			if s.pinned(expert, rank) || !s.diverseWithout(expert, rank) {
				continue
			}
			position := len(spares)
			for position > 0 && tokens[position-1] > s.replicaTokens[expert][index] {
				position--
			}
			if position >= maxSpares {
				continue
			}
			spares = slices.Insert(spares, position, assignment{expert, rank})[:min(maxSpares, len(spares)+1)]
			tokens = slices.Insert(tokens, position, s.replicaTokens[expert][index])[:len(spares)]
		}
	}
	return spares
}

// diverseWithout reports whether the expert's replicas, without the one on the
// excluded rank, do not all share one suspected cause of failure. A single
// remaining replica is always accepted, as its rank was chosen by an earlier
// decision.
func (s *layerState) diverseWithout(expert, excluded int) bool {
	if s.in.FailureCorrelation == nil || len(s.expertRanks[expert]) == 2 {
		return true
	}
	var remaining []int
	for _, rank := range s.expertRanks[expert] {
		if rank != excluded {
			remaining = append(remaining, rank)
		}
	}
	for _, rank := range remaining[1:] {
		if !s.in.FailureCorrelation.MayFailTogether(remaining[0], rank) {
			return true
		}
	}
	return false
}

// expertsByRank lists the experts on each rank.
func (s *layerState) expertsByRank() [][]int {
	rankExperts := make([][]int, len(s.rankTokens))
	for expert, ranks := range s.expertRanks {
		for _, rank := range ranks {
			rankExperts[rank] = append(rankExperts[rank], expert)
		}
	}
	return rankExperts
}

// leastLoadedFreeRank is the rank with the shortest time among those with a free slot
// and no replica of the expert, or -1.
func (s *layerState) leastLoadedFreeRank(expert int) int {
	best := -1
	for rank := range s.rankTokens {
		if !s.hasFreeSlot(rank) || s.hasReplica(expert, rank) {
			continue
		}
		if best < 0 || s.rankTime(rank) < s.rankTime(best) {
			best = rank
		}
	}
	return best
}

// apply makes the change and returns the weight moves that it needs.
func (s *layerState) apply(c change) []Move {
	for _, drop := range c.drops {
		s.removeReplica(drop.expert, drop.rank)
	}
	var moves []Move
	for _, add := range c.adds {
		tokens := 0.0
		if len(s.expertRanks[add.expert]) == 0 {
			tokens = s.expertLoads[add.expert]
		}
		s.addReplica(add.expert, add.rank, tokens)
		moves = append(moves, Move{Layer: s.layer, Expert: add.expert, Rank: add.rank})
	}
	return moves
}

// revert undoes the change and the balancing after it. s was a copy of original
// before the change was applied.
func (s *layerState) revert(c change, original *layerState) {
	for _, expert := range s.replicated {
		s.copyExpert(original, expert)
	}
	for _, expert := range original.replicated {
		s.copyExpert(original, expert)
	}
	for _, drop := range c.drops {
		s.copyExpert(original, drop.expert)
	}
	for _, add := range c.adds {
		s.copyExpert(original, add.expert)
	}
	s.copyTotals(original)
}
