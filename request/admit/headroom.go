package admit

import "math"

const (
	// headroomUpdateInterval is the number of checks of an organisation over its
	// share after which the headroom is recomputed.
	headroomUpdateInterval = 64
	// maxHeadroomFraction is the largest fraction of the slots kept free.
	maxHeadroomFraction = 1.0 / 8
	// overShareDeviations is the number of standard deviations by which an
	// organisation must exceed its share to count as over it. The standard
	// deviation is taken to be the square root of the share.
	overShareDeviations = 2
)

// headroom is the number of slots reserved for organisations within their share.
// Running requests cannot be preempted, so an organisation that fills every slot
// would make each request of the others wait for a completion. The number of
// requests that the others have running varies by about its square root, which is
// therefore the number of slots kept free for them.
type headroom struct {
	slots int
	// checksLeft is the number of checks until the next update of slots.
	checksLeft int
}

// blockedByHeadroom reports whether the next request of the class must wait
// although there are free slots: its organisation is over its share, and the
// free slots are the headroom of the others. The caller holds mu.
func (q *FairQueue) blockedByHeadroom(rank int) bool {
	f := q.classes[rank].waitingFlows[0]
	if !f.isOverShare(q.slotsPerWeight(rank)) {
		return false
	}
	if q.headroom.checksLeft--; q.headroom.checksLeft < 0 {
		q.updateHeadroom()
	}
	return q.capacity-q.running <= q.headroom.slots
}

// isOverShare reports whether the flow holds more slots than its share plus the
// random variation of a flow that uses just its share.
func (f *flow) isOverShare(slotsPerWeight float64) bool {
	share := slotsPerWeight * f.weight
	return float64(f.running) > share+overShareDeviations*math.Sqrt(share)+1
}

// slotsPerWeight returns the number of slots due to a flow of weight 1 in the
// class. The caller holds mu.
func (q *FairQueue) slotsPerWeight(rank int) float64 {
	activeClassWeight := 0.0
	for other, class := range q.classes {
		if class.activeWeight > 0 {
			activeClassWeight += q.weights[other]
		}
	}
	class := q.classes[rank]
	return float64(q.capacity) * q.weights[rank] / activeClassWeight / class.activeWeight
}

// updateHeadroom recomputes the headroom from the running requests of the
// organisations within their share. The caller holds mu.
func (q *FairQueue) updateHeadroom() {
	withinShare := 0
	for rank, class := range q.classes {
		if class.activeWeight <= 0 {
			continue
		}
		slotsPerWeight := q.slotsPerWeight(rank)
		for _, f := range class.flows {
			if !f.isOverShare(slotsPerWeight) {
				withinShare += f.running
			}
		}
	}
	slots := int(math.Ceil(math.Sqrt(float64(withinShare))))
	q.headroom = headroom{slots: min(slots, int(maxHeadroomFraction*float64(q.capacity))), checksLeft: headroomUpdateInterval}
}
