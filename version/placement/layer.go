package placement

import "slices"

// layerState is the mutable state of one layer during a decision. It uses plain
// slices, so that trying a change and reverting it are cheap.
type layerState struct {
	in          *Input
	layer       int
	expertLoads []float64
	// ideal is the time of the layer if it were spread in proportion to speed.
	ideal float64
	// expertRanks holds the ranks of each expert, replicaTokens the tokens that go
	// to each of them.
	expertRanks   [][]int
	replicaTokens [][]float64
	// rankTokens holds each rank's tokens, usedSlots its occupied slots.
	rankTokens []float64
	usedSlots  []int
	// totalTokens holds each rank's tokens over all layers while the layers are
	// balanced together, nil otherwise.
	totalTokens []float64
	// replicated lists the experts with more than one replica.
	replicated []int
	// fillOrder is scratch space of fill.
	fillOrder []int
}

func newLayerState(in *Input, layer int) *layerState {
	s := &layerState{in: in, layer: layer, expertLoads: in.Loads[layer]}
	s.expertRanks = make([][]int, len(s.expertLoads))
	s.replicaTokens = make([][]float64, len(s.expertLoads))
	s.rankTokens = make([]float64, len(in.Speeds))
	s.usedSlots = make([]int, len(in.Speeds))
	s.ideal = idealTime(s.expertLoads, in.Speeds)
	return s
}

// idealTime is the time of a layer whose tokens are spread in proportion to the
// ranks' speeds.
func idealTime(loads, speeds []float64) float64 {
	total, totalSpeed := 0.0, 0.0
	for _, load := range loads {
		total += load
	}
	for _, speed := range speeds {
		totalSpeed += speed
	}
	if totalSpeed == 0 {
		return 0
	}
	return total / totalSpeed
}

// initFrom copies the replicas and splits of a map's layer. Replicas on lost ranks
// are left out; the shares of the others are scaled up to add up to 1.
func (s *layerState) initFrom(current Layer) {
	for expert, replicas := range current {
		keptShare := 0.0
		for _, replica := range replicas {
			if s.in.Speeds[replica.Rank] > 0 {
				keptShare += replica.Share
			}
		}
		for _, replica := range replicas {
			if s.in.Speeds[replica.Rank] <= 0 {
				continue
			}
			share := 1 / float64(len(replicas))
			if keptShare > 0 {
				share = replica.Share / keptShare
			}
			s.addReplica(expert, replica.Rank, share*s.expertLoads[expert])
		}
	}
}

// addReplica adds a replica of the expert that takes the given tokens.
func (s *layerState) addReplica(expert, rank int, tokens float64) {
	s.expertRanks[expert] = append(s.expertRanks[expert], rank)
	s.replicaTokens[expert] = append(s.replicaTokens[expert], tokens)
	s.rankTokens[rank] += tokens
	s.usedSlots[rank]++
	if len(s.expertRanks[expert]) == 2 {
		s.replicated = append(s.replicated, expert)
	}
}

// removeReplica removes the expert's replica from the rank. Its tokens go to the
// expert's first remaining replica, if there is one.
func (s *layerState) removeReplica(expert, rank int) {
	index := slices.Index(s.expertRanks[expert], rank)
	tokens := s.replicaTokens[expert][index]
	s.rankTokens[rank] -= tokens
	s.usedSlots[rank]--
	s.expertRanks[expert] = slices.Delete(s.expertRanks[expert], index, index+1)
	s.replicaTokens[expert] = slices.Delete(s.replicaTokens[expert], index, index+1)
	if len(s.expertRanks[expert]) == 1 {
		listed := slices.Index(s.replicated, expert)
		s.replicated = slices.Delete(s.replicated, listed, listed+1)
	}
	if len(s.expertRanks[expert]) > 0 {
		s.replicaTokens[expert][0] += tokens
		s.rankTokens[s.expertRanks[expert][0]] += tokens
	}
}

func (s *layerState) hasReplica(expert, rank int) bool {
	return slices.Contains(s.expertRanks[expert], rank)
}

// hasFreeSlot reports whether the rank is live and has room for another expert.
func (s *layerState) hasFreeSlot(rank int) bool {
	return s.in.Speeds[rank] > 0 && s.usedSlots[rank] < s.in.Slots[s.layer][rank]
}

func (s *layerState) rankTime(rank int) float64 {
	if s.in.Speeds[rank] <= 0 {
		return 0
	}
	return s.rankTokens[rank] / s.in.Speeds[rank]
}

// skew is the slowest rank's time divided by the ideal time.
func (s *layerState) skew() float64 {
	if s.ideal == 0 {
		return 1
	}
	slowest := 0.0
	for rank := range s.rankTokens {
		slowest = max(slowest, s.rankTime(rank))
	}
	return slowest / s.ideal
}

// imbalance is the speed-weighted sum of the 16th powers of the ranks' relative
// times. Unlike skew, it also shows progress while several ranks are equally slow.
func (s *layerState) imbalance() float64 {
	sum := 0.0
	for rank, speed := range s.in.Speeds {
		t := s.rankTime(rank) / s.ideal
		t *= t
		t *= t
		t *= t
		sum += speed * t * t
	}
	return sum
}

// toLayer converts the state to a Layer of a Map.
func (s *layerState) toLayer() Layer {
	layer := make(Layer, len(s.expertRanks))
	for expert, ranks := range s.expertRanks {
		replicas := make([]Replica, len(ranks))
		// The sum equals the expert's load except for rounding errors, which matter
		// if the load is close to 0.
		sum := 0.0
		for _, tokens := range s.replicaTokens[expert] {
			sum += tokens
		}
		for index, rank := range ranks {
			share := 1 / float64(len(ranks))
			if sum > 0 {
				share = s.replicaTokens[expert][index] / sum
			}
			replicas[index] = Replica{Rank: rank, Share: share}
		}
		layer[expert] = replicas
	}
	return layer
}

// copyFrom makes s equal to other and reuses the memory of s.
func (s *layerState) copyFrom(other *layerState) {
	for expert := range other.expertRanks {
		s.copyExpert(other, expert)
	}
	s.copyTotals(other)
}

func (s *layerState) copyExpert(other *layerState, expert int) {
	s.expertRanks[expert] = append(s.expertRanks[expert][:0], other.expertRanks[expert]...)
	s.replicaTokens[expert] = append(s.replicaTokens[expert][:0], other.replicaTokens[expert]...)
}

func (s *layerState) copyTotals(other *layerState) {
	s.rankTokens = append(s.rankTokens[:0], other.rankTokens...)
	s.usedSlots = append(s.usedSlots[:0], other.usedSlots...)
	s.replicated = append(s.replicated[:0], other.replicated...)
}
