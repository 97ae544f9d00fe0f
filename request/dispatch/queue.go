package dispatch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/capacity"
)

// Request is a request that needs a target.
type Request struct {
	Service string
	// Urgency orders the queue; lower values go first.
	Urgency int
	// Organisation is the organisation that shares slots with others of equal urgency; Weight
	// is its share, 0 means 1.
	Organisation string
	Weight       float64
	// Timing is when the request arrived and how much time it has. A Timing without Objective
	// means that it is never late.
	Timing capacity.Timing
	// QueueDeadline is when the request is rejected if it is still in the queue, unless
	// response times of the service and an objective are known.
	QueueDeadline time.Time
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
	// sequence orders waiters by arrival.
	sequence uint64
	// latestStart is when the request becomes late; zero for never.
	latestStart time.Time
	tier        tier
	// crowdedOut is set if it was rejected because too many late requests wait.
	crowdedOut bool
	// class and ticket are its place in the queue; nil after removal.
	class  *waitClass
	ticket *admit.FairTicket
	// index is its position in waitQueue.timely, or -1.
	index int
}

// Granted returns a channel that yields the granted target, once, or nil if no target can
// serve the request any more.
func (w *Waiter) Granted() <-chan *Target { return w.granted }

// GiveUp returns when the caller of Acquire should cancel the wait.
func (w *Waiter) GiveUp() time.Time { return w.work.QueueDeadline }

// Late reports, after Granted has yielded a target, whether the request could not be served in
// time any more by then, as far as known.
func (w *Waiter) Late() bool { return w.tier != timely }

// CrowdedOut reports, after Granted has yielded nil, whether the targets are too busy for the
// request to wait longer; otherwise no target takes it.
func (w *Waiter) CrowdedOut() bool { return w.crowdedOut }

// tier orders requests by whether they can be served in time.
type tier uint8

// Tiers.
const (
	// timely requests can still be served in time.
	timely tier = iota
	// lateReturned requests cannot. Their callers have come back after a rejection, so they
	// get some slots before less urgent requests that can.
	lateReturned
	// late requests have waited too long. They get slots that no other request needs.
	late
)

// tierOf returns the tier of a request that may wait as given.
func tierOf(work *Request, wait capacity.Wait, now time.Time) tier {
	if wait.LatestStart.IsZero() || now.Before(wait.LatestStart) {
		return timely
	}
	return work.lateTier()
}

// lateTier returns the tier of the request once it cannot be in time.
func (w *Request) lateTier() tier {
	if w.Timing.Age > 0 {
		return lateReturned
	}
	return late
}

// waitClass holds the waiters of one tier and urgency.
type waitClass struct {
	tier    tier
	urgency int
	order   *admit.FairOrder
}

// compareClasses orders classes by tier, then by urgency.
func compareClasses(tier tier, urgency int, class *waitClass) int {
	return cmp.Or(cmp.Compare(tier, class.tier), cmp.Compare(urgency, class.urgency))
}

// waitQueue holds the requests that wait for a target of a service.
type waitQueue struct {
	// classes are those with waiters, in the order in which they are served.
	classes []*waitClass
	// timely are the waiters that become late at some time, by that time.
	timely timelyHeap
	count  int
	// lateCount is the number of late waiters.
	lateCount int
}

func (q *waitQueue) len() int { return q.count }

// blocks reports whether waiters go before a new request, always or at some turns.
func (q *waitQueue) blocks(tier tier, urgency int) bool {
	if len(q.classes) == 0 {
		return false
	}
	return compareClasses(tier, urgency, q.classes[0]) >= 0 || q.returnedBefore(urgency) != nil
}

// returnedBefore returns the most urgent class of callers that came back late, if it is more
// urgent than the given urgency, otherwise nil.
func (q *waitQueue) returnedBefore(urgency int) *waitClass {
	for _, class := range q.classes {
		if class.tier == lateReturned && class.urgency < urgency && class.order.Len() > 0 {
			return class
		}
	}
	return nil
}

