package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// logPart is the fixed log prefix of this package.
const logPart = "poison"

// Tracker is a Ledger for concurrent use, cheap while nothing is suspected.
type Tracker struct {
	clock clockwork.Clock
	// suspects counts the suspected fingerprints, to skip the lock without any.
	suspects atomic.Int64

	// mu guards ledger; it is a leaf.
	mu     sync.Mutex
	ledger *Ledger
}

// NewTracker returns a tracker without evidence.
func NewTracker(config Config, clock clockwork.Clock) *Tracker {
	return &Tracker{clock: clock, ledger: NewLedger(config)}
}

// Crashed takes a crash that ended age ago; it tells whether it is news, to be
// passed on.
func (t *Tracker) Crashed(crash Crash, age time.Duration) bool {
	now := t.clock.Now()
	crash.At = now.Add(-max(age, 0))
	return t.change(now, func() bool { return t.ledger.Add(crash, now) })
}

// Completed takes that a request was answered whole; it tells whether that
// clears a suspect, to be passed on.
func (t *Tracker) Completed(fingerprint uint64) bool {
	if t.suspects.Load() == 0 {
		return false
	}
	now := t.clock.Now()
	return t.change(now, func() bool { return t.ledger.Completed(fingerprint, now) })
}

// Merge takes a peer's evidence; it tells whether it is news.
func (t *Tracker) Merge(evidence Evidence) bool {
	now := t.clock.Now()
	return t.change(now, func() bool { return t.ledger.Merge(evidence, now) })
}

// change runs a change of the ledger under mu and logs what it made refused.
func (t *Tracker) change(now time.Time, apply func() bool) bool {
	t.mu.Lock()
	changed := apply()
	t.suspects.Store(int64(len(t.ledger.suspects)))
	refused := len(t.ledger.Refused(now.Add(t.ledger.config.Settle)))
	t.mu.Unlock()
	if changed {
		logrus.WithFields(logrus.Fields{"part": logPart, "suspects": t.suspects.Load(), "refused": refused}).
			Debug("Evidence changed.")
	}
	return changed
}

// Verdict says how a request with the fingerprint may run now.
func (t *Tracker) Verdict(fingerprint uint64) Verdict {
	if t.suspects.Load() == 0 {
		return Verdict{}
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Verdict(fingerprint, now)
}

// Share returns all evidence, for a peer.
func (t *Tracker) Share() Evidence {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Share(now)
}

// Recent returns the newest evidence, for a peer: at most so many crashes, and
// none older than span.
func (t *Tracker) Recent(most int, span time.Duration) Evidence {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ledger.crashes) == 0 {
		return Evidence{}
	}
	return t.ledger.Recent(most, span, now)
}

// Refused returns the fingerprints that are refused now, for operators.
func (t *Tracker) Refused() []uint64 {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Refused(now)
}
