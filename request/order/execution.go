package order

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Defaults of ExecutionTrackerConfig.
const (
	DefaultMaxTrackedAttempts = 65536
	DefaultResultRetention    = 10 * time.Minute
)

// ExecutionTrackerConfig sets up an ExecutionTracker; zero values mean the
// defaults.
type ExecutionTrackerConfig struct {
	// Incarnation is the agent's own incarnation.
	Incarnation string
	// Clock must be monotonic; nil means the real clock.
	Clock clockwork.Clock
	// MaxTrackedAttempts bounds the number of attempts remembered.
	MaxTrackedAttempts int
	// ResultRetention is how long the result of an attempt is remembered.
	ResultRetention time.Duration
}

// orderKey identifies an order. A struct, unlike a joined string, keeps the
// boundary between its parts unambiguous.
type orderKey struct {
	organisation, key string
}

// attemptState is the remembered state of the latest attempt of a key.
type attemptState struct {
	attempt Attempt
	reply   Reply
	// keepUntil is the time on the agent's clock until which the attempt is
	// remembered; it is ignored while the attempt runs.
	keepUntil time.Duration
}

// ExecutionTracker tracks the orders of one agent incarnation and ensures that
// each key runs at most once in it.
type ExecutionTracker struct {
	config ExecutionTrackerConfig
	start  time.Time

	// mu guards everything below.
	mu       sync.Mutex
	attempts map[orderKey]*attemptState
	// forgottenUpTo is the highest NotAfter of a forgotten attempt that had
	// started. An unremembered attempt with a NotAfter up to it is reported as
	// ExecutionForgotten.
	forgottenUpTo time.Duration
	// refusedUpTo is the highest NotAfter of an attempt refused because
	// MaxTrackedAttempts was reached. An unremembered attempt with a NotAfter up to it
	// never starts.
	refusedUpTo time.Duration
	// nextPrune is the earliest time of the next scan for attempts to forget.
	nextPrune time.Duration
}

// NewExecutionTracker returns an ExecutionTracker without attempts, for a new
// incarnation.
func NewExecutionTracker(config ExecutionTrackerConfig) *ExecutionTracker {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.MaxTrackedAttempts == 0 {
		config.MaxTrackedAttempts = DefaultMaxTrackedAttempts
	}
	if config.ResultRetention == 0 {
		config.ResultRetention = DefaultResultRetention
	}
	return &ExecutionTracker{
		config:   config,
		start:    config.Clock.Now(),
		attempts: map[orderKey]*attemptState{},
	}
}

// Time returns the agent's time, measured from the start of its incarnation;
// agents send it to entries.
func (x *ExecutionTracker) Time() time.Duration { return x.config.Clock.Since(x.start) }

// BeginResult is the result of Begin.
type BeginResult struct {
	// Run tells the agent to run the attempt now and to call Finish afterwards.
	Run bool
	// Reply is the reply to the entry if the attempt must not run.
	Reply Reply
}

// Begin decides whether a dispatched attempt runs.
func (x *ExecutionTracker) Begin(attempt Attempt) BeginResult {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.sameIncarnationLocked(attempt) {
		return BeginResult{Reply: Reply{State: ExecutionIncarnationGone}}
	}
	now := x.Time()
	x.pruneLocked(now)
	key := orderKey{attempt.Organisation, attempt.Key}
	reply := x.stateLocked(key, attempt, now)
	if reply.State != ExecutionAbsent {
		return BeginResult{Reply: reply}
	}
	if !x.hasRoomLocked(now) {
		x.refusedUpTo = max(x.refusedUpTo, attempt.NotAfter)
		return BeginResult{Reply: Reply{State: ExecutionNeverStarts, Reason: "agent has no room for orders"}}
	}
	x.storeLocked(key, attempt, Reply{State: ExecutionRunning}, 0)
	return BeginResult{Run: true}
}

// Finish records the end of an attempt that Begin allowed to run: ExecutionDone
// with a result, ExecutionNeverStarts if it is certain that the engine was not
// reached, or ExecutionOutcomeUnknown. It returns the reply for the entry.
func (x *ExecutionTracker) Finish(attempt Attempt, reply Reply) Reply {
	x.mu.Lock()
	defer x.mu.Unlock()
	tracked := x.attempts[orderKey{attempt.Organisation, attempt.Key}]
	if tracked == nil || tracked.attempt.Nonce != attempt.Nonce || tracked.reply.State != ExecutionRunning {
		return Reply{State: ExecutionOutcomeUnknown}
	}
	tracked.reply = reply
	tracked.keepUntil = max(tracked.keepUntil, attempt.NotAfter, x.Time()+x.config.ResultRetention)
	return reply
}

// Tombstone ensures that an attempt that has not started never will, and returns
// the attempt's state.
func (x *ExecutionTracker) Tombstone(attempt Attempt) Reply {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.sameIncarnationLocked(attempt) {
		return Reply{State: ExecutionIncarnationGone}
	}
	now := x.Time()
	x.pruneLocked(now)
	key := orderKey{attempt.Organisation, attempt.Key}
	reply := x.stateLocked(key, attempt, now)
	if reply.State != ExecutionAbsent {
		return reply
	}
	never := Reply{State: ExecutionNeverStarts}
	if x.hasRoomLocked(now) {
		x.storeLocked(key, attempt, never, attempt.NotAfter)
	} else {
		x.refusedUpTo = max(x.refusedUpTo, attempt.NotAfter)
	}
	return never
}

