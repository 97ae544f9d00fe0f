package placement

import (
	"math"
	"slices"
)

// evenLayer is one layer while it is being decided.
type evenLayer struct {
	demands []evenDemand
	// weights is the sum of the demands' weights.
	weights float64
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

// evenDemand is one demand for a layer's experts, with the ranks' loads under it.
type evenDemand struct {
	// loads holds the experts' loads, load the time that each rank takes for its
	// part, both over that of an even spread by speed.
	loads, load []float64
	// weight is how much the demand counts.
	weight float64
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
	for demand, loads := range in.Loads {
		l.addDemand(loads[at], in.Ranks, in.weight(demand))
	}
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

// addDemand adds a demand that is not empty.
func (l *evenLayer) addDemand(loads []float64, ranks int, weight float64) {
	total, speed := 0.0, 0.0
	for _, load := range loads {
		total += load
	}
	for _, pace := range l.paces {
		speed += 1 / pace
	}
	if total <= 0 {
		return
	}
	d := evenDemand{loads: make([]float64, len(loads)), load: make([]float64, ranks), weight: weight}
	l.weights += weight
	for expert, load := range loads {
		d.loads[expert] = load / total * speed
		for _, rank := range l.hosts[expert] {
			d.load[rank] += l.paces[rank] * d.loads[expert] / float64(len(l.hosts[expert]))
		}
	}
	l.demands = append(l.demands, d)
}

// skew is the mean over the demands of the most loaded rank's load.
func (l *evenLayer) skew() float64 {
	if len(l.demands) == 0 {
		return 1
	}
	sum := 0.0
	for _, d := range l.demands {
		sum += d.weight * slices.Max(d.load)
	}
	return sum / l.weights
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
	return math.Pow(max(powers, 0)/l.weights, 1.0/steepness)
}
