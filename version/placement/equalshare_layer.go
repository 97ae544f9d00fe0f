package placement

import (
	"math"
	"slices"
)

// equalShareLayer is the search state of one layer. Values that depend on the
// demand are stored as matrices with one row per expert or rank and one column
// per demand.
type equalShareLayer struct {
	// weights are the weights of the demands, totalWeight is their sum.
	weights     []float64
	totalWeight float64
	// expertLoads has a row per expert. rankLoads has a row per rank: the time that
	// the rank takes for its experts' tokens. Both are normalised by the time of a
	// distribution in proportion to speed.
	expertLoads, rankLoads []float64
	// penalties holds the contribution of each of rankLoads to the imbalance.
	penalties []float64
	// slowdowns holds each rank's time per token relative to its usual one.
	slowdowns []float64
	// rankExperts lists the experts on each rank, expertRanks the ranks of each
	// expert.
	rankExperts, expertRanks [][]int
	// inCurrent tells by expert and rank what the current map holds.
	inCurrent [][]bool
	// newByRank counts the new experts of each rank, copies those of all ranks.
	newByRank []int
	copies    int
	// exhausted is set once no change improves the layer.
	exhausted bool
}

// row returns the row of an expert or rank.
func (l *equalShareLayer) row(matrix []float64, index int) []float64 {
	columns := len(l.weights)
	return matrix[index*columns : (index+1)*columns]
}

func newEqualShareLayers(in EqualShareInput, experts [][][]int) ([]*equalShareLayer, error) {
	if in.Ranks <= 0 || len(in.Loads) == 0 || len(experts) == 0 {
		return nil, ErrShapeMismatch
	}
	layers := make([]*equalShareLayer, len(experts))
	for index := range layers {
		layer, ok := newEqualShareLayer(in, index, experts[index])
		if !ok {
			return nil, ErrShapeMismatch
		}
		layers[index] = layer
	}
	return layers, nil
}

func newEqualShareLayer(in EqualShareInput, index int, rankExperts [][]int) (*equalShareLayer, bool) {
	if len(rankExperts) != in.Ranks || !in.sameShape(index) {
		return nil, false
	}
	experts := len(in.Loads[0][index])
	l := &equalShareLayer{
		rankExperts: make([][]int, in.Ranks), expertRanks: make([][]int, experts),
		inCurrent: make([][]bool, experts), newByRank: make([]int, in.Ranks), slowdowns: in.slowdowns(),
	}
	for expert := range l.inCurrent {
		l.inCurrent[expert] = make([]bool, in.Ranks)
	}
	for rank, experts := range rankExperts {
		l.rankExperts[rank] = slices.Clone(experts)
		for _, expert := range experts {
			if expert < 0 || expert >= len(l.expertRanks) || l.inCurrent[expert][rank] {
				return nil, false
			}
			l.inCurrent[expert][rank] = true
			l.expertRanks[expert] = append(l.expertRanks[expert], rank)
		}
	}
	if slices.ContainsFunc(l.expertRanks, func(ranks []int) bool { return len(ranks) == 0 }) {
		return nil, false
	}
	l.setDemands(in, index)
	return l, true
}

// sameShape reports whether all demands have the same number of experts in the
// layer.
func (in EqualShareInput) sameShape(layer int) bool {
	for _, loads := range in.Loads {
		if layer >= len(loads) || len(loads[layer]) != len(in.Loads[0][layer]) {
			return false
		}
	}
	return true
}

// slowdowns returns the ranks' slowdown factors. Factors below 1 and implausibly high
// ones become 1.
func (in EqualShareInput) slowdowns() []float64 {
	slowdowns := slices.Repeat([]float64{1}, in.Ranks)
	for rank := range min(len(in.Slowdowns), in.Ranks) {
		if slowdown := in.Slowdowns[rank]; slowdown > 1 && slowdown < maxSlowdown {
			slowdowns[rank] = slowdown
		}
	}
	return slowdowns
}

// maxSlowdown is the exclusive upper limit of plausible slowdown factors.
const maxSlowdown = 100

func (in EqualShareInput) weight(demand int) float64 {
	if demand >= len(in.DemandWeights) {
		return 1
	}
	return in.DemandWeights[demand]
}

// setDemands copies the demands that have tokens for the layer.
func (l *equalShareLayer) setDemands(in EqualShareInput, index int) {
	var demands [][]float64
	for demand, loads := range in.Loads {
		if sum(loads[index]) > 0 {
			demands = append(demands, loads[index])
			l.weights = append(l.weights, in.weight(demand))
		}
	}
	l.totalWeight = sum(l.weights)
	totalSpeed := 0.0
	for _, slowdown := range l.slowdowns {
		totalSpeed += 1 / slowdown
	}
	columns := len(demands)
	l.expertLoads = make([]float64, len(l.expertRanks)*columns)
	l.rankLoads = make([]float64, in.Ranks*columns)
	l.penalties = make([]float64, in.Ranks*columns)
	for column, loads := range demands {
		total := sum(loads)
		for expert, load := range loads {
			l.expertLoads[expert*columns+column] = load / total * totalSpeed
			for _, rank := range l.expertRanks[expert] {
				l.rankLoads[rank*columns+column] += l.slowdowns[rank] * load / total * totalSpeed / float64(len(l.expertRanks[expert]))
			}
		}
	}
	for rank := range in.Ranks {
		l.updatePenalties(rank)
	}
}

// updatePenalties recomputes a rank's penalties from its loads.
func (l *equalShareLayer) updatePenalties(rank int) {
	penalties := l.row(l.penalties, rank)
	for column, load := range l.row(l.rankLoads, rank) {
		penalties[column] = l.weights[column] * penalty(load)
	}
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// skew is the weighted mean over the demands of the most loaded rank's load.
func (l *equalShareLayer) skew() float64 {
	if len(l.weights) == 0 {
		return 1
	}
	total := 0.0
	for column, weight := range l.weights {
		most := 0.0
		for rank := range l.rankExperts {
			most = max(most, l.rankLoads[rank*len(l.weights)+column])
		}
		total += weight * most
	}
	return total / l.totalWeight
}

// penaltyExponent is the power to which a rank's load is raised. Unlike the
// maximum, a sum of powers shows progress while several ranks are equally loaded.
const penaltyExponent = 8

// penalty returns the contribution of a rank's load, normalised by the mean, to a
// layer's imbalance: its 8th power.
func penalty(load float64) float64 {
	x2 := load * load
	x4 := x2 * x2
	return x4 * x4
}

// imbalance converts a sum of penalties to a power mean of the loads, which the
// most loaded ranks dominate.
func (l *equalShareLayer) imbalance(penalties float64) float64 {
	return math.Pow(max(penalties, 0)/l.totalWeight, 1.0/penaltyExponent)
}

// penaltiesAt is the inverse of imbalance: the sum of penalties that yields it.
func (l *equalShareLayer) penaltiesAt(imbalance float64) float64 {
	return penalty(max(imbalance, 0)) * l.totalWeight
}
