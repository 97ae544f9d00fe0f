package placement

import (
	"math"
	"slices"
)

// EvenInput is what a decision about a group depends on whose ranks share an
// expert's tokens evenly among those that hold it.
type EvenInput struct {
	// Loads holds the tokens by layer and expert, several times over: a map is
	// wanted that is even under each of these demands.
	Loads [][][]float64
	// Weights tell how much each demand counts; nil for all alike.
	Weights []float64
	// Paces tell how much longer than usual each rank takes for a token; nil for 1.
	Paces []float64
	// Ranks is the size of the group, Slots how many experts of a layer fit on a
	// rank, and NewPerLayer how many of them may be new to it in one map.
	Ranks, Slots, NewPerLayer int
}

// EvenSettings tune ImproveEven.
type EvenSettings struct {
	// CopyCost is the least fall of a layer's skew that each copy must bring.
	CopyCost float64
	// NewPerRank bounds the experts that a rank copies over all layers: ranks copy
	// at once, each one expert after the other.
	NewPerRank int
	// MaxSteps bounds the changes of one decision.
	MaxSteps int
}

// EvenPlan is a decision.
type EvenPlan struct {
	// Experts holds the experts of the next map by layer and rank.
	Experts [][][]int
	// Copies counts the experts that are new to a rank, CopiesMost those of the
	// rank with the most.
	Copies, CopiesMost int
	// Before and After are the means over the layers and demands of the most loaded
	// rank's tokens over the mean rank's.
	Before, After float64
}

// EvenSkew is the mean over the layers and demands of the most loaded rank's tokens over the
// mean rank's; 1 is even. It fails with ErrShape.
func EvenSkew(in EvenInput, experts [][][]int) (float64, error) {
	layers, err := newEvenLayers(in, experts)
	if err != nil {
		return 0, err
	}
	return meanSkew(layers), nil
}

// ImproveEven changes the map where that pays, a few experts at a time. It fails
// with ErrShape if the map does not fit the input.
func ImproveEven(in EvenInput, current [][][]int, settings EvenSettings) (EvenPlan, error) {
	layers, err := newEvenLayers(in, current)
	if err != nil {
		return EvenPlan{}, err
	}
	plan := EvenPlan{Before: meanSkew(layers)}
	newOnRank := make([]int, in.Ranks)
	search := evenSearch{in: in, settings: settings, newOnRank: newOnRank}
	search.run(layers)
	plan.After = meanSkew(layers)
	for _, layer := range layers {
		plan.Experts = append(plan.Experts, layer.held)
		plan.Copies += layer.copies
	}
	plan.CopiesMost = slices.Max(newOnRank)
	return plan, nil
}

func meanSkew(layers []*evenLayer) float64 {
	sum := 0.0
	for _, layer := range layers {
		sum += layer.skew()
	}
	return sum / float64(len(layers))
}

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

// evenChange gives expert another place. It loses the rank from unless that is
// none, gains the rank to unless that is none, and displaced leaves to for from,
// or for nowhere.
type evenChange struct {
	expert, from, to int
	// displaced is the expert that makes room on to, none for a free slot.
	displaced int
	// swap tells that displaced goes to from.
	swap bool
}

const none = -1

// evenSearch looks for the best changes, one after the other.
type evenSearch struct {
	in       EvenInput
	settings EvenSettings
	// newOnRank counts the new experts of each rank over all layers.
	newOnRank []int
}

// run changes the most uneven layer again and again until no change pays.
func (s *evenSearch) run(layers []*evenLayer) {
	for range s.settings.MaxSteps {
		var worst *evenLayer
		for _, layer := range layers {
			if !layer.stuck && len(layer.demands) > 0 && (worst == nil || layer.skew() > worst.skew()) {
				worst = layer
			}
		}
		if worst == nil {
			return
		}
		change, ok := s.best(worst)
		if !ok {
			worst.stuck = true
			continue
		}
		s.apply(worst, change)
	}
}

// hottest is how many of the most loaded ranks are relieved, coolest how many of
// the least loaded may take their work.
const (
	hottest = 3
	coolest = 12
)

// best returns the change that lowers the layer's unevenness most for its
// copies, if one pays.
func (s *evenSearch) best(l *evenLayer) (evenChange, bool) {
	order := l.byLoad()
	total := 0.0
	for _, d := range l.demands {
		for _, load := range d.load {
			total += d.weight * power(load)
		}
	}
	now := l.unevenness(total)
	var best evenChange
	bestGain := 0.0
	consider := func(change evenChange) {
		copies, allowed := s.copiesOf(l, change)
		if !allowed {
			return
		}
		gain := now - l.unevenness(total+l.effect(change)) - s.settings.CopyCost*float64(copies)
		if gain > bestGain {
			best, bestGain = change, gain
		}
	}
	cool := order[max(1, len(order)-coolest):]
	for _, hot := range order[:min(hottest, len(order))] {
		for _, expert := range l.held[hot] {
			l.changesOf(s.in.Slots, expert, hot, cool, consider)
		}
		if bestGain > leastGain {
			return best, true
		}
	}
	return best, bestGain > leastGain
}

// byLoad lists the ranks, the most loaded first.
func (l *evenLayer) byLoad() []int {
	weights := make([]float64, len(l.held))
	order := make([]int, len(l.held))
	for rank := range order {
		order[rank] = rank
		for _, d := range l.demands {
			weights[rank] += d.weight * power(d.load[rank])
		}
	}
	slices.SortFunc(order, func(a, b int) int { return compare(weights[b], weights[a]) })
	return order
}

