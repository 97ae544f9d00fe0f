package retry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	hedgePercentile          = 95
	medianPercentile         = 50
	medianFactor             = 4
	latencyWindow            = 10 * time.Second
	refreshInterval          = time.Second
	minimumSamples           = 100
	lowestLatencyUS          = 1
	highestLatencyUS         = 600 * 1000 * 1000
	latencySignificantDigits = 1
	samplesPerRefresh        = 1000
)

// Latency estimates the latency percentiles of a pool from the samples of the
// last one to two windows of 10 s.
type Latency struct {
	// p95 and median are the current estimates in nanoseconds, 0 while there
	// are too few samples.
	p95, median atomic.Int64

	// mu guards the fields below. No other lock is acquired while it is held.
	mu                  sync.Mutex
	current, previous   *hdrhistogram.Histogram
	rotatedAt           time.Time
	refreshedAt         time.Time
	samplesSinceRefresh int
}

// NewLatency returns a Latency without samples.
func NewLatency() *Latency {
	return &Latency{
		current:  hdrhistogram.New(lowestLatencyUS, highestLatencyUS, latencySignificantDigits),
		previous: hdrhistogram.New(lowestLatencyUS, highestLatencyUS, latencySignificantDigits),
	}
}

// Record adds the latency of one completed attempt. It recomputes the estimates
// after refreshInterval or samplesPerRefresh samples, whichever comes first.
func (l *Latency) Record(latency time.Duration, now time.Time) {
	microseconds := min(max(latency.Microseconds(), lowestLatencyUS), highestLatencyUS)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotateLocked(now)
	_ = l.current.RecordValue(microseconds)
	l.samplesSinceRefresh++
	if l.samplesSinceRefresh < samplesPerRefresh && now.Sub(l.refreshedAt) < refreshInterval {
		return
	}
	l.refreshLocked(now)
}

// rotateLocked starts a new window once the current one has ended. The caller
// holds mu.
func (l *Latency) rotateLocked(now time.Time) {
	age := now.Sub(l.rotatedAt)
	if age < latencyWindow {
		return
	}
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
	if age >= 2*latencyWindow {
		l.previous.Reset()
	}
	l.rotatedAt = now
}

// refreshLocked recomputes the estimates from both windows. The caller holds mu.
func (l *Latency) refreshLocked(now time.Time) {
	l.samplesSinceRefresh, l.refreshedAt = 0, now
	merged := hdrhistogram.Import(l.previous.Export())
	merged.Merge(l.current)
	if merged.TotalCount() < minimumSamples {
		l.p95.Store(0)
		l.median.Store(0)
		return
	}
	l.p95.Store(merged.ValueAtQuantile(hedgePercentile) * int64(time.Microsecond))
	l.median.Store(merged.ValueAtQuantile(medianPercentile) * int64(time.Microsecond))
}

// P95 returns the 95th percentile, 0 while there are too few samples.
func (l *Latency) P95() time.Duration { return time.Duration(l.p95.Load()) }

// HedgeAfter returns the age at which an attempt is considered late: the 95th
// percentile, but at most four medians, because in a small pool with one slow
// target the 95th percentile is that of the slow target. It is 0 while there
// are too few samples.
func (l *Latency) HedgeAfter() time.Duration {
	return min(l.P95(), medianFactor*time.Duration(l.median.Load()))
}
