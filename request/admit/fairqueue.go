package admit

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/version/table"
)

// defaultQueuedPerSlot is the default bound of the queue, in requests per slot.
const defaultQueuedPerSlot = 4

// FairQueueConfig configures a FairQueue.
type FairQueueConfig struct {
	// Capacity is the number of requests that may run at once.
	Capacity int
	// MaxQueued is the maximum number of waiting requests; 0 means four times
	// Capacity.
	MaxQueued int
	// Weights are the classes' shares under contention; a class without one has
	// weight 1. Nil means 1, 4 and 16 from the lowest class up.
	Weights map[table.Class]float64
	// Clock is the time source; nil means the real clock.
	Clock clockwork.Clock
}

// Request describes a request to a FairQueue.
type Request struct {
	Organisation string
	// Class is the service class; an unknown one counts as the lowest.
	Class table.Class
	// Weight is the organisation's share within the class; 0 means 1.
	Weight float64
	// Cost is the expected work, in a unit common to all requests; 0 means 1.
	Cost float64
}

// FairQueue divides a number of slots between classes and, within a class,
// between organisations, by weighted start-time fair queueing. When the queue is
// full, it sheds the lowest class first and, within it, the organisation with the
// longest queue relative to its weight. An organisation without requests has no
// state. It is safe for concurrent use.
type FairQueue struct {
	clock   clockwork.Clock
	weights [classCount]float64

	// mu guards everything below.
	mu        sync.Mutex
	capacity  int
	maxQueued int
	// fixedMaxQueued reports that maxQueued does not follow the capacity.
	fixedMaxQueued bool
	running        int
	queued         int
	// minRank is the rank of the lowest class that is served.
	minRank int
	classes [classCount]*classQueue
	// virtualTime is the virtual time in the scheduling between the classes.
	virtualTime float64
	headroom    headroom
	completions completionRate
	shed        [classCount]uint64
}

// NewFairQueue returns an empty queue.
func NewFairQueue(cfg FairQueueConfig) *FairQueue {
	q := &FairQueue{clock: cfg.Clock, maxQueued: cfg.MaxQueued, fixedMaxQueued: cfg.MaxQueued > 0}
	if q.clock == nil {
		q.clock = clockwork.NewRealClock()
	}
	for rank, class := range classOrder {
		q.classes[rank] = newClassQueue()
		q.weights[rank] = classWeight(cfg.Weights, rank, class)
	}
	q.SetCapacity(cfg.Capacity)
	return q
}

// Acquire waits for a slot. It fails with a *failure.Error of outcome NotRun when
// the request is shed or ctx ends first. The caller must call release once the
// request has ended; later calls have no effect.
func (q *FairQueue) Acquire(ctx context.Context, r Request) (release func(), err error) {
	w, err := q.Enqueue(r)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.Ready():
	case <-ctx.Done():
		w.Release()
		return nil, failure.New(failure.DeadlineExceeded, failure.NotRun, "the deadline passed in the queue").WithCause(ctx.Err())
	}
	if w.shedError != nil {
		return nil, w.shedError
	}
	return w.Release, nil
}

// Enqueue queues a request without waiting for it. It fails with a *failure.Error
// of outcome NotRun when the request is shed at once. The caller must call Release
// on the Waiter.
func (q *FairQueue) Enqueue(r Request) (*Waiter, error) {
	w := newWaiter(q, r)
	if shed := q.push(w); shed != nil {
		return nil, shed
	}
	return w, nil
}

// push queues the waiter, or returns the error with which it is shed.
func (q *FairQueue) push(w *Waiter) *failure.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.rank < q.minRank {
		q.shed[w.rank]++
		return q.overloadError()
	}
	if q.queued >= q.maxQueued && q.running >= q.capacity && !q.makeRoom(w) {
		q.shed[w.rank]++
		return q.overloadError()
	}
	q.classes[w.rank].push(w, q.virtualTime)
	q.queued++
	q.dispatch()
	return nil
}

// makeRoom sheds one waiting request of a class below w's, or one of the same
// class from an organisation with a longer queue relative to its weight. It
// reports whether there was such a request. The caller holds mu.
func (q *FairQueue) makeRoom(w *Waiter) bool {
	for rank := range w.rank + 1 {
		class := q.classes[rank]
		if class.queued == 0 {
			continue
		}
		if rank == w.rank && !class.hasLongerFlow(w) {
			return false
		}
		q.shedWaiter(class.popLongest())
		return true
	}
	return false
}

