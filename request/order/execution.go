package order

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Defaults of ExecutionConfig.
const (
	DefaultMaxExecutions   = 65536
	DefaultResultRetention = 10 * time.Minute
)

// ExecutionConfig sets up an Execution; zero values mean the defaults.
type ExecutionConfig struct {
	// Incarnation is the agent's own.
	Incarnation string
	// Clock must be monotonic; nil means the real clock.
	Clock clockwork.Clock
	// MaxEntries bounds the attempts remembered.
	MaxEntries int
	// ResultRetention is how long the end of an attempt is remembered.
	ResultRetention time.Duration
}

// executionKey is a type of its own so that parts cannot run together.
type executionKey struct {
	organisation, key string
}

// executionEntry is the memory of the latest attempt of a key.
type executionEntry struct {
	attempt Attempt
	reply   Reply
	// keepUntil is on the agent's clock; a running attempt has none.
	keepUntil time.Duration
}

// Execution is an agent's memory of the orders of its incarnation: each key
// runs at most once.
type Execution struct {
	config ExecutionConfig
	start  time.Time

	// mu guards everything below.
	mu      sync.Mutex
	entries map[executionKey]*executionEntry
	// forgottenUpTo is the highest NotAfter of a forgotten attempt that had
	// started.
	forgottenUpTo time.Duration
	// refusedUpTo is the highest NotAfter refused for want of memory: an
	// attempt not remembered with a NotAfter up to it never starts.
	refusedUpTo time.Duration
	pruneAt     time.Duration
}

// NewExecution returns an empty memory for a new incarnation.
func NewExecution(config ExecutionConfig) *Execution {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.MaxEntries == 0 {
		config.MaxEntries = DefaultMaxExecutions
	}
	if config.ResultRetention == 0 {
		config.ResultRetention = DefaultResultRetention
	}
	return &Execution{
		config:  config,
		start:   config.Clock.Now(),
		entries: map[executionKey]*executionEntry{},
	}
}

// Time returns the agent's clock, as the time since its incarnation started;
// agents send it to entries.
func (x *Execution) Time() time.Duration { return x.config.Clock.Since(x.start) }

// Verdict is the answer to Begin.
type Verdict struct {
	// Run tells the agent to run the attempt now and to call Finish after.
	Run bool
	// Reply is the answer to the entry if the attempt must not run.
	Reply Reply
}

// Begin decides whether a dispatched attempt runs.
func (x *Execution) Begin(attempt Attempt) Verdict {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.mineLocked(attempt) {
		return Verdict{Reply: Reply{State: ExecutionGone}}
	}
	now := x.Time()
	x.pruneLocked(now)
	key := executionKey{attempt.Organisation, attempt.Key}
	reply := x.knownLocked(key, attempt, now)
	if reply.State != ExecutionAbsent {
		return Verdict{Reply: reply}
	}
	if !x.roomLocked(now) {
		x.refusedUpTo = max(x.refusedUpTo, attempt.NotAfter)
		return Verdict{Reply: Reply{State: ExecutionNever, Reason: "agent has no room for orders"}}
	}
	x.putLocked(key, attempt, Reply{State: ExecutionRunning}, 0)
	return Verdict{Run: true}
}

// Finish records the end of an attempt that Begin let run: ExecutionDone with a
// result, ExecutionNever if the engine was surely not reached, or
// ExecutionLost. It returns the reply for the entry.
func (x *Execution) Finish(attempt Attempt, reply Reply) Reply {
	x.mu.Lock()
	defer x.mu.Unlock()
	entry := x.entries[executionKey{attempt.Organisation, attempt.Key}]
	if entry == nil || entry.attempt.Nonce != attempt.Nonce || entry.reply.State != ExecutionRunning {
		return Reply{State: ExecutionLost}
	}
	entry.reply = reply
	entry.keepUntil = max(entry.keepUntil, attempt.NotAfter, x.Time()+x.config.ResultRetention)
	return reply
}

// Tombstone makes sure that an attempt which has not started never will, and
// says what became of it.
func (x *Execution) Tombstone(attempt Attempt) Reply {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.mineLocked(attempt) {
		return Reply{State: ExecutionGone}
	}
	now := x.Time()
	x.pruneLocked(now)
	key := executionKey{attempt.Organisation, attempt.Key}
	reply := x.knownLocked(key, attempt, now)
	if reply.State != ExecutionAbsent {
		return reply
	}
	never := Reply{State: ExecutionNever}
	if x.roomLocked(now) {
		x.putLocked(key, attempt, never, attempt.NotAfter)
	} else {
		x.refusedUpTo = max(x.refusedUpTo, attempt.NotAfter)
	}
	return never
}

