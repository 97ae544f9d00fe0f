package placement

import "slices"

// Repair makes the map valid for the remaining ranks: it loads one replica of each
// expert that lost all of its replicas and moves nothing else. If no slot is free,
// it drops a replica of another expert that has several. It fails with ErrShapeMismatch or
// ErrInsufficientSlots.
func Repair(in Input, current *Map, workers int) (Plan, error) {
	if !in.fits(current) {
		return Plan{}, ErrShapeMismatch
	}
	return decide(in, current, workers, 0, func(s *layerState, layer Layer) ([]Move, error) {
		moves, err := s.initAndRepair(layer)
		s.balance(maxSweeps)
		return moves, err
	})
}

// initAndRepair copies the current layer and places the experts that have lost all
// replicas, heaviest first.
func (s *layerState) initAndRepair(current Layer) ([]Move, error) {
	s.initFrom(current)
	var lost []int
	for expert := range s.expertRanks {
		if len(s.expertRanks[expert]) == 0 {
			lost = append(lost, expert)
		}
	}
	slices.SortStableFunc(lost, func(a, b int) int { return compare(s.expertLoads[b], s.expertLoads[a]) })
	var moves []Move
	for _, expert := range lost {
		rank := s.findOrFreeSlot(expert)
		if rank < 0 {
			return nil, ErrInsufficientSlots
		}
		s.addReplica(expert, rank, s.expertLoads[expert])
		moves = append(moves, Move{Layer: s.layer, Expert: expert, Rank: rank})
	}
	return moves, nil
}

// findOrFreeSlot returns a rank with a free slot for the expert. If there is none, it
// drops an unpinned replica of an expert that has several, on the rank with the
// shortest time. It returns -1 if that is not possible either.
func (s *layerState) findOrFreeSlot(expert int) int {
	if rank := s.bestRank(expert, s.expertLoads[expert]); rank >= 0 {
		return rank
	}
	best, victim := -1, -1
	for _, other := range s.replicated {
		for _, rank := range s.expertRanks[other] {
			if s.pinned(other, rank) {
				continue
			}
			if best < 0 || s.rankTime(rank) < s.rankTime(best) {
				best, victim = rank, other
			}
		}
	}
	if best >= 0 {
		s.removeReplica(victim, best)
	}
	return best
}
