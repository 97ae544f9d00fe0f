package path

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sendFunc sends one request; number is its position in the run, from 1 on.
type sendFunc func(ctx context.Context, number int64) error

// runClosedLoop lets each worker send requests back to back for the given duration and
// returns the requests per second. It stops at the first error.
func runClosedLoop(ctx context.Context, workers int, duration time.Duration, send sendFunc) (float64, error) {
	bounded, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var count atomic.Int64
	var first firstError
	var running sync.WaitGroup
	started := time.Now()
	for range workers {
		running.Go(func() {
			for bounded.Err() == nil && !first.isSet() {
				first.record(send(ctx, count.Add(1)))
			}
		})
	}
	running.Wait()
	return float64(count.Load()) / time.Since(started).Seconds(), first.err
}

// runOpenLoop sends requests at a fixed rate for the given duration, independent of the
// responses, and returns the latencies, measured from the time at which each request
// was due.
func runOpenLoop(ctx context.Context, perSecond int, duration time.Duration, send sendFunc) (*hdrhistogram.Histogram, error) {
	const workers = 64
	due := make(chan time.Time, perSecond)
	histograms := make([]*hdrhistogram.Histogram, workers)
	var first firstError
	var number atomic.Int64
	var running sync.WaitGroup
	for i := range workers {
		histograms[i] = newHistogram()
		running.Go(func() {
			for at := range due {
				first.record(send(ctx, number.Add(1)))
				_ = histograms[i].RecordValue(max(time.Since(at).Microseconds(), 1))
			}
		})
	}
	schedule(due, perSecond, duration)
	running.Wait()
	merged := newHistogram()
	for _, histogram := range histograms {
		merged.Merge(histogram)
	}
	return merged, first.err
}

// schedule sends the due times of the requests, in one batch per millisecond.
func schedule(due chan<- time.Time, perSecond int, duration time.Duration) {
	defer close(due)
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	started := time.Now()
	sent := 0
	for time.Since(started) < duration {
		<-ticker.C
		total := int(time.Since(started).Seconds() * float64(perSecond))
		for ; sent < total; sent++ {
			due <- time.Now()
		}
	}
}

// firstError records the first error of concurrent workers.
type firstError struct {
	// mu guards err; no other lock is taken under it.
	mu     sync.Mutex
	err    error
	failed atomic.Bool
}

func (e *firstError) record(err error) {
	if err == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
		e.failed.Store(true)
	}
}

func (e *firstError) isSet() bool { return e.failed.Load() }
