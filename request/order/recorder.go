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
	// DefaultCommitsPerSecond is an entry's share of the platform's writes with
	// four entries.
	DefaultCommitsPerSecond = 80
	// DefaultMaxBatch is the number of orders in one transaction; each takes a
	// condition and a write.
	DefaultMaxBatch = platform.MostEntries / 2
	// DefaultMaxQueue bounds the writes that wait.
	DefaultMaxQueue = 4096
	// DefaultQueuePatience bounds a write's wait for its transaction.
	DefaultQueuePatience = 100 * time.Millisecond
	// recorderWorkers is the number of transactions under way at once.
	recorderWorkers = 4
)

// RecorderConfig sets up a Recorder; zero values mean the defaults.
type RecorderConfig struct {
	Table platform.Table
	Clock clockwork.Clock
	// CommitsPerSecond is this entry's share of the platform's writes.
	CommitsPerSecond float64
	MaxBatch         int
	MaxQueue         int
	QueuePatience    time.Duration
}

// Writer writes order records; a Recorder is one.
type Writer interface {
	// Write sets a row; it returns when its effect is decided, or EffectUnknown
	// when ctx ends before.
	Write(ctx context.Context, write Write) Written
}

// Recorder batches record writes of many orders into few transactions.
type Recorder struct {
	config    RecorderConfig
	clock     clockwork.Clock
	committer committer
	// wake has room for one token for each worker.
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once
	wait   sync.WaitGroup

	// gather lets one worker at a time wait for its turn and take a batch; it is
	// locked before mu.
	gather sync.Mutex
	// mu guards everything below.
	mu    sync.Mutex
	queue queue
	pacer pacer
	stats RecorderStats
}

// RecorderStats count what a Recorder did.
type RecorderStats struct {
	// Writes counts writes decided, Batches the batches they went in, Refused
	// the writes that were never sent.
	Writes, Batches, Refused int64
}

// NewRecorder starts a recorder; Close stops it.
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
	if config.QueuePatience == 0 {
		config.QueuePatience = DefaultQueuePatience
	}
	r := &Recorder{
		config: config,
		clock:  config.Clock,
		wake:   make(chan struct{}, recorderWorkers),
		closed: make(chan struct{}),
		queue:  newQueue(config.MaxQueue),
		pacer:  newPacer(config.CommitsPerSecond),
	}
	r.committer = committer{table: config.Table, sleep: r.sleep}
	r.wait.Add(recorderWorkers)
	for range recorderWorkers {
		go r.work()
	}
	return r
}

// Close ends the workers after the transactions under way; writes that wait are
// refused.
func (r *Recorder) Close() {
	r.once.Do(func() { close(r.closed) })
	r.wait.Wait()
}

// SetCommitsPerSecond changes this entry's share of the platform's writes, as
// entries come and go.
func (r *Recorder) SetCommitsPerSecond(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacer.setRate(share)
}

// Stats returns what was counted so far.
func (r *Recorder) Stats() RecorderStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Write implements Writer. A write that waits longer than the queue's patience
// is refused with no effect.
func (r *Recorder) Write(ctx context.Context, write Write) Written {
	item := &queued{write: write, since: r.clock.Now(), done: make(chan Written, 1)}
	r.mu.Lock()
	pushed := r.queue.push(item)
	r.mu.Unlock()
	if !pushed {
		return r.refuse(ErrQueueFull)
	}
	r.signal()
	select {
	case written := <-item.done:
		return written
	case <-r.clock.After(r.config.QueuePatience):
		if r.takeBack(item) {
			return r.refuse(ErrQueueSlow)
		}
	case <-ctx.Done():
		if r.takeBack(item) {
			return r.refuse(ctx.Err())
		}
	case <-r.closed:
		if r.takeBack(item) {
			return r.refuse(ErrQueueSlow)
		}
	}
	return r.await(ctx, item)
}

// await waits for the end of a transaction that has started.
func (r *Recorder) await(ctx context.Context, item *queued) Written {
	select {
	case written := <-item.done:
		return written
	case <-ctx.Done():
		return Written{Effect: EffectUnknown, Cause: ctx.Err()}
	}
}

func (r *Recorder) takeBack(item *queued) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.remove(item)
}

func (r *Recorder) refuse(cause error) Written {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Refused++
	return Written{Effect: EffectNone, Cause: cause}
}

func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Recorder) work() {
	defer r.wait.Done()
	for {
		select {
		case <-r.closed:
			return
		case <-r.wake:
		}
		for r.commitOnce() {
			continue
		}
	}
}

// commitOnce sends one batch; it returns false if nothing waits.
func (r *Recorder) commitOnce() bool {
	items := r.nextBatch()
	if len(items) == 0 {
		return false
	}
	r.send(items)
	return true
}

// nextBatch waits for the pacer and takes what waits by then.
func (r *Recorder) nextBatch() []*queued {
	r.gather.Lock()
	defer r.gather.Unlock()
	r.mu.Lock()
	if len(r.queue.waiting) == 0 {
		r.mu.Unlock()
		return nil
	}
	pause := r.pacer.reserve(r.clock.Now())
	r.mu.Unlock()
	if pause > 0 && !r.pause(pause) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.take(r.config.MaxBatch)
}

func (r *Recorder) send(items []*queued) {
	writes := make([]Write, 0, len(items))
	for _, item := range items {
		writes = append(writes, item.write)
	}
	results, limited := r.committer.commit(context.Background(), writes)
	for i, item := range items {
		item.done <- results[i]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.release(items)
	r.stats.Batches++
	r.stats.Writes += int64(len(items))
	if limited {
		r.pacer.limited()
	} else {
		r.pacer.ok()
	}
	if len(r.queue.waiting) > 0 {
		r.signal()
	}
}

// pause waits; it returns false when the recorder closed.
func (r *Recorder) pause(wait time.Duration) bool {
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