// Query says what became of an attempt and changes nothing.
func (x *Execution) Query(attempt Attempt) Reply {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.mineLocked(attempt) {
		return Reply{State: ExecutionGone}
	}
	return x.knownLocked(executionKey{attempt.Organisation, attempt.Key}, attempt, x.Time())
}

// Release drops the body of a recorded result; the attempt stays remembered.
func (x *Execution) Release(attempt Attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	entry := x.entries[executionKey{attempt.Organisation, attempt.Key}]
	if entry != nil && entry.attempt.Nonce == attempt.Nonce && entry.reply.State == ExecutionDone {
		entry.reply = Reply{State: ExecutionForgotten}
	}
}

// Running returns the number of attempts that run now; an agent that leaves
// waits until it is 0.
func (x *Execution) Running() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	running := 0
	for _, entry := range x.entries {
		if entry.reply.State == ExecutionRunning {
			running++
		}
	}
	return running
}

func (x *Execution) mineLocked(attempt Attempt) bool {
	return attempt.Incarnation == x.config.Incarnation
}

// knownLocked says what is remembered of an attempt.
func (x *Execution) knownLocked(key executionKey, attempt Attempt, now time.Duration) Reply {
	entry := x.entries[key]
	if entry != nil && entry.attempt.Nonce == attempt.Nonce {
		return entry.reply
	}
	if entry != nil {
		return x.otherAttemptLocked(entry, attempt, now)
	}
	return x.vacantLocked(attempt, now)
}

// otherAttemptLocked answers for an attempt while the key's entry is another's:
// a lower attempt was superseded, which takes its tombstone; a higher one may
// start only if the remembered one never will.
func (x *Execution) otherAttemptLocked(entry *executionEntry, attempt Attempt, now time.Duration) Reply {
	reply := x.vacantLocked(attempt, now)
	if reply.State != ExecutionAbsent {
		return reply
	}
	if attempt.Number < entry.attempt.Number {
		// The promise holds for as long as the dispatch may still arrive.
		entry.keepUntil = max(entry.keepUntil, attempt.NotAfter)
		return Reply{State: ExecutionNever, Reason: "attempt is superseded"}
	}
	if entry.reply.State == ExecutionNever && attempt.Number > entry.attempt.Number {
		return reply
	}
	return Reply{State: ExecutionLost, Reason: "another attempt of the key was here"}
}

// vacantLocked answers for an attempt that is not remembered.
func (x *Execution) vacantLocked(attempt Attempt, now time.Duration) Reply {
	if attempt.NotAfter <= x.forgottenUpTo {
		return Reply{State: ExecutionForgotten}
	}
	if attempt.NotAfter <= x.refusedUpTo || now > attempt.NotAfter {
		return Reply{State: ExecutionNever, Reason: "dispatch came too late"}
	}
	return Reply{State: ExecutionAbsent}
}

// putLocked remembers an attempt in place of an earlier one of the key, whose
// promise never to start is kept for as long as it was.
func (x *Execution) putLocked(key executionKey, attempt Attempt, reply Reply, keepUntil time.Duration) {
	if earlier := x.entries[key]; earlier != nil {
		keepUntil = max(keepUntil, earlier.keepUntil)
	}
	x.entries[key] = &executionEntry{attempt: attempt, reply: reply, keepUntil: keepUntil}
}

// roomLocked tells whether one more attempt can be remembered.
func (x *Execution) roomLocked(now time.Duration) bool {
	if len(x.entries) < x.config.MaxEntries {
		return true
	}
	x.pruneAt = 0
	x.pruneLocked(now)
	return len(x.entries) < x.config.MaxEntries
}

// pruneEvery spaces the scans for attempts to forget.
const pruneEvery = time.Second

// pruneLocked forgets what has been kept long enough.
func (x *Execution) pruneLocked(now time.Duration) {
	if now < x.pruneAt {
		return
	}
	x.pruneAt = now + pruneEvery
	for key, entry := range x.entries {
		if entry.reply.State == ExecutionRunning || now <= entry.keepUntil {
			continue
		}
		if entry.reply.State != ExecutionNever {
			x.forgottenUpTo = max(x.forgottenUpTo, entry.attempt.NotAfter)
		}
		delete(x.entries, key)
	}
}
