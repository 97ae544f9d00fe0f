package placement

import (
	"slices"
	"sync"
)

// Improve changes the current map where the gain justifies it: it moves as few weights
// as bring each layer close to balance, and changes only the splits where that is
// enough. Small gains are ignored, so that noise in the loads causes no moves. It fails
// with ErrShapeMismatch, and with ErrInsufficientSlots if ranks were lost and Repair
// cannot place their experts.
func Improve(in Input, current *Map, settings Settings) (Plan, error) {
	if !in.fits(current) {
		return Plan{}, ErrShapeMismatch
	}
	return decide(in, current, settings.Workers, settings.MinSplitGain, func(s *layerState, layer Layer) ([]Move, error) {
		return s.improve(layer, settings)
	})
}

// layerDecision decides one layer: it fills in an empty layerState, starting from the
// current layer, and returns the moves that the result needs.
type layerDecision func(s *layerState, current Layer) ([]Move, error)

// decide runs decideLayer for each layer on a few workers, then balances the
// layers together. If there are no moves, the map changes only if its skew falls
// by at least minGain.
func decide(in Input, current *Map, workers int, minGain float64, decideLayer layerDecision) (Plan, error) {
	layers := make([]*layerState, len(in.Loads))
	moves := make([][]Move, len(layers))
	errs := make([]error, len(layers))
	workers = max(1, min(workers, len(layers)))
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for layer := worker; layer < len(layers); layer += workers {
				layers[layer] = newLayerState(&in, layer)
				moves[layer], errs[layer] = decideLayer(layers[layer], current.Layers[layer])
			}
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return Plan{}, err
		}
	}
	balanceAcrossLayers(layers)
	return newPlan(in, current, layers, slices.Concat(moves...), minGain), nil
}

// newPlan builds the plan from the decided layers. It returns the current map if
// there are no moves and the skew falls by less than minGain.
func newPlan(in Input, current *Map, layers []*layerState, moves []Move, minGain float64) Plan {
	next := &Map{Layers: make([]Layer, len(layers))}
	for layer, s := range layers {
		next.Layers[layer] = s.toLayer()
	}
	plan := Plan{Map: next, Moves: moves, Changed: true}
	plan.SkewBefore, plan.SkewAfter = current.Skew(in.Loads, in.Speeds), next.Skew(in.Loads, in.Speeds)
	if len(moves) > 0 || !current.Valid(in) {
		return plan
	}
	if plan.SkewBefore.Step-plan.SkewAfter.Step < minGain && plan.SkewBefore.Barrier-plan.SkewAfter.Barrier < minGain {
		return Plan{Map: current, SkewBefore: plan.SkewBefore, SkewAfter: plan.SkewBefore}
	}
	return plan
}

// improve decides one layer. It searches for moves only if nothing had to be
// repaired and new splits alone leave the skew above settings.StartSkew.
func (s *layerState) improve(current Layer, settings Settings) ([]Move, error) {
	repairs, err := s.initAndRepair(current)
	s.balance(maxSweeps)
	if err != nil || len(repairs) > 0 || s.skew() <= settings.StartSkew {
		return repairs, err
	}
	return s.hillClimb(settings), nil
}

// hillClimb applies the best change at each step and keeps the prefix of the moves
// with the lowest skew, where each move counts as MinGain of skew.
func (s *layerState) hillClimb(settings Settings) []Move {
	best, bestCost, kept := s.clone(), s.skew(), 0
	trial, next := s.clone(), s.clone()
	var moves []Move
	nonImproving := 0
	for len(moves) < settings.MaxMoves && nonImproving < maxNonImproving && s.skew() > settings.StopSkew {
		found := s.bestChange(trial, next)
		if found == nil {
			break
		}
		s.copyFrom(next)
		s.balance(maxSweeps)
		moves = append(moves, found...)
		cost := s.skew() + settings.MinGain*float64(len(moves))
		if cost < bestCost {
			best.copyFrom(s)
			bestCost, kept, nonImproving = cost, len(moves), 0
		} else {
			nonImproving++
		}
	}
	s.copyFrom(best)
	return moves[:kept]
}

func (s *layerState) clone() *layerState {
	clone := newLayerState(s.in, s.layer)
	clone.copyFrom(s)
	return clone
}

const (
	// maxNonImproving is the number of consecutive changes without a gain after
	// which the search ends.
	maxNonImproving = 3
	// maxCandidateExperts and maxCandidateRanks bound the experts of the most loaded
	// rank and the destination ranks that are tried for one change.
	maxCandidateExperts = 3
	maxCandidateRanks   = 8
	// minRelativeGain is the fraction of the imbalance that a change must remove.
	minRelativeGain = 1e-3
)

// bestChange looks for the change that takes work off the most loaded rank with the
// largest gain per move. It leaves the resulting state in next and returns its
// moves, or nil if no change helps.
func (s *layerState) bestChange(trial, next *layerState) []Move {
	source, destinations := s.mostAndLeastLoaded()
	start := s.imbalance()
	bestGain := minRelativeGain * start
	var best []Move
	rankExperts, spares := s.expertsByRank(), s.spareReplicas()
	trial.copyFrom(s)
	for _, expert := range s.heaviestExperts(source) {
		for _, rank := range destinations {
			if s.hasReplica(expert, rank) || !s.diverseWith(expert, rank) {
				continue
			}
			for _, change := range s.changes(assignment{expert, source}, rank, rankExperts[rank], spares) {
				moves := trial.apply(change)
				trial.balance(estimateSweeps)
				gain := (start - trial.imbalance()) / float64(len(moves))
				if gain > bestGain {
					bestGain, best = gain, moves
					next.copyFrom(trial)
				}
				trial.revert(change, s)
			}
		}
	}
	return best
}

// mostAndLeastLoaded returns the live rank with the longest time and up to
// maxCandidateRanks others with the shortest.
func (s *layerState) mostAndLeastLoaded() (most int, least []int) {
	var live []int
	for rank, speed := range s.in.Speeds {
		if speed > 0 {
			live = append(live, rank)
		}
	}
	slices.SortStableFunc(live, func(a, b int) int {
		return compare(s.rankTime(a), s.rankTime(b))
	})
	most = live[len(live)-1]
	return most, live[:min(maxCandidateRanks, len(live)-1)]
}

// heaviestExperts returns up to maxCandidateExperts experts with the most tokens on the
// rank.
func (s *layerState) heaviestExperts(rank int) []int {
	var experts []int
	tokens := map[int]float64{}
	for expert, ranks := range s.expertRanks {
		if index := slices.Index(ranks, rank); index >= 0 {
			experts = append(experts, expert)
			tokens[expert] = s.replicaTokens[expert][index]
		}
	}
	slices.SortStableFunc(experts, func(a, b int) int { return compare(tokens[b], tokens[a]) })
	return experts[:min(maxCandidateExperts, len(experts))]
}

// diverseWith reports whether the expert's replicas, with one on the rank, would
// not all share one suspected cause of failure.
func (s *layerState) diverseWith(expert, rank int) bool {
	if s.in.FailureCorrelation == nil || len(s.expertRanks[expert]) == 0 {
		return true
	}
	for _, other := range s.expertRanks[expert] {
		if !s.in.FailureCorrelation.MayFailTogether(other, rank) {
			return true
		}
	}
	return false
}

func (s *layerState) pinned(expert, rank int) bool {
	return slices.Contains(s.in.Pins, Pin{Layer: s.layer, Expert: expert, Rank: rank})
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