// Query returns the state of an attempt; unlike Tombstone it does not prevent the
// start.
func (x *ExecutionTracker) Query(attempt Attempt) Reply {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.sameIncarnationLocked(attempt) {
		return Reply{State: ExecutionIncarnationGone}
	}
	return x.stateLocked(orderKey{attempt.Organisation, attempt.Key}, attempt, x.Time())
}

// Release drops a result that the entry has recorded; the attempt itself stays
// remembered.
func (x *ExecutionTracker) Release(attempt Attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	tracked := x.attempts[orderKey{attempt.Organisation, attempt.Key}]
	if tracked != nil && tracked.attempt.Nonce == attempt.Nonce && tracked.reply.State == ExecutionDone {
		tracked.reply = Reply{State: ExecutionForgotten}
	}
}

// Running returns the number of running attempts; an agent that leaves waits
// until it is 0.
func (x *ExecutionTracker) Running() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	running := 0
	for _, tracked := range x.attempts {
		if tracked.reply.State == ExecutionRunning {
			running++
		}
	}
	return running
}

func (x *ExecutionTracker) sameIncarnationLocked(attempt Attempt) bool {
	return attempt.Incarnation == x.config.Incarnation
}

// stateLocked returns what is known about an attempt.
func (x *ExecutionTracker) stateLocked(key orderKey, attempt Attempt, now time.Duration) Reply {
	tracked := x.attempts[key]
	if tracked != nil && tracked.attempt.Nonce == attempt.Nonce {
		return tracked.reply
	}
	if tracked != nil {
		return x.otherAttemptLocked(tracked, attempt, now)
	}
	return x.untrackedLocked(attempt, now)
}

// otherAttemptLocked returns the state of an attempt whose key is held by another
// attempt. An attempt with a lower number never starts, because its successor
// required its tombstone. One with a higher number may start only if the
// remembered attempt never will.
func (x *ExecutionTracker) otherAttemptLocked(held *attemptState, attempt Attempt, now time.Duration) Reply {
	reply := x.untrackedLocked(attempt, now)
	if reply.State != ExecutionAbsent {
		return reply
	}
	if attempt.Number < held.attempt.Number {
		// The tombstone must last for as long as the dispatch may still arrive.
		held.keepUntil = max(held.keepUntil, attempt.NotAfter)
		return Reply{State: ExecutionNeverStarts, Reason: "attempt is superseded"}
	}
	if held.reply.State == ExecutionNeverStarts && attempt.Number > held.attempt.Number {
		return reply
	}
	return Reply{State: ExecutionOutcomeUnknown, Reason: "another attempt of the key was here"}
}

// untrackedLocked returns the state of an attempt that is not remembered.
func (x *ExecutionTracker) untrackedLocked(attempt Attempt, now time.Duration) Reply {
	if attempt.NotAfter <= x.forgottenUpTo {
		return Reply{State: ExecutionForgotten}
	}
	if attempt.NotAfter <= x.refusedUpTo || now > attempt.NotAfter {
		return Reply{State: ExecutionNeverStarts, Reason: "dispatch came too late"}
	}
	return Reply{State: ExecutionAbsent}
}

// storeLocked remembers an attempt in place of an earlier one of the key. It keeps
// the attempt at least as long as the earlier one's tombstone has to last.
func (x *ExecutionTracker) storeLocked(key orderKey, attempt Attempt, reply Reply, keepUntil time.Duration) {
	if earlier := x.attempts[key]; earlier != nil {
		keepUntil = max(keepUntil, earlier.keepUntil)
	}
	x.attempts[key] = &attemptState{attempt: attempt, reply: reply, keepUntil: keepUntil}
}

// hasRoomLocked reports whether one more attempt can be remembered.
func (x *ExecutionTracker) hasRoomLocked(now time.Duration) bool {
	if len(x.attempts) < x.config.MaxTrackedAttempts {
		return true
	}
	x.nextPrune = 0
	x.pruneLocked(now)
	return len(x.attempts) < x.config.MaxTrackedAttempts
}

// pruneInterval is the minimum interval between scans for attempts to forget.
const pruneInterval = time.Second

// pruneLocked removes attempts whose keepUntil has passed.
func (x *ExecutionTracker) pruneLocked(now time.Duration) {
	if now < x.nextPrune {
		return
	}
	x.nextPrune = now + pruneInterval
	for key, tracked := range x.attempts {
		if tracked.reply.State == ExecutionRunning || now <= tracked.keepUntil {
			continue
		}
		if tracked.reply.State != ExecutionNeverStarts {
			x.forgottenUpTo = max(x.forgottenUpTo, tracked.attempt.NotAfter)
		}
		delete(x.attempts, key)
	}
}
