package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// interruptedTTL is how long before the detection of a crash a request may have
	// been interrupted to count as in flight at the crash.
	interruptedTTL = 10 * time.Second
	// maxInterrupted bounds the interrupted requests that are kept for one target.
	maxInterrupted = 32
)

// CrashDetector detects crashes where no agent reports them. A target has crashed if it
// interrupted requests, has not responded to any request since, and then refuses
// connections or has another incarnation. The interrupted requests were in flight.
// CrashDetector is safe for concurrent use.
type CrashDetector struct {
	tracker *Tracker
	clock   clockwork.Clock
	// targets is the size of interrupted, read to skip the lock while there are none.
	targets atomic.Int64

	// mu guards interrupted; the Tracker's lock is not taken under it.
	mu          sync.Mutex
	interrupted map[crashID][]interruptedRequest
}

// interruptedRequest is a request that a target may have run but did not complete.
type interruptedRequest struct {
	fingerprint uint64
	at          time.Time
}

// NewCrashDetector returns a CrashDetector that adds the crashes it detects to a Tracker.
func NewCrashDetector(tracker *Tracker, clock clockwork.Clock) *CrashDetector {
	return &CrashDetector{tracker: tracker, clock: clock, interrupted: map[crashID][]interruptedRequest{}}
}

// RequestInterrupted records that a target interrupted a request that it may have run.
func (f *CrashDetector) RequestInterrupted(target, incarnation string, fingerprint uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	id := crashID{target, incarnation}
	requests := f.interrupted[id]
	for len(requests) > 0 && (now.Sub(requests[0].at) > interruptedTTL || len(requests) >= maxInterrupted) {
		requests = requests[1:]
	}
	f.interrupted[id] = append(requests, interruptedRequest{fingerprint, now})
	f.targets.Store(int64(len(f.interrupted)))
}

// TargetResponded records that a target has responded, so its earlier interruptions were no
// crash.
func (f *CrashDetector) TargetResponded(target, incarnation string) {
	if f.targets.Load() == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.interrupted, crashID{target, incarnation})
	f.targets.Store(int64(len(f.interrupted)))
}

// TargetEnded records that a target's incarnation no longer exists. It reports whether this
// added evidence of a crash, which should then be shared with peers.
func (f *CrashDetector) TargetEnded(target, incarnation string) bool {
	if f.targets.Load() == 0 {
		return false
	}
	crash := Crash{Target: target, Incarnation: incarnation}
	now := f.clock.Now()
	first := now
	f.mu.Lock()
	for _, request := range f.interrupted[crash.id()] {
		if now.Sub(request.at) <= interruptedTTL {
			crash.Fingerprints = append(crash.Fingerprints, request.fingerprint)
			first = earlier(first, request.at)
		}
	}
	delete(f.interrupted, crash.id())
	f.targets.Store(int64(len(f.interrupted)))
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
