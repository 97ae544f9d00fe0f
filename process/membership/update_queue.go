package membership

import (
	"math/bits"
	"slices"
)

// retransmitFactor determines how many times an update is sent: the factor times the
// bit length of the number of members, which is about its binary logarithm.
const retransmitFactor = 3

// updateQueue holds the updates to disseminate. Those with the most transmissions left
// are sent first.
type updateQueue struct {
	updates []queuedUpdate
}

type queuedUpdate struct {
	update            Update
	transmissionsLeft int
}

// add queues an update and replaces an earlier one about the same member.
func (q *updateQueue) add(update Update, members int) {
	q.updates = slices.DeleteFunc(q.updates, func(queued queuedUpdate) bool { return queued.update.Name == update.Name })
	q.updates = append(q.updates, queuedUpdate{update, retransmitFactor * bits.Len(uint(members))})
}

// next returns up to limit updates and counts them as sent.
func (q *updateQueue) next(limit int) []Update {
	if len(q.updates) == 0 {
		return nil
	}
	slices.SortStableFunc(q.updates, func(a, b queuedUpdate) int { return b.transmissionsLeft - a.transmissionsLeft })
	var out []Update
	for i := range q.updates[:min(limit, len(q.updates))] {
		out = append(out, q.updates[i].update)
		q.updates[i].transmissionsLeft--
	}
	q.updates = slices.DeleteFunc(q.updates, func(queued queuedUpdate) bool { return queued.transmissionsLeft <= 0 })
	return out
}
