package pick

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// unknownCredits means that the target has not reported credits.
	unknownCredits = math.MinInt64
	// costScale converts costs to integers for atomics.
	costScale = 1024
	// slownessWeight is the smoothing weight of a new sample in the slowness of a
	// target.
	slownessWeight = 1.0 / 8
	// minSlownessSample and maxSlownessSample bound one sample of the slowness.
	minSlownessSample = 0.1
	maxSlownessSample = 30
)

// Target is one candidate.
type Target struct {
	Name          string
	FailureDomain string
}

// Load is a target's report of its load from all entries.
type Load struct {
	// InFlight and Queued count its requests.
	InFlight, Queued int
	// WaitingCost is the prefill work that waits at the target, in units of cost.
	WaitingCost float64
	// Limit is the target's concurrency limit; 0 when not reported.
	Limit int
	// At is when the load was measured, on the receiver's clock.
	At time.Duration
}

// report is a Load with this process's own part subtracted.
type report struct {
	at            time.Duration
	otherInFlight float64
	otherWaiting  float64
	limit         float64
}

// TargetState is what this process knows of one target. All methods are safe for
// concurrent use, take no lock, and do not allocate except for UpdateLoad. Times are
// relative to an arbitrary origin, the same for all calls.
type TargetState struct {
	target Target
	pool   *poolState

	inFlight atomic.Int64
	// waitingCost is the prefill cost sent by this process and not yet done,
	// multiplied by costScale.
	waitingCost atomic.Int64
	// credits is how many more requests the target expects from this process, or
	// unknownCredits.
	credits atomic.Int64
	// pending counts the requests without a first token. lastProgress is when the
	// last request stopped pending, by its first token or its end, or when the first
	// of those that are pending now was sent, whichever is later.
	pending      atomic.Int64
	lastProgress atomic.Int64
	// lastSent is when this process last sent a request to the target.
	lastSent atomic.Int64
	// pausedUntil is when the pause ends that the target asked for.
	pausedUntil atomic.Int64
	// slowness is the smoothed ratio of the actual to the expected first-token
	// time, as float bits; 0 when unknown.
	slowness atomic.Uint64
	// slownessUpdated is the time of the last change of slowness.
	slownessUpdated atomic.Int64
	// meanServiceTime is the smoothed duration of a request in nanoseconds.
	meanServiceTime atomic.Int64
	report          atomic.Pointer[report]
	// retired reports that the target is no longer in the latest Set.
	retired atomic.Bool
	history history
	cache   cacheView
}

// newState returns the state of a target without any observations.
func newState(t Target, p *poolState, cacheSlots int) *TargetState {
	state := &TargetState{target: t, pool: p, cache: newCacheView(cacheSlots)}
	state.credits.Store(unknownCredits)
	return state
}

// Name returns the target's name.
func (s *TargetState) Name() string { return s.target.Name }

// FailureDomain returns the target's failure domain.
func (s *TargetState) FailureDomain() string { return s.target.FailureDomain }

// InFlight returns the number of requests that this process has at the target.
func (s *TargetState) InFlight() int { return int(s.inFlight.Load()) }

// Work is one request that was sent to a target. The caller ends it with End.
type Work struct {
	// pending reports that the first token has not come yet.
	pending bool
	// cost is the prefill work still to be done, multiplied by costScale.
	cost int64
	// expected is the first-token time expected at the start.
	expected time.Duration
	started  time.Duration
}

