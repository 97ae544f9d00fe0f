package order

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/process/platform"
)

// Defaults of RecorderConfig.
const (
	// DefaultCommitsPerSecond is one entry's share of the platform's write rate
	// with four entries.
	DefaultCommitsPerSecond = 80
	// DefaultMaxBatch bounds the orders in one transaction; each takes one
	// condition and one write.
	DefaultMaxBatch = platform.MaxTxnOperations / 2
	// DefaultMaxQueue bounds the number of waiting writes.
	DefaultMaxQueue = 4096
	// DefaultMaxQueueWait bounds the time that a write waits for its
	// transaction to start.
	DefaultMaxQueueWait = 100 * time.Millisecond
	// recorderWorkers is the number of concurrent transactions.
	recorderWorkers = 4
)

// RecorderConfig sets up a Recorder; zero values mean the defaults.
type RecorderConfig struct {
	Table platform.Table
	Clock clockwork.Clock
	// CommitsPerSecond is this entry's share of the platform's write rate.
	CommitsPerSecond float64
	MaxBatch         int
	MaxQueue         int
	MaxQueueWait     time.Duration
}

// Writer writes order records; Recorder implements it.
type Writer interface {
	// Write sets a row and returns when the effect is known. If ctx ends first,
	// it returns EffectUnknown, or EffectNone if the write was never sent.
	Write(ctx context.Context, write Write) WriteResult
}

// Recorder batches the record writes of many orders into few transactions.
type Recorder struct {
	config    RecorderConfig
	clock     clockwork.Clock
	committer committer
	// wake is buffered with one token for each worker.
	wake      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	workers   sync.WaitGroup

	// batchMu lets one worker at a time wait for the pacer and take a batch; it is
	// locked before mu.
	batchMu sync.Mutex
	// mu guards everything below.
	mu    sync.Mutex
	queue writeQueue
	pacer pacer
	stats RecorderStats
}

// RecorderStats holds the counters of a Recorder.
type RecorderStats struct {
	// Writes counts the writes sent whose result was delivered, Batches the
	// batches that held them, and Rejected the writes that were never sent.
	Writes, Batches, Rejected int64
}

// NewRecorder returns a running recorder; Close stops it.
func NewRecorder(config RecorderConfig) *Recorder {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.CommitsPerSecond == 0 {
		config.CommitsPerSecond = DefaultCommitsPerSecond
	}
	if config.MaxBatch == 0 {
		config.MaxBatch = DefaultMaxBatch
	}
	if config.MaxQueue == 0 {
		config.MaxQueue = DefaultMaxQueue
	}
	if config.MaxQueueWait == 0 {
		config.MaxQueueWait = DefaultMaxQueueWait
	}
	r := &Recorder{
		config: config,
		clock:  config.Clock,
		wake:   make(chan struct{}, recorderWorkers),
		closed: make(chan struct{}),
		queue:  newWriteQueue(config.MaxQueue),
		pacer:  newPacer(config.CommitsPerSecond),
	}
	r.committer = committer{table: config.Table, sleep: r.sleep}
	r.workers.Add(recorderWorkers)
	for range recorderWorkers {
		go r.worker()
	}
	return r
}

// Close rejects the waiting writes and stops the workers once the transactions
// under way have finished.
func (r *Recorder) Close() {
	r.closeOnce.Do(func() { close(r.closed) })
	r.workers.Wait()
}

// SetCommitsPerSecond changes this entry's share of the platform's write rate, to
// follow changes in the number of entries.
func (r *Recorder) SetCommitsPerSecond(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacer.setRate(perSecond)
}

// Stats returns the current counters.
func (r *Recorder) Stats() RecorderStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Write implements Writer. A write that waits longer than MaxQueueWait is
// rejected with EffectNone.
func (r *Recorder) Write(ctx context.Context, write Write) WriteResult {
	item := &queuedWrite{write: write, since: r.clock.Now(), done: make(chan WriteResult, 1)}
	r.mu.Lock()
	pushed := r.queue.push(item)
	r.mu.Unlock()
	if !pushed {
		return r.reject(ErrQueueFull)
	}
	r.wakeWorker()
	select {
	case written := <-item.done:
		return written
	case <-r.clock.After(r.config.MaxQueueWait):
		if r.withdraw(item) {
			return r.reject(ErrQueueTimeout)
		}
	case <-ctx.Done():
		if r.withdraw(item) {
			return r.reject(ctx.Err())
		}
	case <-r.closed:
		if r.withdraw(item) {
			return r.reject(ErrQueueTimeout)
		}
	}
	return r.awaitResult(ctx, item)
}

// awaitResult waits for the result of a write whose transaction has started.
func (r *Recorder) awaitResult(ctx context.Context, item *queuedWrite) WriteResult {
	select {
	case written := <-item.done:
		return written
	case <-ctx.Done():
		return WriteResult{Effect: EffectUnknown, Cause: ctx.Err()}
	}
}

// withdraw removes a waiting write from the queue; it returns false if a
// transaction with it has started.
func (r *Recorder) withdraw(item *queuedWrite) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.remove(item)
}

func (r *Recorder) reject(cause error) WriteResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Rejected++
	return WriteResult{Effect: EffectNone, Cause: cause}
}

// wakeWorker makes a worker check the queue.
func (r *Recorder) wakeWorker() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Recorder) worker() {
	defer r.workers.Done()
	for {
		select {
		case <-r.closed:
			return
		case <-r.wake:
		}
		for r.commitBatch() {
			continue
		}
	}
}

// commitBatch sends one batch; it returns false if there was none to send.
func (r *Recorder) commitBatch() bool {
	items := r.nextBatch()
	if len(items) == 0 {
		return false
	}
	r.send(items)
	return true
}

// nextBatch waits for the pacer and then takes up to MaxBatch waiting writes.
func (r *Recorder) nextBatch() []*queuedWrite {
	r.batchMu.Lock()
	defer r.batchMu.Unlock()
	r.mu.Lock()
	if len(r.queue.waiting) == 0 {
		r.mu.Unlock()
		return nil
	}
	wait := r.pacer.reserve(r.clock.Now())
	r.mu.Unlock()
	if wait > 0 && !r.waitUnlessClosed(wait) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.take(r.config.MaxBatch)
}

// send commits one batch and delivers the results.
func (r *Recorder) send(items []*queuedWrite) {
	writes := make([]Write, 0, len(items))
	for _, item := range items {
		writes = append(writes, item.write)
	}
	results, rateLimited := r.committer.commit(context.Background(), writes)
	for i, item := range items {
		item.done <- results[i]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.release(items)
	r.stats.Batches++
	r.stats.Writes += int64(len(items))
	if rateLimited {
		r.pacer.onRateLimited()
	} else {
		r.pacer.onSuccess()
	}
	if len(r.queue.waiting) > 0 {
		r.wakeWorker()
	}
}

// waitUnlessClosed waits for the given time; it returns false as soon as the
// recorder is closed.
func (r *Recorder) waitUnlessClosed(wait time.Duration) bool {
	select {
	case <-r.clock.After(wait):
		return true
	case <-r.closed:
		return false
	}
}

func (r *Recorder) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-r.clock.After(wait):
	case <-ctx.Done():
	}
}
