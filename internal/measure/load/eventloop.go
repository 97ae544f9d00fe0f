package load

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// eventLoop runs events in order of time, and advances a fake clock with them.
type eventLoop struct {
	now      time.Duration
	clock    *clockwork.FakeClock
	events   eventHeap
	sequence uint64
}

// newEventLoop returns an empty loop at time zero.
func newEventLoop() *eventLoop { return &eventLoop{clock: clockwork.NewFakeClock()} }

// after schedules f to run after the duration d.
func (l *eventLoop) after(d time.Duration, f func()) {
	l.sequence++
	heap.Push(&l.events, event{at: l.now + max(d, 0), sequence: l.sequence, run: f})
}

// every schedules f to run once in each period, for the first time after one period.
func (l *eventLoop) every(period time.Duration, f func()) {
	l.after(period, func() {
		f()
		l.every(period, f)
	})
}

// runUntil runs the events up to a time and advances the clock to it.
func (l *eventLoop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		if e.at > l.now {
			l.clock.Advance(e.at - l.now)
			l.now = e.at
		}
		e.run()
	}
	if end > l.now {
		l.clock.Advance(end - l.now)
		l.now = end
	}
}

// event is a scheduled function. sequence orders events of the same time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap is a heap of events ordered by time.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(item any) { *h = append(*h, item.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
