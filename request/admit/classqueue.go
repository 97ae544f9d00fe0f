package admit

import (
	"container/heap"
	"slices"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/version/table"
)

// classCount is the number of service classes.
const classCount = 3

// classOrder lists the classes from the first to be shed to the last.
var classOrder = [classCount]table.Class{table.ClassLow, table.ClassNormal, table.ClassHigh}

// defaultClassWeights are the default weights of the classes, in classOrder.
var defaultClassWeights = [classCount]float64{1, 4, 16}

// classRank returns the class's index in classOrder; an unknown class has the
// lowest.
func classRank(class table.Class) int {
	for rank, other := range classOrder {
		if other == class {
			return rank
		}
	}
	return 0
}

// classWeight returns the class's weight in weights, or 1 if it has none there. Nil
// weights mean defaultClassWeights.
func classWeight(weights map[table.Class]float64, rank int, class table.Class) float64 {
	if weights == nil {
		return defaultClassWeights[rank]
	}
	if weight := weights[class]; weight > 0 {
		return weight
	}
	return 1
}

// Waiter is one request in a FairQueue.
type Waiter struct {
	queue        *FairQueue
	organisation string
	rank         int
	weight, cost float64
	ready        chan struct{}
	// value is the ticket of a waiter in a FairOrder, otherwise nil.
	value *FairTicket

	// The queue's mu guards ended and started, and shedError until ready is
	// closed.
	ended     bool
	started   bool
	shedError *failure.Error
}

// Ready returns a channel that is closed once the request has a slot or is shed;
// Err tells which.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Err returns nil while the request waits or when it has a slot, and a
// *failure.Error of outcome NotRun once it was shed.
func (w *Waiter) Err() error {
	select {
	case <-w.ready:
	default:
		return nil
	}
	if w.shedError != nil {
		return w.shedError
	}
	return nil
}

// Release stops waiting or releases the slot. Only the first call has an effect.
func (w *Waiter) Release() { w.queue.release(w) }

// Requeue returns the slot of a request that did not run and queues the request
// again, ahead of the others of its organisation and at no additional cost. Ready
// then returns a new channel.
func (w *Waiter) Requeue() { w.queue.requeue(w) }

func newWaiter(q *FairQueue, r Request) *Waiter {
	w := &Waiter{
		queue:        q,
		organisation: r.Organisation,
		rank:         classRank(r.Class),
		weight:       r.Weight,
		cost:         r.Cost,
		ready:        make(chan struct{}),
	}
	if w.weight <= 0 {
		w.weight = 1
	}
	if w.cost <= 0 {
		w.cost = 1
	}
	return w
}

// flow holds the requests of one organisation in one class.
type flow struct {
	organisation string
	weight       float64
	waiting      []*Waiter
	// running counts its requests that hold a slot.
	running int
	// startTag is the virtual start time of its next request.
	startTag float64
	// heapIndex is its index in the heap of waiting flows, -1 when not in it.
	heapIndex int
	// inIdleList reports that the flow is in the class's list of idle flows.
	inIdleList bool
}

// isIdle reports whether the flow has no requests.
func (f *flow) isIdle() bool { return len(f.waiting) == 0 && f.running == 0 }

// weightedLength returns the length of the flow's queue divided by its weight.
func (f *flow) weightedLength() float64 { return float64(len(f.waiting)) / f.weight }

// classQueue holds the flows of one class and schedules them by start-time fair
// queueing. The FairQueue's mu guards it.
type classQueue struct {
	flows map[string]*flow
	// waitingFlows is the heap of the flows with waitingFlows requests.
	waitingFlows flowHeap
	queued       int
	running      int
	// activeWeight is the sum of the weights of the flows that have requests.
	activeWeight float64
	// virtualTime is the virtual time in the scheduling between the flows.
	virtualTime float64
	// meanCost is the smoothed cost of a request.
	meanCost float64
	// idleFlows lists idle flows whose burst allowance is not yet fully restored.
	idleFlows []*flow
	// startTag and finishTag are the class's tags in the scheduling between classes.
	startTag, finishTag float64
}

func newClassQueue() *classQueue { return &classQueue{flows: map[string]*flow{}} }

// push appends a waiter. queueVirtualTime is the FairQueue's virtual time, in the
// scheduling between classes.
func (c *classQueue) push(w *Waiter, queueVirtualTime float64) {
	if c.queued == 0 {
		c.startTag = max(c.finishTag, queueVirtualTime)
	}
	c.updateMeanCost(w.cost)
	f := c.flows[w.organisation]
	if f == nil {
		f = &flow{organisation: w.organisation, heapIndex: -1, startTag: c.virtualTime - c.burstAllowance(w.weight)}
		c.flows[w.organisation] = f
	}
	if !f.isIdle() {
		c.activeWeight -= f.weight
	}
	f.weight = w.weight
	c.activeWeight += f.weight
	f.waiting = append(f.waiting, w)
	c.queued++
	if f.heapIndex < 0 {
		f.startTag = max(f.startTag, c.virtualTime-c.burstAllowance(f.weight))
		heap.Push(&c.waitingFlows, f)
	}
}

