package placement

import "slices"

// slotSlack is the number of slots by which a rank may, up to and including any layer,
// exceed a uniform distribution of its slots over the layers.
const slotSlack = 4

// AllocateSlots divides the memory of each rank, given as the total number of experts
// that fit, among the layers: layers with hotter experts get more slots, and in each layer the
// ranks that hold hot replicas need fewer slots than those that hold many cold ones.
// The result can be used as Input.Slots. It fails with ErrShapeMismatch or
// ErrInsufficientSlots.
func AllocateSlots(loads [][]float64, speeds []float64, memory []int) ([][]int, error) {
	if len(memory) != len(speeds) {
		return nil, ErrShapeMismatch
	}
	counts, err := allocateReplicas(loads, speeds, memory)
	if err != nil {
		return nil, err
	}
	used := make([]int, len(memory))
	slots := make([][]int, len(loads))
	for layer := range loads {
		in := Input{Loads: loads, Speeds: speeds, Slots: make([][]int, len(loads))}
		in.Slots[layer] = slotLimits(memory, used, layer, len(loads))
		s := newLayerState(&in, layer)
		if !s.placeReplicas(counts[layer]) {
			return nil, ErrInsufficientSlots
		}
		slots[layer] = s.usedSlots
		for rank, count := range s.usedSlots {
			used[rank] += count
		}
	}
	return slots, nil
}

// slotLimits returns the slots that each rank may use in a layer. It reserves one
// slot for each later layer and keeps the slots used so far within slotSlack of a
// uniform distribution over the layers.
func slotLimits(memory, used []int, layer, layers int) []int {
	slots := make([]int, len(memory))
	for rank, total := range memory {
		limit := (total*(layer+1)+layers-1)/layers + slotSlack
		slots[rank] = max(0, min(limit, total-(layers-layer-1))-used[rank])
	}
	return slots
}

// allocateReplicas gives every expert one replica and each further one to the
// expert with the longest time per replica, over all layers.
func allocateReplicas(loads [][]float64, speeds []float64, memory []int) ([][]replicaCount, error) {
	free, live := 0, 0
	for rank, slots := range memory {
		if speeds[rank] > 0 {
			free += slots
			live++
		}
	}
	var heap replicaHeap
	for layer := range loads {
		ideal := idealTime(loads[layer], speeds)
		for expert, load := range loads[layer] {
			free--
			heap = append(heap, expertReplicas{layer: layer, expert: expert, count: 1, load: load, ideal: ideal})
		}
	}
	if free < 0 {
		return nil, ErrInsufficientSlots
	}
	heap.allocate(free, live)
	counts := make([][]replicaCount, len(loads))
	for _, e := range heap {
		counts[e.layer] = append(counts[e.layer], replicaCount{expert: e.expert, count: e.count, tokens: e.load / float64(e.count)})
	}
	for _, layer := range counts {
		slices.SortStableFunc(layer, func(a, b replicaCount) int { return compare(b.tokens, a.tokens) })
	}
	return counts, nil
}
