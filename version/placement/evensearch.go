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
			if !layer.stuck && len(layer.weights) > 0 && (worst == nil || layer.skew() > worst.skew()) {
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
	total := sum(l.powers)
	now := l.unevenness(total)
	var best evenChange
	bestGain := 0.0
	consider := func(change evenChange) {
		copies, allowed := s.copiesOf(l, change)
		if !allowed {
			return
		}
		price := s.settings.CopyCost * float64(copies)
		after := total + l.effect(change)
		if after >= l.powersAt(now-price-bestGain) {
			return
		}
		if gain := now - l.unevenness(after) - price; gain > bestGain {
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
		weights[rank] = sum(l.row(l.powers, rank))
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

// mostTouched bounds the ranks whose loads one change alters.
const mostTouched = 64

// touched tells how the ranks' loads change with a change: rank n's by expert[n]
// of the load of the change's expert and displaced[n] of the displaced one's.
type touched struct {
	ranks               [mostTouched]int
	expert, displaced   [mostTouched]float64
	count               int
	loads, displacedRow []float64
}

// at returns the place of a rank, false if there is none left.
func (t *touched) at(rank int) (int, bool) {
	for at := range t.count {
		if t.ranks[at] == rank {
			return at, true
		}
	}
	if t.count == mostTouched {
		return 0, false
	}
	t.ranks[t.count] = rank
	t.expert[t.count], t.displaced[t.count] = 0, 0
	t.count++
	return t.count - 1, true
}

func (t *touched) add(by *[mostTouched]float64, rank int, part float64) {
	if at, ok := t.at(rank); ok {
		by[at] += part
	}
}

// touch fills in how the ranks' loads change with a change.
func (l *evenLayer) touch(t *touched, c evenChange) {
	t.count = 0
	t.loads = l.row(l.loads, c.expert)
	t.displacedRow = t.loads
	l.shift(t, &t.expert, c.expert, c.from, c.to)
	if c.displaced != none {
		t.displacedRow = l.row(l.loads, c.displaced)
		l.shift(t, &t.displaced, c.displaced, c.to, c.displacedTo())
	}
}

// displacedTo is where the displaced expert goes.
func (c evenChange) displacedTo() int {
	if c.swap {
		return c.from
	}
	return none
}

// shift notes which part of an expert's load each rank gains or loses as it leaves
// one rank and comes to another.
func (l *evenLayer) shift(t *touched, by *[mostTouched]float64, expert, from, to int) {
	hosts := l.hosts[expert]
	after := len(hosts)
	if from != none {
		after--
	}
	if to != none {
		after++
	}
	old, next := 1/float64(len(hosts)), 1/float64(after)
	for _, rank := range hosts {
		if rank == from {
			t.add(by, rank, -old*l.paces[rank])
			continue
		}
		t.add(by, rank, (next-old)*l.paces[rank])
	}
	if to != none {
		t.add(by, to, next*l.paces[to])
	}
}

// effect is by how much a change alters the sum of the ranks' powers.
func (l *evenLayer) effect(c evenChange) float64 {
	var t touched
	l.touch(&t, c)
	total := 0.0
	for at := range t.count {
		load, powers := l.row(l.load, t.ranks[at]), l.row(l.powers, t.ranks[at])
		expert, displaced := t.expert[at], t.displaced[at]
		for column, weight := range l.weights {
			next := load[column] + expert*t.loads[column] + displaced*t.displacedRow[column]
			total += weight*power(max(next, 0)) - powers[column]
		}
	}
	return total
}

// apply makes a change.
func (s *evenSearch) apply(l *evenLayer, c evenChange) {
	var t touched
	l.touch(&t, c)
	for at := range t.count {
		load := l.row(l.load, t.ranks[at])
		for column := range load {
			load[column] += t.expert[at]*t.loads[column] + t.displaced[at]*t.displacedRow[column]
		}
		l.setPowers(t.ranks[at])
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