// waitingTimely returns the number of waiters that can be in time, by urgency.
func (q *waitQueue) waitingTimely() map[int]int {
	counts := map[int]int{}
	for _, class := range q.classes {
		if class.tier == timely {
			counts[class.urgency] = class.order.Len()
		}
	}
	return counts
}

// ahead returns the number of waiters that go before a new request. Those of other
// organisations with the same urgency all count.
func (q *waitQueue) ahead(tier tier, urgency int) int {
	count := 0
	for _, class := range q.classes {
		if compareClasses(tier, urgency, class) >= 0 {
			count += class.order.Len()
		}
	}
	return count
}

// class returns the class of an urgency, which it adds if there is none.
func (q *waitQueue) class(tier tier, urgency int) *waitClass {
	at, found := slices.BinarySearchFunc(q.classes, urgency, func(class *waitClass, urgency int) int {
		return -compareClasses(tier, urgency, class)
	})
	if !found {
		q.classes = slices.Insert(q.classes, at, &waitClass{tier: tier, urgency: urgency, order: admit.NewFairOrder()})
	}
	return q.classes[at]
}

func (q *waitQueue) add(w *Waiter) {
	w.class = q.class(w.tier, w.work.Urgency)
	w.ticket = w.class.order.Push(w.work.Organisation, w.work.Weight, w)
	w.index = -1
	q.count++
	if w.tier != timely {
		q.lateCount++
	} else if !w.latestStart.IsZero() {
		heap.Push(&q.timely, w)
	}
}

// remove removes a waiter. It returns false if the waiter is not in the queue.
func (q *waitQueue) remove(w *Waiter) bool {
	if w.class == nil || !w.class.order.Remove(w.ticket) {
		return false
	}
	q.removed(w)
	q.dropEmptyClasses()
	return true
}

// pop removes and returns the next waiter of a class, which stays even if it is empty then.
func (q *waitQueue) pop(class *waitClass) *Waiter {
	ticket := class.order.Pop()
	class.order.Finish(ticket)
	w := ticket.Value.(*Waiter)
	q.removed(w)
	return w
}

// popNewestLate removes and returns a late waiter of the least urgent kind, the newest of the
// organisation with the longest queue; nil if there is none.
func (q *waitQueue) popNewestLate() *Waiter {
	if q.lateCount == 0 {
		return nil
	}
	w := q.classes[len(q.classes)-1].order.PopLongest().Value.(*Waiter)
	q.removed(w)
	q.dropEmptyClasses()
	return w
}

// removed updates the queue after a waiter has left its class.
func (q *waitQueue) removed(w *Waiter) {
	q.count--
	if w.tier != timely {
		q.lateCount--
	}
	if w.index >= 0 {
		heap.Remove(&q.timely, w.index)
	}
	w.class, w.ticket = nil, nil
}

func (q *waitQueue) dropEmptyClasses() {
	q.classes = slices.DeleteFunc(q.classes, func(class *waitClass) bool { return class.order.Len() == 0 })
}

// nextLate returns the waiter that has become late first, or nil if none has.
func (q *waitQueue) nextLate(now time.Time) *Waiter {
	if len(q.timely) == 0 || now.Before(q.timely[0].latestStart) {
		return nil
	}
	return q.timely[0]
}

// ordered returns the waiters by class and then by arrival.
func (q *waitQueue) ordered() []*Waiter {
	var all []*Waiter
	for _, class := range q.classes {
		from := len(all)
		class.order.Each(func(ticket *admit.FairTicket) { all = append(all, ticket.Value.(*Waiter)) })
		slices.SortFunc(all[from:], func(a, b *Waiter) int { return cmp.Compare(a.sequence, b.sequence) })
	}
	return all
}

// timelyHeap orders waiters by the time at which they become late.
type timelyHeap []*Waiter

// Len implements heap.Interface.
func (h timelyHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timelyHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

// Swap implements heap.Interface.
func (h timelyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timelyHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *timelyHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = -1
	return last
}
