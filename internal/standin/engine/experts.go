package engine

import (
	"slices"
	"time"
)

// Replica is one copy of an expert.
type Replica struct {
	Rank int
	// Share is the fraction of the expert's tokens that the replica computes.
	Share float64
}

// ExpertMap holds the replicas of each expert, by layer and expert.
type ExpertMap [][][]Replica

// Experts describes the expert workload of a group.
type Experts struct {
	// TokensPerStep holds the tokens per step, by layer and expert.
	TokensPerStep [][]float64
	// TokensPerSecond holds the tokens per second of each rank.
	TokensPerSecond []float64
	// SlotsPerLayer is the number of experts of a layer that fit into a rank's memory.
	SlotsPerLayer int
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes int64
}

// ExpertLoad holds what a rank computed in this incarnation of the group.
type ExpertLoad struct {
	Steps int64
	// Routed counts the tokens that the rank's own sequences sent to each expert,
	// by layer and expert.
	Routed [][]int64
	// Computed counts the expert tokens that the rank computed, Busy the time
	// they took.
	Computed int64
	Busy     time.Duration
}

// expertWork holds the expert workload of a group and what each rank computed.
// It is guarded by Group.mu.
type expertWork struct {
	experts Experts
	// maps holds the expert maps by version.
	maps map[int64]ExpertMap
	// loads is indexed by rank.
	loads []ExpertLoad
}

// SetExperts sets the group's expert workload from the next step on. Map 1 holds
// one replica of each expert, assigned to the ranks round-robin.
func (g *Group) SetExperts(experts Experts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.work == nil {
		g.work = &expertWork{maps: map[int64]ExpertMap{}}
		g.work.reset(len(g.ranks))
	}
	g.work.experts = experts
	first := make(ExpertMap, len(experts.TokensPerStep))
	for layer, loads := range experts.TokensPerStep {
		for expert := range loads {
			first[layer] = append(first[layer], []Replica{{Rank: expert % len(g.ranks), Share: 1}})
		}
	}
	g.work.maps[1] = first
}

func (w *expertWork) reset(ranks int) { w.loads = make([]ExpertLoad, ranks) }

// recordStep adds the work of one step under the expert map of that version. The
// routed tokens are spread evenly over the ranks.
func (w *expertWork) recordStep(version int64) {
	expertMap := w.maps[version]
	computed := make([]float64, len(w.loads))
	for rank := range w.loads {
		load := &w.loads[rank]
		load.Steps++
		if load.Routed == nil {
			load.Routed = make([][]int64, len(w.experts.TokensPerStep))
		}
		for layer, expertTokens := range w.experts.TokensPerStep {
			if load.Routed[layer] == nil {
				load.Routed[layer] = make([]int64, len(expertTokens))
			}
			for expert, tokens := range expertTokens {
				load.Routed[layer][expert] += int64(tokens) / int64(len(w.loads))
			}
		}
	}
	for layer, experts := range expertMap {
		for expert, replicas := range experts {
			for _, replica := range replicas {
				computed[replica.Rank] += replica.Share * w.experts.TokensPerStep[layer][expert]
			}
		}
	}
	for rank, tokens := range computed {
		w.loads[rank].Computed += int64(tokens)
		w.loads[rank].Busy += time.Duration(tokens / w.experts.TokensPerSecond[rank] * float64(time.Second))
	}
}

// ExpertLoad returns what a rank computed; false if the group has no experts.
func (g *Group) ExpertLoad(index int) (ExpertLoad, Experts, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.work == nil {
		return ExpertLoad{}, Experts{}, false
	}
	load := g.work.loads[index]
	load.Routed = slices.Clone(load.Routed)
	for layer := range load.Routed {
		load.Routed[layer] = slices.Clone(load.Routed[layer])
	}
	return load, g.work.experts, true
}

// SetExpertMap sets the expert map of a version; it does nothing in a group
// without experts.
func (g *Group) SetExpertMap(version int64, expertMap ExpertMap) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.work != nil {
		g.work.maps[version] = expertMap
	}
}

// ExpertMap returns the expert map of a version; false if it is unknown.
func (g *Group) ExpertMap(version int64) (ExpertMap, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.work == nil {
		return nil, false
	}
	expertMap, found := g.work.maps[version]
	return expertMap, found
}
