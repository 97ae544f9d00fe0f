package pick

import (
	"sync/atomic"
	"time"
)

const (
	// historySlots is the number of samples kept.
	historySlots = 32
	// historyInterval is the time between samples. All slots together span the
	// delay of load reports.
	historyInterval = 250 * time.Millisecond
)

// history records this process's own work at a target over the last seconds, so
// that it can be subtracted from a delayed load report.
type history struct {
	slots [historySlots]historySlot
}

// historySlot is the work at the end of one interval. A reader that loads a slot
// during an update may see a value of the adjacent interval, which is accurate
// enough.
type historySlot struct {
	interval atomic.Int64
	inFlight atomic.Int64
	waiting  atomic.Int64
}

// record stores the work as of now.
func (h *history) record(now time.Duration, inFlight, waiting int64) {
	interval := int64(now/historyInterval) + 1
	slot := &h.slots[interval%historySlots]
	slot.interval.Store(interval)
	slot.inFlight.Store(inFlight)
	slot.waiting.Store(waiting)
}

// at returns the work at an earlier time: that of the latest recorded interval that
// is not after it, or 0 if there is none.
func (h *history) at(when time.Duration) (inFlight, waiting int64) {
	interval := int64(when/historyInterval) + 1
	for back := range int64(historySlots) {
		slot := &h.slots[(interval-back+historySlots*2)%historySlots]
		if slot.interval.Load() == interval-back && interval-back > 0 {
			return slot.inFlight.Load(), slot.waiting.Load()
		}
	}
	return 0, 0
}
