package engine

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Counters holds totals over all incarnations of the engine.
type Counters struct {
	// Started counts requests that began to run, Completed those whose whole
	// answer was produced.
	Started, Completed int64
	// Cancelled counts requests that were stopped before their end: cancelled,
	// past their deadline, or paused and not resumed in time.
	Cancelled int64
	// OverloadCrashes counts crashes caused by more requests than a cold engine can
	// take.
	OverloadCrashes int64
	// Crashes counts incarnations that ended, including overloads and calls of
	// Restart.
	Crashes int64
	// Tokens counts tokens produced.
	Tokens int64
	// StaleOrders counts orders carried out despite a stale epoch.
	StaleOrders int64
}

// Engine is a simulated model engine.
type Engine struct {
	config Config
	clock  clockwork.Clock
	group  *Group
	closed chan struct{}

	// mu guards everything below.
	mu       sync.Mutex
	counters Counters
	// incarnations counts the incarnations started.
	incarnations     int
	incarnation      string
	unavailableUntil time.Time
	stalled          bool
	cold             bool
	// warmupCompleted counts requests completed since the engine became cold.
	warmupCompleted int
	coldGraceUntil  time.Time
	// submissions counts accepted requests.
	submissions int64
	waiting     []*sequence
	running     []*sequence
	byID        map[string]*sequence
	// retained holds disconnected and finished streams in order of their
	// retainUntil.
	retained    []retainedStream
	cache       *prefixCache
	loadHistory loadHistory
	// wake is closed and replaced when the step loop may have work.
	wake chan struct{}
	// model, adapter, version and role start as configured and are changed by
	// orders; epoch is the highest epoch seen.
	model                  string
	adapter, version, role string
	epoch                  int64
	stopped                bool
}

// New starts an engine. The caller stops it with Close.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config:      config,
		clock:       config.Clock,
		group:       config.Group,
		closed:      make(chan struct{}),
		byID:        map[string]*sequence{},
		wake:        make(chan struct{}),
		loadHistory: loadHistory{lag: config.LoadLag},
		model:       config.Model, adapter: config.Adapter,
		version: config.Version, role: config.Role,
	}
	if e.group == nil {
		e.group = NewGroup(1)
	}
	e.cache = newPrefixCache(config.CacheBlocks, config.EventLossInterval, config.Clock.Now)
	e.mu.Lock()
	e.startIncarnationLocked()
	e.mu.Unlock()
	go e.stepLoop()
	return e
}

// Close stops the engine and fails the requests in flight.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.stopped = true
	close(e.closed)
	e.failAllLocked(ErrCrashed)
}

// Incarnation returns the current incarnation.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Counters returns the totals so far.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Cold reports whether the engine is cold.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold
}

// InFlight returns the number of requests running and waiting.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

// Restart ends the incarnation, fails the requests in flight and starts a cold
// incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

// SetCold makes a warm engine cold again without a new incarnation.
// MaxColdInFlight is enforced after ColdGracePeriod.
func (e *Engine) SetCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setColdLocked()
	e.coldGraceUntil = e.clock.Now().Add(e.config.ColdGracePeriod)
}

// SetWarm makes the engine warm at once.
func (e *Engine) SetWarm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = false
}

// SetStalled stops all batch steps (true) or lets them continue (false).
func (e *Engine) SetStalled(stalled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = stalled
	e.wakeLoopLocked()
}

func (e *Engine) startIncarnationLocked() {
	e.incarnations++
	e.incarnation = fmt.Sprintf("%s-%d", e.config.Name, e.incarnations)
	e.setColdLocked()
	e.coldGraceUntil = time.Time{}
}

func (e *Engine) setColdLocked() {
	e.cold = true
	e.warmupCompleted = 0
	e.cache.clear()
}

// crashLocked ends the incarnation; the next one is available after RestartDelay.
func (e *Engine) crashLocked() {
	e.counters.Crashes++
	e.failAllLocked(ErrCrashed)
	e.unavailableUntil = e.clock.Now().Add(e.config.RestartDelay)
	e.model, e.adapter = e.config.Model, e.config.Adapter
	e.version, e.role = e.config.Version, e.config.Role
	e.epoch = 0
	e.startIncarnationLocked()
	e.wakeLoopLocked()
}

func (e *Engine) failAllLocked(err error) {
	for _, seq := range e.byID {
		seq.failLocked(err)
	}
	e.byID = map[string]*sequence{}
	e.waiting, e.running, e.retained = nil, nil, nil
}

func (e *Engine) wakeLoopLocked() {
	close(e.wake)
	e.wake = make(chan struct{})
}

// submit admits a request to the queue; it fails with ErrUnavailable,
// ErrQueueFull or ErrCrashed.
func (e *Engine) submit(seq *sequence) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.pruneRetainedLocked(now)
	if e.stopped || now.Before(e.unavailableUntil) {
		return ErrUnavailable
	}
	if !seq.probe {
		if err := e.admitLocked(now); err != nil {
			return err
		}
	}
	e.submissions++
	seq.arrivalIndex = e.submissions
	seq.arrivedAt = now
	seq.incarnation = e.incarnation
	seq.changed = make(chan struct{})
	if seq.id == "" || e.byID[seq.id] != nil {
		seq.id = fmt.Sprintf("%s#%s-%d", seq.id, e.incarnation, e.submissions)
	}
	e.byID[seq.id] = seq
	e.enqueueLocked(seq)
	if e.config.Instant && !e.stalled {
		return e.completeInstantlyLocked(seq)
	}
	e.wakeLoopLocked()
	return nil
}

// admitLocked checks the limits on requests in flight. A cold engine crashes
// when they exceed MaxColdInFlight after the grace period.
func (e *Engine) admitLocked(now time.Time) error {
	inFlight := len(e.running) + len(e.waiting)
	if e.cold && inFlight >= e.config.MaxColdInFlight && !now.Before(e.coldGraceUntil) {
		e.counters.OverloadCrashes++
		e.crashLocked()
		return ErrCrashed
	}
	if len(e.waiting) >= e.config.MaxWaiting {
		return ErrQueueFull
	}
	return nil
}

// crashIfPoisonedLocked crashes the engine if the sequence about to run contains
// the poison marker, and reports whether it did.
func (e *Engine) crashIfPoisonedLocked(seq *sequence) bool {
	marker := e.config.PoisonMarker
	if marker == "" || !strings.Contains(seq.prompt, marker) {
		return false
	}
	e.crashLocked()
	return true
}

// cancel fails an unfinished request with the reason; it returns false if there
// is no such request.
func (e *Engine) cancel(id string, reason error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	seq, ok := e.byID[id]
	if !ok || seq.state == stateFinished {
		return false
	}
	e.counters.Cancelled++
	e.removeFromQueuesLocked(seq)
	delete(e.byID, id)
	seq.failLocked(reason)
	return true
}
