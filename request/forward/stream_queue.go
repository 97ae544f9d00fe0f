package forward

import (
	"context"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/process/memory"
)

const (
	// streamOverhead is what a stream takes besides its queue, in bytes: its goroutines and the
	// buffers of two connections, as measured by the study slow-peers.
	streamOverhead = 32 << 10
	// queueSoftLimit is how many bytes of a stream may wait for the caller before the target is
	// read more slowly. A stream of 19 events has 2 to 4 KB.
	queueSoftLimit = 4 << 10
	// queueHardLimit is how many may wait before the target is not read at all.
	queueHardLimit = 128 << 10
	// unreadLimit is how long the target is not read while more than queueSoftLimit waits.
	// Targets abort responses that stay unread for some seconds.
	unreadLimit = 2 * time.Second
	// maxKeptBuffer is the largest buffer that is kept for later events.
	maxKeptBuffer = 4 << 10
)

// streamQueue writes the events of a stream to the caller on a goroutine of its own, so that
// the target is read also while the caller is slow.
type streamQueue struct {
	output *output

	// mu guards the fields below.
	mu sync.Mutex
	// queued holds the events that wait, writing is the size of those being written.
	queued  []byte
	writing int
	// err is the error of writing to the caller.
	err error
	// ended is set once no more events will be added.
	ended bool
	// slow is set while at least slowQueue bytes wait.
	slow bool

	// work and room each hold a signal after an event was added, or written; done is closed
	// when the goroutine has ended.
	work, room chan struct{}
	done       chan struct{}
}

func startStreamQueue(o *output) *streamQueue {
	q := &streamQueue{output: o, work: make(chan struct{}, 1), room: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// add adds a complete event, for flush.
func (q *streamQueue) add(event []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queued = append(q.queued, event...)
}

// flush has the added events written. While many bytes wait it blocks, for at most unreadLimit
// unless queueHardLimit is reached. It returns the error of writing earlier events, and nil when
// ctx ends.
func (q *streamQueue) flush(ctx context.Context) error {
	q.mu.Lock()
	q.account()
	q.mu.Unlock()
	signal(q.work)
	var timer *time.Timer
	for {
		size, err := q.state()
		if err != nil || size <= queueSoftLimit {
			return err
		}
		if timer == nil {
			timer = time.NewTimer(unreadLimit)
			defer timer.Stop()
		}
		expired := timer.C
		if size > queueHardLimit {
			expired = nil
		}
		select {
		case <-q.room:
		case <-expired:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// slowQueue is the size of the queue, in bytes, from which the caller counts as slow and the
// stream may be ended to free memory.
const slowQueue = queueSoftLimit / 2

// account updates what is held for the stream. The caller holds mu.
func (q *streamQueue) account() {
	size := len(q.queued) + q.writing
	if slow := size >= slowQueue; slow != q.slow {
		q.slow = slow
		q.output.allowEnd(slow)
	}
	held := max(size, cap(q.queued))
	q.output.call.held.Set(memory.Stream, int64(streamOverhead+held), q.output.handler.clock.Now())
}

// state returns the number of bytes held and the error of writing.
func (q *streamQueue) state() (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queued) + q.writing, q.err
}

// drain waits until all events have been written. It returns the error of writing them.
func (q *streamQueue) drain() error {
	q.mu.Lock()
	q.ended = true
	q.mu.Unlock()
	signal(q.work)
	<-q.done
	return q.err
}

// close ends writing at once and waits for the goroutine.
func (q *streamQueue) close() {
	select {
	case <-q.done:
		return
	default:
	}
	q.output.abort()
	_ = q.drain()
}

func (q *streamQueue) run() {
	defer close(q.done)
	var batch []byte
	for {
		var ok bool
		if batch, ok = q.take(batch); !ok {
			return
		}
		err := q.output.write(batch)
		if q.written(err) {
			return
		}
		signal(q.room)
	}
}

// take waits for events and returns all that wait. It returns false if none will come. used is
// the buffer that the previous call returned.
func (q *streamQueue) take(used []byte) ([]byte, bool) {
	for {
		q.mu.Lock()
		if len(q.queued) > 0 {
			batch := q.queued
			if cap(used) > maxKeptBuffer {
				used = nil
			}
			q.queued, q.writing = used[:0], len(batch)
			q.mu.Unlock()
			return batch, true
		}
		q.output.monitor.Idle()
		ended := q.ended
		q.mu.Unlock()
		if ended {
			return nil, false
		}
		<-q.work
	}
}

// written records that a batch was written or has failed with err. It returns true after a
// failure.
func (q *streamQueue) written(err error) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = 0
	if err != nil {
		q.err, q.queued = err, nil
		signal(q.room)
	}
	q.account()
	return err != nil
}

// signal leaves a signal in a channel of capacity 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