// Begin records that the query's request was sent to the target.
func (s *TargetState) Begin(q *Query) Work {
	cachedBlocks := s.cache.depth(q.PrefixHashes)
	timePerCost := s.pool.timePerCost()
	cost := q.Cost - q.BlockCost*float64(cachedBlocks)
	w := Work{
		pending:  true,
		cost:     int64(max(cost, 0) * costScale),
		expected: time.Duration(s.expectedWait(q.Now, timePerCost) + timePerCost*max(cost, 0)),
		started:  q.Now,
	}
	s.lastSent.Store(int64(q.Now))
	if s.pending.Add(1) == 1 {
		s.lastProgress.Store(int64(q.Now))
	}
	inFlight := s.inFlight.Add(1)
	waiting := s.waitingCost.Add(w.cost)
	s.history.record(q.Now, inFlight, waiting/costScale)
	if s.credits.Load() > 0 {
		s.credits.Add(-1)
	}
	s.expectCached(q.PrefixHashes)
	return w
}

// expectCached records that the prefixes will be in the target's cache.
func (s *TargetState) expectCached(prefix []uint64) {
	for _, hash := range prefix {
		s.cache.add(hash)
		s.pool.locator.put(hash, s)
	}
}

// FirstToken records the request's first token.
func (s *TargetState) FirstToken(w *Work, now time.Duration) {
	s.updateSlowness(now-w.started, w.expected)
	s.slownessUpdated.Store(int64(now))
	s.finishPrefill(w, now)
}

// finishPrefill subtracts the request's prefill from the waiting work and ends its
// wait for a first token.
func (s *TargetState) finishPrefill(w *Work, now time.Duration) {
	waiting := s.waitingCost.Add(-w.cost)
	w.cost = 0
	if w.pending {
		w.pending = false
		s.pending.Add(-1)
		s.lastProgress.Store(int64(now))
	}
	s.history.record(now, s.inFlight.Load(), waiting/costScale)
}

// End records the end of the request; ok reports whether the target finished it.
func (s *TargetState) End(w *Work, now time.Duration, ok bool) {
	s.inFlight.Add(-1)
	s.finishPrefill(w, now)
	if !ok {
		return
	}
	took := int64(now - w.started)
	old := s.meanServiceTime.Load()
	if old == 0 {
		s.meanServiceTime.Store(took)
		return
	}
	s.meanServiceTime.Store(old + (took-old)/8)
}

// PauseUntil records that the target's gate refused a request and asked for no more
// work before until.
func (s *TargetState) PauseUntil(until time.Duration) {
	s.pausedUntil.Store(int64(until))
	s.credits.Store(0)
}

// SetCredits sets how many more requests the target expects from this process.
func (s *TargetState) SetCredits(n int) { s.credits.Store(int64(n)) }

// UpdateLoad stores the target's load. This process's own work at the time of the
// measurement is subtracted, so the report may be delayed. A report older than
// the stored one is ignored.
func (s *TargetState) UpdateLoad(l Load) {
	if old := s.report.Load(); old != nil && old.at > l.At {
		return
	}
	ownInFlight, ownWaiting := s.history.at(l.At)
	s.report.Store(&report{
		at:            l.At,
		otherInFlight: max(float64(l.InFlight+l.Queued)-float64(ownInFlight), 0),
		otherWaiting:  max(l.WaitingCost-float64(ownWaiting), 0),
		limit:         float64(l.Limit),
	})
}

// CacheStored records that the target published a prefix as cached.
func (s *TargetState) CacheStored(hash uint64) {
	s.cache.add(hash)
	s.pool.locator.put(hash, s)
}

// CacheRemoved records that the target published a prefix as evicted.
func (s *TargetState) CacheRemoved(hash uint64) { s.cache.remove(hash) }

// CacheCleared records that the target's cache is empty, for example after a
// restart.
func (s *TargetState) CacheCleared() { s.cache.clear() }

// updateSlowness adds a sample of the actual and the expected first-token time.
func (s *TargetState) updateSlowness(actual, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(expected), minSlownessSample), maxSlownessSample)
	old := math.Float64frombits(s.slowness.Load())
	if old == 0 {
		old = 1
	}
	s.slowness.Store(math.Float64bits(old + slownessWeight*(ratio-old)))
	s.pool.observeFirstToken(actual, expected)
}
