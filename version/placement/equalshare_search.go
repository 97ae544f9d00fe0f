package placement

import "slices"

// equalShareChange moves or replicates an expert, or drops one of its replicas.
type equalShareChange struct {
	// The replica of expert on the rank from is removed, and one on the rank to is
	// added; either rank may be none.
	expert, from, to int
	// displaced is the expert whose replica on the rank to is removed to free a slot;
	// none if no slot needs to be freed.
	displaced int
	// swap tells that displaced gets a replica on the rank from.
	swap bool
}

// none stands for no rank or no expert.
const none = -1

// equalShareSearch is a greedy search that applies the best change at each step.
type equalShareSearch struct {
	in       EqualShareInput
	settings EqualShareSettings
	// copiesByRank counts the new experts of each rank over all layers.
	copiesByRank []int
}

// run repeatedly changes the layer with the largest skew until no change pays or
// MaxSteps is reached.
func (s *equalShareSearch) run(layers []*equalShareLayer) {
	skews := make([]float64, len(layers))
	for index, layer := range layers {
		skews[index] = layer.skew()
	}
	for range s.settings.MaxSteps {
		worst := none
		for index, layer := range layers {
			if !layer.exhausted && len(layer.weights) > 0 && (worst == none || skews[index] > skews[worst]) {
				worst = index
			}
		}
		if worst == none {
			return
		}
		layer := layers[worst]
		change, ok := s.best(layer)
		if !ok {
			layer.exhausted = true
			continue
		}
		s.apply(layer, change)
		skews[worst] = layer.skew()
	}
}

// maxSources is how many of the most loaded ranks are tried as sources of a
// change, maxDestinations how many of the least loaded as destinations.
const (
	maxSources      = 3
	maxDestinations = 12
)

// best returns the change with the largest reduction of the layer's imbalance,
// net of the cost of its copies, if one pays.
func (s *equalShareSearch) best(l *equalShareLayer) (equalShareChange, bool) {
	order := l.ranksByLoad()
	total := sum(l.penalties)
	before := l.imbalance(total)
	var best equalShareChange
	bestGain := 0.0
	consider := func(change equalShareChange) {
		copies, allowed := s.copiesOf(l, change)
		if !allowed {
			return
		}
		cost := s.settings.MinGainPerCopy * float64(copies)
		after := total + l.penaltyDelta(change)
		if after >= l.penaltiesAt(before-cost-bestGain) {
			return
		}
		if gain := before - l.imbalance(after) - cost; gain > bestGain {
			best, bestGain = change, gain
		}
	}
	destinations := order[max(1, len(order)-maxDestinations):]
	for _, source := range order[:min(maxSources, len(order))] {
		for _, expert := range l.rankExperts[source] {
			l.enumerateChanges(s.in.Slots, expert, source, destinations, consider)
		}
		if bestGain > minChangeGain {
			return best, true
		}
	}
	return best, bestGain > minChangeGain
}

// ranksByLoad lists the ranks in descending order of load, measured by penalty.
func (l *equalShareLayer) ranksByLoad() []int {
	penalties := make([]float64, len(l.rankExperts))
	order := make([]int, len(l.rankExperts))
	for rank := range order {
		order[rank] = rank
		penalties[rank] = sum(l.row(l.penalties, rank))
	}
	slices.SortFunc(order, func(a, b int) int { return compare(penalties[b], penalties[a]) })
	return order
}

// minChangeGain is the gain that a change must exceed for the search to continue.
const minChangeGain = 1e-3

// enumerateChanges calls consider with each change that takes load of the expert
// off the source rank.
func (l *equalShareLayer) enumerateChanges(slots, expert, source int, destinations []int, consider func(equalShareChange)) {
	if len(l.expertRanks[expert]) > 1 {
		consider(equalShareChange{expert: expert, from: source, to: none, displaced: none})
	}
	for _, rank := range destinations {
		if rank == source || slices.Contains(l.expertRanks[expert], rank) {
			continue
		}
		if len(l.rankExperts[rank]) < slots {
			consider(equalShareChange{expert: expert, from: none, to: rank, displaced: none})
			consider(equalShareChange{expert: expert, from: source, to: rank, displaced: none})
			continue
		}
		for _, other := range l.rankExperts[rank] {
			if len(l.expertRanks[other]) > 1 {
				consider(equalShareChange{expert: expert, from: none, to: rank, displaced: other})
				consider(equalShareChange{expert: expert, from: source, to: rank, displaced: other})
			}
			if !slices.Contains(l.expertRanks[other], source) {
				consider(equalShareChange{expert: expert, from: source, to: rank, displaced: other, swap: true})
			}
		}
	}
}

// copiesOf returns the number of copies that a change adds, net of earlier copies
// that it makes unnecessary, and whether the limits of the ranks allow it.
func (s *equalShareSearch) copiesOf(l *equalShareLayer, c equalShareChange) (int, bool) {
	copies := 0
	add := func(expert, rank int) bool {
		if rank == none || expert == none || l.inCurrent[expert][rank] {
			return true
		}
		copies++
		return l.newByRank[rank] < s.in.MaxNewPerLayer && s.copiesByRank[rank] < s.settings.MaxNewPerRank
	}
	if !add(c.expert, c.to) {
		return 0, false
	}
	if c.swap && !add(c.displaced, c.from) {
		return 0, false
	}
	if c.from != none && !l.inCurrent[c.expert][c.from] {
		copies--
	}
	if c.displaced != none && !l.inCurrent[c.displaced][c.to] {
		copies--
	}
	return copies, true
}

