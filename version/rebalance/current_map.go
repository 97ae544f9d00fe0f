package rebalance

import (
	"slices"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// learnCurrent determines the contents of the map in use. It returns false while
// they are not known, while the ranks report different maps, or while a rank is
// armed to switch.
func (p *Planner) learnCurrent() bool {
	running := p.members[p.rank].status.Running
	if !p.allRanks(func(s Status) bool { return s.Running == running && s.Armed == 0 }) {
		return false
	}
	if p.current != nil && p.current.ID.Number() == running && !p.currentContradicted() {
		return true
	}
	p.current = nil
	experts := make([][][]int, p.experts.Sets)
	for layer := range experts {
		experts[layer] = make([][]int, p.size)
		for rank, m := range p.members {
			if len(m.held) != p.experts.Sets {
				return false
			}
			experts[layer][rank] = slices.Clone(m.held[layer])
		}
	}
	p.current = &Map{ID: expertmap.MapIDFromNumber(running), Experts: experts}
	p.current.sort()
	p.currentSum, p.currentMade = p.current.Sum(), false
	return true
}

// currentContradicted reports whether a rank uses other contents than those of the map in use
// that this planner made. Contents that the ranks reported as held are not doubted.
func (p *Planner) currentContradicted() bool {
	if !p.currentMade {
		return false
	}
	number := p.current.ID.Number()
	return slices.ContainsFunc(p.members, func(m *member) bool { return m.contradicts(number, p.currentSum) })
}
