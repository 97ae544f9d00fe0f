package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// relatedScore is the minimum total weight of the two or three shared incidents
	// that make two targets related. The weight of an incident is 1 when it is new and
	// halves with each half-life.
	relatedScore = 1.5
	// maxIncidentWindows is the maximum duration of one incident, in windows, so that
	// a long series of failures does not become one incident.
	maxIncidentWindows = 3
	// maxIncidentFraction is the fraction of all targets above which an incident is no
	// evidence for a group.
	maxIncidentFraction = 0.8
)

// groups is an immutable snapshot of the groups of targets with correlated failures.
type groups struct {
	// groupOf maps each target that is in a group to the index of the group in members.
	groupOf map[string]int
	// members holds the sorted targets of each group.
	members [][]string
}

// incident is a set of failures close in time: the targets that failed and the time of
// the last failure.
type incident struct {
	targets []string
	last    time.Time
}

// groupDeriver derives groups from failures.
type groupDeriver struct {
	window   time.Duration
	halfLife time.Duration
	// targetCount is the number of all targets; 0 if unknown.
	targetCount int
}

// derive computes the groups for a set of failures at the time now. Two targets are
// related when two or three of the incidents that they share have a total weight of at
// least relatedScore. Groups are the connected components of this relation.
func (g groupDeriver) derive(failures []Failure, now time.Time) *groups {
	weights := map[string][]float64{}
	ids := map[string][]int{}
	for id, in := range g.incidents(failures) {
		weight := g.weight(in, now)
		if weight == 0 {
			continue
		}
		for _, target := range in.targets {
			weights[target] = append(weights[target], weight)
			ids[target] = append(ids[target], id)
		}
	}
	sets := newDisjointSets()
	for target, list := range ids {
		joinBySignatures(sets, target, list, weights[target])
	}
	return sets.groups()
}

// incidents partitions the failures into incidents, in order of time.
func (g groupDeriver) incidents(failures []Failure) []incident {
	ordered := slices.Clone(failures)
	slices.SortFunc(ordered, func(a, b Failure) int {
		if order := cmp.Compare(a.AtMillis, b.AtMillis); order != 0 {
			return order
		}
		return cmp.Compare(a.Target, b.Target)
	})
	var list []incident
	var start time.Time
	for _, f := range ordered {
		last := len(list) - 1
		if last >= 0 && f.at().Sub(list[last].last) <= g.window && f.at().Sub(start) <= maxIncidentWindows*g.window {
			list[last].targets = append(list[last].targets, f.Target)
			list[last].last = f.at()
			continue
		}
		start = f.at()
		list = append(list, incident{targets: []string{f.Target}, last: f.at()})
	}
	for i := range list {
		slices.Sort(list[i].targets)
		list[i].targets = slices.Compact(list[i].targets)
	}
	return list
}

// weight returns the weight of an incident as evidence at the time now; 0 if it is no
// evidence.
func (g groupDeriver) weight(in incident, now time.Time) float64 {
	if len(in.targets) < 2 {
		return 0
	}
	if g.targetCount > 0 && float64(len(in.targets)) > maxIncidentFraction*float64(g.targetCount) {
		return 0
	}
	age := max(now.Sub(in.last), 0)
	return math.Exp2(-float64(age) / float64(g.halfLife))
}

// signature holds the indices of two or three incidents, in order; the third is -1 if
// there are two.
type signature [3]int

// joinBySignatures joins the target with each target that shares two or three of its
// incidents with a total weight of at least relatedScore. The cost does not depend on the
// number of targets in an incident.
func joinBySignatures(sets *disjointSets, target string, ids []int, weights []float64) {
	for i := range ids {
		for j := range i {
			if weights[i]+weights[j] >= relatedScore {
				sets.add(signature{ids[j], ids[i], -1}, target)
				continue
			}
			for k := range j {
				if weights[i]+weights[j]+weights[k] >= relatedScore {
					sets.add(signature{ids[k], ids[j], ids[i]}, target)
				}
			}
		}
	}
}

// disjointSets is a union-find structure that joins targets with a common signature.
type disjointSets struct {
	parent map[string]string
	// first is the first target added with each signature.
	first map[signature]string
}

func newDisjointSets() *disjointSets {
	return &disjointSets{parent: map[string]string{}, first: map[signature]string{}}
}

// add joins the target with the first target of the same signature.
func (d *disjointSets) add(s signature, target string) {
	other, ok := d.first[s]
	if !ok {
		d.first[s] = target
		return
	}
	d.parent[d.root(target)] = d.root(other)
}

// root returns the representative of the target's set.
func (d *disjointSets) root(target string) string {
	for {
		parent, ok := d.parent[target]
		if !ok || parent == target {
			return target
		}
		if grandparent, ok := d.parent[parent]; ok {
			d.parent[target] = grandparent
		}
		target = parent
	}
}

// groups returns the sets with more than one target as a snapshot.
func (d *disjointSets) groups() *groups {
	byRoot := map[string][]string{}
	seen := map[string]bool{}
	for target, parent := range d.parent {
		for _, name := range []string{target, parent} {
			if !seen[name] {
				seen[name] = true
				root := d.root(name)
				byRoot[root] = append(byRoot[root], name)
			}
		}
	}
	snapshot := &groups{groupOf: map[string]int{}}
	for _, members := range byRoot {
		if len(members) > 1 {
			slices.Sort(members)
			snapshot.members = append(snapshot.members, members)
		}
	}
	slices.SortFunc(snapshot.members, func(a, b []string) int { return cmp.Compare(a[0], b[0]) })
	for id, members := range snapshot.members {
		for _, target := range members {
			snapshot.groupOf[target] = id
		}
	}
	return snapshot
}
