package link

import (
	"bytes"
	"context"
	"sync"
)

const (
	// batchBytes is the size from which a batch takes no more frames. A WebSocket
	// message is at most batchBytes plus one frame.
	batchBytes = 64 << 10
	// controlReserveBytes is the number of bytes by which control frames may exceed
	// the limit of the queue.
	controlReserveBytes = 256 << 10
	// maxPooledBufferBytes is the largest buffer returned to messageBuffers.
	maxPooledBufferBytes = 128 << 10
)

// messageBuffers holds the buffers of batches to be sent and of received messages.
var messageBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// releaseBuffer returns a buffer to messageBuffers, unless it has grown too large.
func releaseBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() > maxPooledBufferBytes {
		return
	}
	buffer.Reset()
	messageBuffers.Put(buffer)
}

// sendQueue holds encoded frames, in batches, until the writer takes them.
type sendQueue struct {
	limit   int
	version func() uint64
	// batchQueued holds a token when batches are queued.
	batchQueued chan struct{}

	mu sync.Mutex
	// space is signalled when batches are taken, and when callers of waitForSpace must
	// check their other conditions again.
	space *sync.Cond
	// urgent holds credits, pings and pongs. It is sent before data.
	urgent *bytes.Buffer
	data   []*bytes.Buffer
	// pendingBytes and pendingFrames count what is queued in urgent and data.
	pendingBytes  int
	pendingFrames uint64
	closed        bool
}

func newSendQueue(limit int, version func() uint64) *sendQueue {
	q := &sendQueue{limit: limit, version: version, batchQueued: make(chan struct{}, 1)}
	q.space = sync.NewCond(&q.mu)
	return q
}

// tryPut queues f after the data. It returns false if the queue is full.
func (q *sendQueue) tryPut(f *frame) (bool, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false, ErrClosed
	}
	if q.pendingBytes >= q.limit {
		return false, nil
	}
	return true, q.putLocked(f)
}

// put queues f after the data, even if the queue is full, up to
// controlReserveBytes over the limit.
func (q *sendQueue) put(f *frame) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return ErrClosed
	}
	if q.pendingBytes >= q.limit+controlReserveBytes {
		return &ControlQueueFullError{Limit: controlReserveBytes}
	}
	return q.putLocked(f)
}

// putUrgent queues f ahead of the data, up to batchBytes of urgent frames.
func (q *sendQueue) putUrgent(f *frame) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return ErrClosed
	}
	if q.urgent == nil {
		q.urgent = messageBuffers.Get().(*bytes.Buffer)
	}
	if q.urgent.Len() >= batchBytes {
		return &ControlQueueFullError{Limit: batchBytes}
	}
	return q.appendLocked(q.urgent, f)
}

// putLocked appends f to the last data batch, or to a new one if that is full.
func (q *sendQueue) putLocked(f *frame) error {
	last := len(q.data) - 1
	if last < 0 || q.data[last].Len() >= batchBytes {
		q.data = append(q.data, messageBuffers.Get().(*bytes.Buffer))
		last++
	}
	return q.appendLocked(q.data[last], f)
}

func (q *sendQueue) appendLocked(batch *bytes.Buffer, f *frame) error {
	f.Version = q.version()
	before := batch.Len()
	if err := appendFrame(batch, f); err != nil {
		batch.Truncate(before)
		return err
	}
	q.pendingBytes += batch.Len() - before
	q.pendingFrames++
	select {
	case q.batchQueued <- struct{}{}:
	default:
	}
	return nil
}

// take removes all queued batches and appends them to batches, the urgent one first.
// It returns the extended slice and the number of frames in the removed batches.
func (q *sendQueue) take(batches []*bytes.Buffer) ([]*bytes.Buffer, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.urgent != nil {
		batches = append(batches, q.urgent)
		q.urgent = nil
	}
	batches = append(batches, q.data...)
	clear(q.data)
	q.data = q.data[:0]
	frames := q.pendingFrames
	q.pendingBytes, q.pendingFrames = 0, 0
	q.space.Broadcast()
	return batches, frames
}

// waitForSpace blocks until the queue has space or is closed, ended returns true, or
// ctx ends.
func (q *sendQueue) waitForSpace(ctx context.Context, ended func() bool) {
	stop := context.AfterFunc(ctx, q.wakeWaiters)
	defer stop()
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.pendingBytes >= q.limit && !q.closed && !ended() && ctx.Err() == nil {
		q.space.Wait()
	}
}

// wakeWaiters makes the callers of waitForSpace check their conditions again.
func (q *sendQueue) wakeWaiters() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.space.Broadcast()
}

func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.space.Broadcast()
}
