package dispatch

import (
	"cmp"
	"container/heap"
	"time"
)

// Request is a request that needs a target.
type Request struct {
	Service string
	// Urgency orders the queue; lower values go first.
	Urgency int
	// Arrived is when the request arrived. QueueDeadline is when the caller of Acquire
	// cancels the wait if the request is still in the queue.
	Arrived, QueueDeadline time.Time
	// Bytes is the expected size of the request and its response; 0 if it is not known.
	Bytes float64
	// Tokens are the tokens that the request takes in a target's memory; 0 if not known.
	Tokens int
	// Tried are the targets that the request was already sent to.
	Tried []*Target
}

func (w *Request) tried(t *Target) bool {
	for _, other := range w.Tried {
		if other == t {
			return true
		}
	}
	return false
}

// Waiter is a queued request.
type Waiter struct {
	work    Request
	granted chan *Target
	// index is the position in the heap, or -1 after removal.
	index int
	// sequence orders waiters of the same urgency by arrival.
	sequence uint64
}

// Granted returns a channel that yields the granted target, once, or nil if no target can
// serve the request in time any more.
func (w *Waiter) Granted() <-chan *Target { return w.granted }

// waitQueue is a heap of waiters, ordered by urgency and then by arrival.
type waitQueue []*Waiter

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool { return compareWaiters(q[i], q[j]) < 0 }

// compareWaiters orders waiters by urgency and then by arrival.
func compareWaiters(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.work.Urgency, b.work.Urgency), cmp.Compare(a.sequence, b.sequence))
}

// ahead returns the number of waiters that go before w.
func (q waitQueue) ahead(w *Waiter) int {
	count := 0
	for _, other := range q {
		if compareWaiters(other, w) < 0 {
			count++
		}
	}
	return count
}

// Swap implements heap.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	last.index = -1
	return last
}

func (q *waitQueue) add(w *Waiter) { heap.Push(q, w) }

// remove removes a waiter. It returns false if the waiter is not in the queue.
func (q *waitQueue) remove(w *Waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
	return true
}
