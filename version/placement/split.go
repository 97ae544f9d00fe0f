package placement

// The splits of a layer are the solution of a flow problem: route each expert's
// tokens to its replicas so that the time of the slowest rank is minimal.
// Minimising the sum of squared loads over speeds also minimises the slowest
// rank's time, because the feasible loads form a polymatroid, and it can be done
// by coordinate descent over the experts: each fill is exact for its expert, and
// sweeps of fills over all experts converge.

const (
	// maxSweeps bounds the sweeps of an exact solution.
	maxSweeps = 60
	// estimateSweeps is the number of sweeps that is enough to rank candidate changes.
	estimateSweeps = 3
	// sweepTolerance ends the sweeps once no fill changes a rank's time by more than
	// this fraction of the ideal time.
	sweepTolerance = 1e-4
)

// balance optimises the layer's splits in at most the given number of sweeps.
func (s *layerState) balance(sweeps int) {
	tolerance := sweepTolerance * s.ideal
	for range sweeps {
		largest := 0.0
		for _, expert := range s.replicated {
			largest = max(largest, s.fill(expert))
		}
		if largest <= tolerance {
			return
		}
	}
}

// fill splits one expert's tokens by water-filling: its ranks finish at the same
// time, except those that finish later even without any of its tokens. It returns the
// largest change of a rank's time.
func (s *layerState) fill(expert int) float64 {
	ranks, tokens := s.expertRanks[expert], s.replicaTokens[expert]
	for index, rank := range ranks {
		s.addTokens(rank, -tokens[index])
	}
	s.sortByFloor(ranks)
	level := s.level(ranks, s.expertLoads[expert])
	largest := 0.0
	for index, rank := range ranks {
		speed := s.in.Speeds[rank]
		next := max(0, (level-s.floor(rank))*speed/s.tokenWeight())
		change := next - tokens[index]
		largest = max(largest, max(change, -change)/speed)
		tokens[index] = next
		s.addTokens(rank, next)
	}
	return largest
}

func (s *layerState) addTokens(rank int, tokens float64) {
	s.rankTokens[rank] += tokens
	if s.totalTokens != nil {
		s.totalTokens[rank] += tokens
	}
}

// crossLayerWeight is the weight of a rank's time over all layers relative to its
// time in the layer while all layers are balanced together.
const crossLayerWeight = 0.3

// floor is the finish time of a rank without the expert that is being filled.
func (s *layerState) floor(rank int) float64 {
	if s.totalTokens == nil {
		return s.rankTokens[rank] / s.in.Speeds[rank]
	}
	return (s.rankTokens[rank] + crossLayerWeight*s.totalTokens[rank]) / s.in.Speeds[rank]
}

// tokenWeight is the time that one token adds to a rank of speed 1.
func (s *layerState) tokenWeight() float64 {
	if s.totalTokens == nil {
		return 1
	}
	return 1 + crossLayerWeight
}

// sortByFloor writes the indexes of ranks to s.fillOrder, in ascending order of
// floor.
func (s *layerState) sortByFloor(ranks []int) {
	s.fillOrder = s.fillOrder[:0]
	for index := range ranks {
		s.fillOrder = append(s.fillOrder, index)
		for i := len(s.fillOrder) - 1; i > 0; i-- {
			if s.floor(ranks[s.fillOrder[i]]) >= s.floor(ranks[s.fillOrder[i-1]]) {
				break
			}
			s.fillOrder[i], s.fillOrder[i-1] = s.fillOrder[i-1], s.fillOrder[i]
		}
	}
}

// level is the common finish time of the ranks that take tokens once all tokens
// are placed; ranks are filled in s.fillOrder.
func (s *layerState) level(ranks []int, tokens float64) float64 {
	speed, work := 0.0, tokens*s.tokenWeight()
	level := 0.0
	for i, index := range s.fillOrder {
		rank := ranks[index]
		speed += s.in.Speeds[rank]
		work += s.floor(rank) * s.in.Speeds[rank]
		level = work / speed
		if i+1 == len(s.fillOrder) || level <= s.floor(ranks[s.fillOrder[i+1]]) {
			break
		}
	}
	return level
}

// crossLayerSweeps is the number of sweeps over all layers together.
const crossLayerSweeps = 3

// balanceAcrossLayers shifts tokens between replicas so that a rank which is slow
// in some layers is fast in others.
func balanceAcrossLayers(layers []*layerState) {
	if len(layers) < 2 {
		return
	}
	total := make([]float64, len(layers[0].rankTokens))
	for _, s := range layers {
		for rank, tokens := range s.rankTokens {
			total[rank] += tokens
		}
	}
	for range crossLayerSweeps {
		for _, s := range layers {
			s.totalTokens = total
			for _, expert := range s.replicated {
				s.fill(expert)
			}
		}
	}
}
