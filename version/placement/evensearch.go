package placement

import "slices"

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
