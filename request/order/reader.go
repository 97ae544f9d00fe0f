package order

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/process/platform"
)

const (
	// readInterval is the minimum interval between the starts of two reads of one
	// entry.
	readInterval = 20 * time.Millisecond
	// maxRowsPerRead bounds the rows of one read.
	maxRowsPerRead = 256
)

// Reader reads order rows; BatchReader implements it.
type Reader interface {
	// Read returns the row with a key and whether it exists.
	Read(ctx context.Context, key string) (platform.Row, bool, error)
}

// BatchReader combines the reads of many waiting calls into few reads of the
// platform's table.
type BatchReader struct {
	table platform.Table
	clock clockwork.Clock

	// mu guards everything below.
	mu sync.Mutex
	// waiting holds the channels of the calls that wait for each row, by key;
	// pendingKeys holds these keys in order of arrival.
	waiting     map[string][]chan readResult
	pendingKeys []string
	// running is set while a goroutine reads for the waiting calls.
	running bool
	// lastRead is when the last read started.
	lastRead time.Time
}

// readResult is the result of reading one row.
type readResult struct {
	row   platform.Row
	found bool
	err   error
}

// NewBatchReader returns a reader; a nil clock means the real clock. The reader
// runs a goroutine only while reads are waiting.
func NewBatchReader(table platform.Table, clock clockwork.Clock) *BatchReader {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	return &BatchReader{table: table, clock: clock, waiting: map[string][]chan readResult{}}
}

// Read implements Reader.
func (r *BatchReader) Read(ctx context.Context, key string) (platform.Row, bool, error) {
	results := make(chan readResult, 1)
	r.mu.Lock()
	if len(r.waiting[key]) == 0 {
		r.pendingKeys = append(r.pendingKeys, key)
	}
	r.waiting[key] = append(r.waiting[key], results)
	start := !r.running
	r.running = true
	r.mu.Unlock()
	if start {
		go r.readLoop()
	}
	select {
	case result := <-results:
		return result.row, result.found, result.err
	case <-ctx.Done():
		return platform.Row{}, false, &platform.UnavailableError{Cause: ctx.Err()}
	}
}

// readLoop reads rows until no call is waiting.
func (r *BatchReader) readLoop() {
	for {
		pause, idle := r.nextPause()
		if idle {
			return
		}
		if pause > 0 {
			r.clock.Sleep(pause)
		}
		keys, waiting := r.take()
		ctx, cancel := context.WithTimeout(context.Background(), platformCallTimeout)
		rows, err := r.table.Get(ctx, keys...)
		cancel()
		deliver(keys, waiting, rows, err)
	}
}

// nextPause returns how long to wait before the next read. If no call is
// waiting, it marks the loop as ended and returns idle.
func (r *BatchReader) nextPause() (pause time.Duration, idle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pendingKeys) == 0 {
		r.running = false
		return 0, true
	}
	return readInterval - r.clock.Since(r.lastRead), false
}

// take removes the keys of the next read and the calls waiting for them.
func (r *BatchReader) take() ([]string, map[string][]chan readResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := min(len(r.pendingKeys), maxRowsPerRead)
	keys := r.pendingKeys[:size:size]
	r.pendingKeys = r.pendingKeys[size:]
	waiting := make(map[string][]chan readResult, size)
	for _, key := range keys {
		waiting[key] = r.waiting[key]
		delete(r.waiting, key)
	}
	r.lastRead = r.clock.Now()
	return keys, waiting
}

// deliver sends the result of a read to the calls waiting for it.
func deliver(keys []string, waiting map[string][]chan readResult, rows []platform.Row, err error) {
	byKey := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	for _, key := range keys {
		row, found := byKey[key]
		for _, results := range waiting[key] {
			results <- readResult{row: row, found: found, err: err}
		}
	}
}