// maxAffectedRanks bounds the ranks whose loads one change alters.
const maxAffectedRanks = 64

// loadDelta describes how a change alters the ranks' loads: the load of ranks[n]
// changes by expert[n] times expertLoads plus displaced[n] times displacedLoads.
type loadDelta struct {
	ranks                       [maxAffectedRanks]int
	expert, displaced           [maxAffectedRanks]float64
	count                       int
	expertLoads, displacedLoads []float64
}

// index returns the entry of a rank, adding it if needed; false if there is no
// room for another rank.
func (d *loadDelta) index(rank int) (int, bool) {
	for i := range d.count {
		if d.ranks[i] == rank {
			return i, true
		}
	}
	if d.count == maxAffectedRanks {
		return 0, false
	}
	d.ranks[d.count] = rank
	d.expert[d.count], d.displaced[d.count] = 0, 0
	d.count++
	return d.count - 1, true
}

func (d *loadDelta) add(factors *[maxAffectedRanks]float64, rank int, factor float64) {
	if i, ok := d.index(rank); ok {
		factors[i] += factor
	}
}

// computeDelta sets d to the load delta of a change.
func (l *equalShareLayer) computeDelta(d *loadDelta, c equalShareChange) {
	d.count = 0
	d.expertLoads = l.row(l.expertLoads, c.expert)
	d.displacedLoads = d.expertLoads
	l.addShift(d, &d.expert, c.expert, c.from, c.to)
	if c.displaced != none {
		d.displacedLoads = l.row(l.expertLoads, c.displaced)
		l.addShift(d, &d.displaced, c.displaced, c.to, c.displacedTo())
	}
}

// displacedTo is the rank that the displaced expert moves to, or none.
func (c equalShareChange) displacedTo() int {
	if c.swap {
		return c.from
	}
	return none
}

// addShift adds to factors the fraction of an expert's load that each rank gains or
// loses when the expert's replica on from is removed and one on to is added.
func (l *equalShareLayer) addShift(d *loadDelta, factors *[maxAffectedRanks]float64, expert, from, to int) {
	ranks := l.expertRanks[expert]
	after := len(ranks)
	if from != none {
		after--
	}
	if to != none {
		after++
	}
	old, next := 1/float64(len(ranks)), 1/float64(after)
	for _, rank := range ranks {
		if rank == from {
			d.add(factors, rank, -old*l.slowdowns[rank])
			continue
		}
		d.add(factors, rank, (next-old)*l.slowdowns[rank])
	}
	if to != none {
		d.add(factors, to, next*l.slowdowns[to])
	}
}

// penaltyDelta is the difference that a change makes to the sum of penalties.
func (l *equalShareLayer) penaltyDelta(c equalShareChange) float64 {
	var d loadDelta
	l.computeDelta(&d, c)
	total := 0.0
	for i := range d.count {
		load, penalties := l.row(l.rankLoads, d.ranks[i]), l.row(l.penalties, d.ranks[i])
		expert, displaced := d.expert[i], d.displaced[i]
		for column, weight := range l.weights {
			next := load[column] + expert*d.expertLoads[column] + displaced*d.displacedLoads[column]
			total += weight*penalty(max(next, 0)) - penalties[column]
		}
	}
	return total
}

func (s *equalShareSearch) apply(l *equalShareLayer, c equalShareChange) {
	var d loadDelta
	l.computeDelta(&d, c)
	for i := range d.count {
		load := l.row(l.rankLoads, d.ranks[i])
		for column := range load {
			load[column] += d.expert[i]*d.expertLoads[column] + d.displaced[i]*d.displacedLoads[column]
		}
		l.updatePenalties(d.ranks[i])
	}
	s.move(l, c.expert, c.from, c.to)
	if c.displaced != none {
		s.move(l, c.displaced, c.to, c.displacedTo())
	}
}

// move removes the expert's replica on from and adds one on to; either may be none.
func (s *equalShareSearch) move(l *equalShareLayer, expert, from, to int) {
	if from != none {
		l.expertRanks[expert] = without(l.expertRanks[expert], from)
		l.rankExperts[from] = without(l.rankExperts[from], expert)
		s.countCopy(l, expert, from, -1)
	}
	if to != none {
		l.expertRanks[expert] = append(l.expertRanks[expert], to)
		l.rankExperts[to] = append(l.rankExperts[to], expert)
		s.countCopy(l, expert, to, 1)
	}
}

// countCopy adds delta to the copy counts unless the current map already holds the
// replica.
func (s *equalShareSearch) countCopy(l *equalShareLayer, expert, rank, delta int) {
	if l.inCurrent[expert][rank] {
		return
	}
	l.newByRank[rank] += delta
	l.copies += delta
	s.copiesByRank[rank] += delta
}

func without(list []int, value int) []int {
	index := slices.Index(list, value)
	return slices.Delete(list, index, index+1)
}
