package admit

// FairOrder orders waiting items of one class among organisations by the weighted fair
// queueing of FairQueue, for callers that manage the slots themselves. Items of one
// organisation keep their order. It is not safe for concurrent use; the zero value is not
// usable.
type FairOrder struct {
	class *classQueue
}

// FairTicket is the place of an item in a FairOrder.
type FairTicket struct {
	Value  any
	waiter Waiter
}

// NewFairOrder returns an empty order.
func NewFairOrder() *FairOrder { return &FairOrder{class: newClassQueue()} }

// Len returns the number of waiting items.
func (o *FairOrder) Len() int { return o.class.queued }

// Push appends an item of an organisation. A weight of 0 means 1.
func (o *FairOrder) Push(organisation string, weight float64, value any) *FairTicket {
	if weight <= 0 {
		weight = 1
	}
	ticket := &FairTicket{Value: value}
	ticket.waiter = Waiter{organisation: organisation, weight: weight, cost: 1, value: ticket}
	o.class.push(&ticket.waiter, 0)
	return ticket
}

// Peek returns the item that Pop would; the order must not be empty.
func (o *FairOrder) Peek() *FairTicket { return o.class.waitingFlows[0].waiting[0].value }

// Pop removes and returns the next item; the order must not be empty. The caller ends it with
// Finish, or puts it back with Return.
func (o *FairOrder) Pop() *FairTicket { return o.class.pop().value }

// Finish ends an item returned by Pop.
func (o *FairOrder) Finish(ticket *FairTicket) { o.class.finish(&ticket.waiter) }

// Return puts an item returned by Pop back in its place. Items popped one after the other are
// returned in reverse order.
func (o *FairOrder) Return(ticket *FairTicket) { o.class.unpop(&ticket.waiter) }

// Remove removes a waiting item and reports whether it was waiting.
func (o *FairOrder) Remove(ticket *FairTicket) bool { return o.class.remove(&ticket.waiter) }

// PopLongest removes and returns the newest item of the organisation with the longest queue
// relative to its weight; the order must not be empty.
func (o *FairOrder) PopLongest() *FairTicket { return o.class.popLongest().value }

// Each calls f for all waiting items, in no particular order.
func (o *FairOrder) Each(f func(*FairTicket)) {
	for _, flow := range o.class.waitingFlows {
		for _, w := range flow.waiting {
			f(w.value)
		}
	}
}
