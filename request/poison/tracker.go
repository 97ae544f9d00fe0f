package poison

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// logPart is the value of the log field "part" in this package.
const logPart = "poison"

// Tracker is a Ledger that is safe for concurrent use. While nothing is suspected,
// Assess and Completed do not take its lock.
type Tracker struct {
	clock clockwork.Clock
	// suspects is the number of suspected fingerprints and parts, read to skip the lock
	// while there are none.
	suspects atomic.Int64

	// mu guards ledger; it is a leaf lock.
	mu     sync.Mutex
	ledger *Ledger
}

// NewTracker returns a tracker without evidence.
func NewTracker(config Config, clock clockwork.Clock) *Tracker {
	if config.Process == 0 {
		config.Process = rand.Uint64()
	}
	return &Tracker{clock: clock, ledger: NewLedger(config, clock.Now())}
}

// Crashed adds a crash that happened age ago. It reports whether this changed the
// evidence, which should then be shared with peers.
func (t *Tracker) Crashed(crash Crash, age time.Duration) bool {
	now := t.clock.Now()
	crash.At = now.Add(-max(age, 0))
	return t.update(now, func() bool { return t.ledger.Add(crash, now) })
}

// Restarts returns how many crashes of a target's registered incarnation came before it
// accepted a connection.
func (t *Tracker) Restarts(target, incarnation string, connectedAt time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Restarts(target, incarnation, connectedAt)
}

// Completed records that a request completed. It reports whether this cleared a
// suspect, which should then be shared with peers.
func (t *Tracker) Completed(fingerprint uint64) bool {
	if t.suspects.Load() == 0 {
		return false
	}
	now := t.clock.Now()
	return t.update(now, func() bool { return t.ledger.Completed(fingerprint, now) })
}

// Merge adds a peer's evidence and reports whether it changed anything.
func (t *Tracker) Merge(evidence Evidence) bool {
	now := t.clock.Now()
	return t.update(now, func() bool { return t.ledger.Merge(evidence, now) })
}

// update applies a change to the ledger under mu. It logs the number of suspects, and
// of those that will be refused once RefusalHold has passed.
func (t *Tracker) update(now time.Time, apply func() bool) bool {
	t.mu.Lock()
	changed := apply()
	t.suspects.Store(int64(len(t.ledger.suspects) + len(t.ledger.parts)))
	refused := len(t.ledger.Refused(now.Add(t.ledger.config.RefusalHold)))
	t.mu.Unlock()
	if changed {
		logrus.WithFields(logrus.Fields{"part": logPart, "suspects": t.suspects.Load(), "refused": refused}).
			Debug("crash evidence changed")
	}
	return changed
}

// Assess returns the current assessment of a fingerprint.
func (t *Tracker) Assess(fingerprint uint64) Assessment {
	if t.suspects.Load() == 0 {
		return Assessment{}
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Assess(fingerprint, now)
}

// AssessRequest returns the current assessment of a request and what is on trial with it; see
// Ledger.AssessRequest.
func (t *Tracker) AssessRequest(subject Subject) (assessment Assessment, trial uint64) {
	if t.suspects.Load() == 0 {
		return Assessment{}, 0
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.AssessRequest(subject, now)
}

// PartsRan records that a request with some prompt parts ran; see Ledger.PartsRan.
func (t *Tracker) PartsRan(parts []uint64) bool {
	now := t.clock.Now()
	if t.suspects.Load() == 0 {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.ledger.PartsRan(parts, now)
	}
	return t.update(now, func() bool { return t.ledger.PartsRan(parts, now) })
}

// BeginTrial reports whether this process may run a suspect on trial now; see
// Ledger.BeginTrial.
func (t *Tracker) BeginTrial(suspect uint64, rank int) bool {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.BeginTrial(suspect, rank, now)
}

// Want is Ledger.Want.
func (t *Tracker) Want(suspect uint64, rank int) bool {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Want(suspect, rank, now)
}

// TrialUnsent is Ledger.TrialUnsent.
func (t *Tracker) TrialUnsent(suspect uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.TrialUnsent(suspect)
}

// MayTry is Ledger.MayTry.
func (t *Tracker) MayTry(suspect uint64, rank int) bool {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.MayTry(suspect, rank, now)
}

// Evidence returns all evidence, to be sent to a peer.
func (t *Tracker) Evidence() Evidence {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Evidence(now)
}

// Recent returns the newest evidence, to be sent to a peer; see Ledger.Recent.
func (t *Tracker) Recent(limit int, span time.Duration) Evidence {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ledger.crashes) == 0 {
		return Evidence{}
	}
	return t.ledger.Recent(limit, span, now)
}

// NextCrash returns one crash to be sent to a peer, all of them in turn; see
// Ledger.NextCrash.
func (t *Tracker) NextCrash() Evidence {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.NextCrash(now)
}

// Restricted returns the crashes of the fingerprints whose requests do not run freely, to
// be sent to a peer; see Ledger.Restricted.
func (t *Tracker) Restricted(limit int) Evidence {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Restricted(limit, now)
}

// RefusedParts returns the prompt parts whose requests are currently refused.
func (t *Tracker) RefusedParts() []uint64 {
	if t.suspects.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.RefusedParts()
}

// Refused returns the fingerprints that are currently refused, for operators.
func (t *Tracker) Refused() []uint64 {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Refused(now)
}