// shedWaiter ends the wait of a request that was removed from its class queue.
// The caller holds mu.
func (q *FairQueue) shedWaiter(w *Waiter) {
	q.queued--
	q.shed[w.rank]++
	w.shedError = q.overloadError()
	close(w.ready)
}

// overloadError returns the error of a shed request. The caller holds mu.
func (q *FairQueue) overloadError() *failure.Error {
	wait := q.completions.drainTime(q.queued + 1)
	return failure.New(failure.Overloaded, failure.NotRun, "the entry sheds load").WithRetryAfter(wait)
}

// dispatch starts waiting requests while there are free slots. The caller holds
// mu.
func (q *FairQueue) dispatch() {
	for q.running < q.capacity && q.queued > 0 {
		rank := q.nextClass()
		if q.blockedByHeadroom(rank) {
			return
		}
		class := q.classes[rank]
		w := class.pop()
		q.virtualTime = max(q.virtualTime, class.startTag)
		class.finishTag = class.startTag + w.cost/q.weights[rank]
		class.startTag = class.finishTag
		q.queued--
		q.running++
		w.started = true
		close(w.ready)
	}
}

// nextClass returns the rank of the class with the smallest start tag among those
// with waiting requests; the highest class wins a tie. The caller holds mu and
// ensures that a request waits.
func (q *FairQueue) nextClass() int {
	best := -1
	for rank := classCount - 1; rank >= 0; rank-- {
		if q.classes[rank].queued == 0 {
			continue
		}
		if best < 0 || q.classes[rank].startTag < q.classes[best].startTag {
			best = rank
		}
	}
	return best
}

// release removes a waiter from the queue, or frees its slot if it has one.
func (q *FairQueue) release(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.ended || w.shedError != nil {
		return
	}
	w.ended = true
	if q.classes[w.rank].remove(w) {
		q.queued--
		return
	}
	q.running--
	q.completions.observe(q.clock.Now())
	q.classes[w.rank].finish(w)
	q.dispatch()
}

// requeue puts a request that has a slot back at the head of its organisation's
// queue.
func (q *FairQueue) requeue(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.ended || w.shedError != nil || !w.started {
		return
	}
	w.started = false
	w.ready = make(chan struct{})
	q.running--
	q.queued++
	q.classes[w.rank].unpop(w)
	q.dispatch()
}

// SetCapacity changes the number of requests that may run at once. When it
// shrinks, running requests continue.
func (q *FairQueue) SetCapacity(capacity int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = max(capacity, 0)
	q.headroom.checksLeft = 0
	if !q.fixedMaxQueued {
		q.maxQueued = max(defaultQueuedPerSlot*q.capacity, 1)
	}
	for q.queued > q.maxQueued {
		q.shedLowest()
	}
	q.dispatch()
}

// shedLowest sheds one waiting request of the lowest class that has any. The
// caller holds mu and ensures that a request waits.
func (q *FairQueue) shedLowest() {
	for _, class := range q.classes {
		if class.queued > 0 {
			q.shedWaiter(class.popLongest())
			return
		}
	}
}

// SetLowestClass sets the lowest class that is served. Requests of the classes
// below it are shed, including those that already wait. ClassLow serves all classes.
func (q *FairQueue) SetLowestClass(lowest table.Class) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.minRank = classRank(lowest)
	for rank := range q.minRank {
		for q.classes[rank].queued > 0 {
			q.shedWaiter(q.classes[rank].popLongest())
		}
	}
}

// FairQueueState is a snapshot of a queue for monitoring.
type FairQueueState struct {
	Capacity, Running, Queued int
	// Organisations counts the organisations with state in the queue, once per
	// class.
	Organisations int
	// Shed counts the requests shed, by class.
	Shed map[table.Class]uint64
}

// State returns a snapshot of the queue.
func (q *FairQueue) State() FairQueueState {
	q.mu.Lock()
	defer q.mu.Unlock()
	state := FairQueueState{Capacity: q.capacity, Running: q.running, Queued: q.queued, Shed: map[table.Class]uint64{}}
	for rank, class := range q.classes {
		state.Organisations += len(class.flows)
		state.Shed[classOrder[rank]] = q.shed[rank]
	}
	return state
}
