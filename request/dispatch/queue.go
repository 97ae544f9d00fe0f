package dispatch

import (
	"container/heap"
	"time"
)

// Work is a request that wants a target.
type Work struct {
	Service string
	// Urgency orders what waits; 0 goes first.
	Urgency int
	// Arrived is when the request came, and GiveUp when it is refused if no target
	// has taken it.
	Arrived, GiveUp time.Time
	// Tried are the targets that it has been sent to.
	Tried []*Target
}

func (w *Work) tried(t *Target) bool {
	for _, one := range w.Tried {
		if one == t {
			return true
		}
	}
	return false
}

// Waiter is a request in the queue. Granted yields its target, once.
type Waiter struct {
	work    Work
	granted chan *Target
	index   int
	// order breaks ties in order of arrival.
	order uint64
}

// Granted yields the target that takes the request.
func (w *Waiter) Granted() <-chan *Target { return w.granted }

// waiters is a heap: the most urgent first, then the one that came first.
type waiters []*Waiter

// Len implements heap.Interface.
func (q waiters) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waiters) Less(i, j int) bool {
	if q[i].work.Urgency != q[j].work.Urgency {
		return q[i].work.Urgency < q[j].work.Urgency
	}
	return q[i].order < q[j].order
}

// Swap implements heap.Interface.
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	last.index = -1
	return last
}

func (q *waiters) add(w *Waiter) { heap.Push(q, w) }

// remove takes a waiter out; it returns false if it is not there.
func (q *waiters) remove(w *Waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
	return true
}
