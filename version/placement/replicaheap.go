package placement

import "container/heap"

// expertReplicas is an expert and the number of replicas allocated to it.
type expertReplicas struct {
	layer, expert, count int
	load, ideal          float64
}

// timePerReplica is the time of one replica relative to the layer's ideal time.
func (e expertReplicas) timePerReplica() float64 {
	if e.ideal == 0 {
		return 0
	}
	return e.load / float64(e.count) / e.ideal
}

// replicaHeap is a max-heap of experts by time per replica.
type replicaHeap []expertReplicas

func (h replicaHeap) Len() int           { return len(h) }
func (h replicaHeap) Less(i, j int) bool { return h[i].timePerReplica() > h[j].timePerReplica() }
func (h replicaHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *replicaHeap) Push(x any) { *h = append(*h, x.(expertReplicas)) }

// Pop implements heap.Interface.
func (h *replicaHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// allocate distributes the spare slots as further replicas, with at most one
// replica of an expert per live rank.
func (h *replicaHeap) allocate(spare, live int) {
	heap.Init(h)
	var full []expertReplicas
	for spare > 0 && h.Len() > 0 {
		if (*h)[0].count >= live {
			full = append(full, heap.Pop(h).(expertReplicas))
			continue
		}
		(*h)[0].count++
		heap.Fix(h, 0)
		spare--
	}
	*h = append(*h, full...)
}