// leastGain is the least gain for which the search goes on.
const leastGain = 1e-3

// changesOf lists the changes that relieve a rank of an expert.
func (l *evenLayer) changesOf(slots, expert, hot int, cool []int, consider func(evenChange)) {
	if len(l.hosts[expert]) > 1 {
		consider(evenChange{expert: expert, from: hot, to: none, displaced: none})
	}
	for _, rank := range cool {
		if rank == hot || slices.Contains(l.hosts[expert], rank) {
			continue
		}
		if len(l.held[rank]) < slots {
			consider(evenChange{expert: expert, from: none, to: rank, displaced: none})
			consider(evenChange{expert: expert, from: hot, to: rank, displaced: none})
			continue
		}
		for _, other := range l.held[rank] {
			if len(l.hosts[other]) > 1 {
				consider(evenChange{expert: expert, from: none, to: rank, displaced: other})
				consider(evenChange{expert: expert, from: hot, to: rank, displaced: other})
			}
			if !slices.Contains(l.hosts[other], hot) {
				consider(evenChange{expert: expert, from: hot, to: rank, displaced: other, swap: true})
			}
		}
	}
}

// copiesOf counts the copies that a change adds, and tells whether the ranks may
// make them.
func (s *evenSearch) copiesOf(l *evenLayer, c evenChange) (int, bool) {
	copies := 0
	add := func(expert, rank int) bool {
		if rank == none || expert == none || l.before[expert][rank] {
			return true
		}
		copies++
		return l.newOn[rank] < s.in.NewPerLayer && s.newOnRank[rank] < s.settings.NewPerRank
	}
	if !add(c.expert, c.to) {
		return 0, false
	}
	if c.swap && !add(c.displaced, c.from) {
		return 0, false
	}
	if c.from != none && !l.before[c.expert][c.from] {
		copies--
	}
	if c.displaced != none && !l.before[c.displaced][c.to] {
		copies--
	}
	return copies, true
}

// effect is by how much a change alters the sum of the ranks' weights.
func (l *evenLayer) effect(c evenChange) float64 {
	sum := 0.0
	for at := range l.demands {
		sum += l.demands[at].weight * l.effectOn(&l.demands[at], c)
	}
	return sum
}

// mostTouched bounds the ranks whose loads one change alters.
const mostTouched = 64

func (l *evenLayer) effectOn(d *evenDemand, c evenChange) float64 {
	var ranks [mostTouched]int
	var deltas [mostTouched]float64
	count := 0
	add := func(rank int, delta float64) {
		for at := range count {
			if ranks[at] == rank {
				deltas[at] += delta
				return
			}
		}
		if count < mostTouched {
			ranks[count], deltas[count] = rank, delta
			count++
		}
	}
	l.shiftAll(d, c, add)
	sum := 0.0
	for at := range count {
		load := d.load[ranks[at]]
		sum += power(max(load+deltas[at], 0)) - power(load)
	}
	return sum
}

// shiftAll tells how the ranks' loads change with a change.
func (l *evenLayer) shiftAll(d *evenDemand, c evenChange, add func(rank int, delta float64)) {
	l.shift(d, c.expert, c.from, c.to, add)
	if c.displaced != none {
		l.shift(d, c.displaced, c.to, c.displacedTo(), add)
	}
}

// displacedTo is where the displaced expert goes.
func (c evenChange) displacedTo() int {
	if c.swap {
		return c.from
	}
	return none
}

// shift tells how the ranks' loads change as an expert leaves one rank and comes
// to another.
func (l *evenLayer) shift(d *evenDemand, expert, from, to int, add func(rank int, delta float64)) {
	hosts := l.hosts[expert]
	after := len(hosts)
	if from != none {
		after--
	}
	if to != none {
		after++
	}
	old := d.loads[expert] / float64(len(hosts))
	next := d.loads[expert] / float64(after)
	for _, rank := range hosts {
		if rank == from {
			add(rank, -old*l.paces[rank])
			continue
		}
		add(rank, (next-old)*l.paces[rank])
	}
	if to != none {
		add(to, next*l.paces[to])
	}
}

// apply makes a change.
func (s *evenSearch) apply(l *evenLayer, c evenChange) {
	for at := range l.demands {
		d := &l.demands[at]
		l.shiftAll(d, c, func(rank int, delta float64) { d.load[rank] += delta })
	}
	s.place(l, c.expert, c.from, c.to)
	if c.displaced != none {
		s.place(l, c.displaced, c.to, c.displacedTo())
	}
}

func (s *evenSearch) place(l *evenLayer, expert, from, to int) {
	if from != none {
		l.hosts[expert] = without(l.hosts[expert], from)
		l.held[from] = without(l.held[from], expert)
		s.count(l, expert, from, -1)
	}
	if to != none {
		l.hosts[expert] = append(l.hosts[expert], to)
		l.held[to] = append(l.held[to], expert)
		s.count(l, expert, to, 1)
	}
}

// count notes a copy that is added or given up.
func (s *evenSearch) count(l *evenLayer, expert, rank, by int) {
	if l.before[expert][rank] {
		return
	}
	l.newOn[rank] += by
	l.copies += by
	s.newOnRank[rank] += by
}

func without(list []int, value int) []int {
	at := slices.Index(list, value)
	return slices.Delete(list, at, at+1)
}
