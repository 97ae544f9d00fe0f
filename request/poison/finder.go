package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// brokenKept is how long a request that broke off may lie before its target
	// proves to have crashed.
	brokenKept = 10 * time.Second
	// brokenMost bounds the requests that are kept for one target.
	brokenMost = 32
)

// Finder finds crashes where no agent reports them: a target that broke requests
// off, has answered nothing since, and refuses connections or has another
// incarnation has crashed with those requests in flight. It is safe for concurrent
// use.
type Finder struct {
	tracker *Tracker
	clock   clockwork.Clock
	// watched counts the targets in broken, to skip the lock without any.
	watched atomic.Int64

	// mu guards broken; the Tracker's lock is not taken under it.
	mu     sync.Mutex
	broken map[crashID][]brokenRequest
}

// brokenRequest is a request that a target broke off.
type brokenRequest struct {
	fingerprint uint64
	at          time.Time
}

// NewFinder returns a Finder that adds to a Tracker's evidence.
func NewFinder(tracker *Tracker, clock clockwork.Clock) *Finder {
	return &Finder{tracker: tracker, clock: clock, broken: map[crashID][]brokenRequest{}}
}

// Broke notes that a target broke a request off that it may have run.
func (f *Finder) Broke(target, incarnation string, fingerprint uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	id := crashID{target, incarnation}
	kept := f.broken[id]
	for len(kept) > 0 && (now.Sub(kept[0].at) > brokenKept || len(kept) >= brokenMost) {
		kept = kept[1:]
	}
	f.broken[id] = append(kept, brokenRequest{fingerprint, now})
	f.watched.Store(int64(len(f.broken)))
}

// Answered notes that a target lives.
func (f *Finder) Answered(target, incarnation string) {
	if f.watched.Load() == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.broken, crashID{target, incarnation})
	f.watched.Store(int64(len(f.broken)))
}

// Ended notes that a target's incarnation is there no more. It tells whether that
// is news, to be passed on.
func (f *Finder) Ended(target, incarnation string) bool {
	if f.watched.Load() == 0 {
		return false
	}
	crash := Crash{Target: target, Incarnation: incarnation}
	now := f.clock.Now()
	first := now
	f.mu.Lock()
	for _, one := range f.broken[crash.id()] {
		if now.Sub(one.at) <= brokenKept {
			crash.Fingerprints = append(crash.Fingerprints, one.fingerprint)
			first = earlier(first, one.at)
		}
	}
	delete(f.broken, crash.id())
	f.watched.Store(int64(len(f.broken)))
	f.mu.Unlock()
	if len(crash.Fingerprints) == 0 {
		return false
	}
	return f.tracker.Crashed(crash, now.Sub(first))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