// unpop reverts pop for a waiter that did not run.
func (c *classQueue) unpop(w *Waiter) {
	f := c.flows[w.organisation]
	f.running--
	c.running--
	f.startTag -= w.cost / f.weight
	f.waiting = slices.Insert(f.waiting, 0, w)
	c.queued++
	if f.heapIndex < 0 {
		heap.Push(&c.waitingFlows, f)
		return
	}
	heap.Fix(&c.waitingFlows, f.heapIndex)
}

const (
	// burstRequests is how many requests of mean cost an organisation that used
	// less than its share may start ahead of it.
	burstRequests = 4
	// meanCostWeight is the smoothing weight of a new request in the mean cost.
	meanCostWeight = 1.0 / 64
)

// updateMeanCost adds a request to the mean cost.
func (c *classQueue) updateMeanCost(cost float64) {
	if c.meanCost == 0 {
		c.meanCost = cost
	}
	c.meanCost += meanCostWeight * (cost - c.meanCost)
}

// burstAllowance returns how far, in virtual time, a flow's start tag may lie
// behind the virtual time.
func (c *classQueue) burstAllowance(weight float64) float64 {
	return burstRequests * c.meanCost / weight
}

// pop removes and returns the next waiter in fair order.
func (c *classQueue) pop() *Waiter {
	f := c.waitingFlows[0]
	w := f.waiting[0]
	f.waiting[0] = nil
	f.waiting = f.waiting[1:]
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag += w.cost / f.weight
	f.running++
	c.running++
	c.queued--
	c.updateHeap(f)
	return w
}

// updateHeap restores the heap after a waiter was removed from the flow, removes
// the flow from the heap if it has no other waiter, and collects idle flows.
func (c *classQueue) updateHeap(f *flow) {
	switch {
	case len(f.waiting) > 0:
		heap.Fix(&c.waitingFlows, f.heapIndex)
	case f.heapIndex >= 0:
		heap.Remove(&c.waitingFlows, f.heapIndex)
	}
	c.collectIdle(f)
}

// finish ends a running request of the waiter's flow.
func (c *classQueue) finish(w *Waiter) {
	f := c.flows[w.organisation]
	f.running--
	c.running--
	c.collectIdle(f)
}

// collectIdle adds f to the list of idle flows if it is idle, and deletes flows
// of that list whose burst allowance is fully restored. A class without requests
// deletes all its flows.
func (c *classQueue) collectIdle(f *flow) {
	if f.isIdle() {
		c.activeWeight -= f.weight
	}
	if c.queued == 0 && c.running == 0 {
		clear(c.flows)
		c.idleFlows = nil
		c.activeWeight = 0
		return
	}
	if f.isIdle() && !f.inIdleList {
		f.inIdleList = true
		c.idleFlows = append(c.idleFlows, f)
	}
	for range min(idleChecksPerRequest, len(c.idleFlows)) {
		c.checkFirstIdle()
	}
}

// idleChecksPerRequest is the number of idle flows checked for each request.
const idleChecksPerRequest = 2

// checkFirstIdle deletes the first flow in the idle list if its burst allowance
// is fully restored, or moves it to the end of the list. A flow that is no longer
// idle only leaves the list.
func (c *classQueue) checkFirstIdle() {
	f := c.idleFlows[0]
	c.idleFlows[0] = nil
	c.idleFlows = c.idleFlows[1:]
	switch {
	case !f.isIdle():
		f.inIdleList = false
	case f.startTag <= c.virtualTime-c.burstAllowance(f.weight):
		delete(c.flows, f.organisation)
	default:
		c.idleFlows = append(c.idleFlows, f)
	}
}

// remove removes a waiter from the queue and reports whether it was queued.
func (c *classQueue) remove(w *Waiter) bool {
	f := c.flows[w.organisation]
	if f == nil {
		return false
	}
	for i, other := range f.waiting {
		if other != w {
			continue
		}
		if i == 0 {
			f.waiting[0] = nil
			f.waiting = f.waiting[1:]
		} else {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
		}
		c.queued--
		c.updateHeap(f)
		return true
	}
	return false
}

// longestFlow returns the flow with the longest queue relative to its weight, or
// nil if no request waits.
func (c *classQueue) longestFlow() *flow {
	var longest *flow
	for _, f := range c.waitingFlows {
		if longest == nil || f.weightedLength() > longest.weightedLength() ||
			(f.weightedLength() == longest.weightedLength() && f.organisation < longest.organisation) {
			longest = f
		}
	}
	return longest
}

// hasLongerFlow reports whether another flow's queue is longer, relative to its
// weight, than that of w's flow would be with w.
func (c *classQueue) hasLongerFlow(w *Waiter) bool {
	own := 1 / w.weight
	if f := c.flows[w.organisation]; f != nil {
		own += f.weightedLength()
	}
	longest := c.longestFlow()
	return longest != nil && longest.organisation != w.organisation && longest.weightedLength() > own
}

// popLongest removes and returns the newest waiter of the longest flow.
func (c *classQueue) popLongest() *Waiter {
	f := c.longestFlow()
	last := len(f.waiting) - 1
	w := f.waiting[last]
	f.waiting[last] = nil
	f.waiting = f.waiting[:last]
	c.queued--
	c.updateHeap(f)
	return w
}

// flowHeap orders flows by start tag, then by organisation.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].organisation < h[j].organisation
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(item any) {
	f := item.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.heapIndex = -1
	return f
}
