package placement

import (
	"math"
	"slices"
)

// evenLayer is one layer while it is being decided. What depends on a demand lies
// in rows, one an expert or rank, with a column a demand.
type evenLayer struct {
	// weights are those of the demands, weight their sum.
	weights []float64
	weight  float64
	// loads holds the experts' rows, load those of the ranks: the time that each
	// takes for its part. Both are over that of an even spread by speed.
	loads, load []float64
	// powers holds what each load of a rank adds to the layer's unevenness.
	powers []float64
	// paces are those of the ranks.
	paces []float64
	// held lists the experts on each rank, hosts the ranks of each expert.
	held, hosts [][]int
	// before tells by expert and rank what the current map holds.
	before [][]bool
	// newOn counts the new experts of each rank, copies those of all.
	newOn  []int
	copies int
	// stuck tells that no change helps.
	stuck bool
}

// row returns the columns of an expert or rank.
func (l *evenLayer) row(of []float64, at int) []float64 {
	columns := len(l.weights)
	return of[at*columns : (at+1)*columns]
}

func newEvenLayers(in EvenInput, experts [][][]int) ([]*evenLayer, error) {
	if in.Ranks <= 0 || len(in.Loads) == 0 || len(experts) == 0 {
		return nil, ErrShape
	}
	layers := make([]*evenLayer, len(experts))
	for at := range layers {
		layer, ok := newEvenLayer(in, at, experts[at])
		if !ok {
			return nil, ErrShape
		}
		layers[at] = layer
	}
	return layers, nil
}

func newEvenLayer(in EvenInput, at int, held [][]int) (*evenLayer, bool) {
	if len(held) != in.Ranks || !in.sameShape(at) {
		return nil, false
	}
	experts := len(in.Loads[0][at])
	l := &evenLayer{
		held: make([][]int, in.Ranks), hosts: make([][]int, experts),
		before: make([][]bool, experts), newOn: make([]int, in.Ranks), paces: in.paces(),
	}
	for expert := range l.before {
		l.before[expert] = make([]bool, in.Ranks)
	}
	for rank, experts := range held {
		l.held[rank] = slices.Clone(experts)
		for _, expert := range experts {
			if expert < 0 || expert >= len(l.hosts) || l.before[expert][rank] {
				return nil, false
			}
			l.before[expert][rank] = true
			l.hosts[expert] = append(l.hosts[expert], rank)
		}
	}
	if slices.ContainsFunc(l.hosts, func(hosts []int) bool { return len(hosts) == 0 }) {
		return nil, false
	}
	l.setDemands(in, at)
	return l, true
}

// sameShape tells whether all demands have the layer with the same experts.
func (in EvenInput) sameShape(layer int) bool {
	for _, loads := range in.Loads {
		if layer >= len(loads) || len(loads[layer]) != len(in.Loads[0][layer]) {
			return false
		}
	}
	return true
}

// paces returns the ranks' paces; those that make no sense count as usual.
func (in EvenInput) paces() []float64 {
	paces := slices.Repeat([]float64{1}, in.Ranks)
	for rank := range min(len(in.Paces), in.Ranks) {
		if pace := in.Paces[rank]; pace > 1 && pace < slowest {
			paces[rank] = pace
		}
	}
	return paces
}

// slowest is the largest pace that is believed.
const slowest = 100

func (in EvenInput) weight(demand int) float64 {
	if demand >= len(in.Weights) {
		return 1
	}
	return in.Weights[demand]
}

// setDemands takes over the demands for a layer that are not empty.
func (l *evenLayer) setDemands(in EvenInput, at int) {
	var demands [][]float64
	for demand, loads := range in.Loads {
		if sum(loads[at]) > 0 {
			demands = append(demands, loads[at])
			l.weights = append(l.weights, in.weight(demand))
		}
	}
	l.weight = sum(l.weights)
	speed := 0.0
	for _, pace := range l.paces {
		speed += 1 / pace
	}
	columns := len(demands)
	l.loads = make([]float64, len(l.hosts)*columns)
	l.load = make([]float64, in.Ranks*columns)
	l.powers = make([]float64, in.Ranks*columns)
	for column, loads := range demands {
		total := sum(loads)
		for expert, load := range loads {
			l.loads[expert*columns+column] = load / total * speed
			for _, rank := range l.hosts[expert] {
				l.load[rank*columns+column] += l.paces[rank] * load / total * speed / float64(len(l.hosts[expert]))
			}
		}
	}
	for rank := range in.Ranks {
		l.setPowers(rank)
	}
}

// setPowers follows a change of a rank's loads.
func (l *evenLayer) setPowers(rank int) {
	powers := l.row(l.powers, rank)
	for column, load := range l.row(l.load, rank) {
		powers[column] = l.weights[column] * power(load)
	}
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// skew is the mean over the demands of the most loaded rank's load.
func (l *evenLayer) skew() float64 {
	if len(l.weights) == 0 {
		return 1
	}
	total := 0.0
	for column, weight := range l.weights {
		most := 0.0
		for rank := range l.held {
			most = max(most, l.load[rank*len(l.weights)+column])
		}
		total += weight * most
	}
	return total / l.weight
}

// steepness is the power by which a rank's load counts; with it, progress shows
// while several ranks are equally loaded.
const steepness = 8

// power is what a rank's load, over the mean, adds to a layer's unevenness.
func power(load float64) float64 {
	x2 := load * load
	x4 := x2 * x2
	return x4 * x4
}

// unevenness grows with the loads of the most loaded ranks.
func (l *evenLayer) unevenness(powers float64) float64 {
	return math.Pow(max(powers, 0)/l.weight, 1.0/steepness)
}

// powersAt is the sum of powers at which a layer has an unevenness.
func (l *evenLayer) powersAt(unevenness float64) float64 {
	return power(max(unevenness, 0)) * l.weight
}
