package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// interruptedTTL is how long an interrupted request counts as in flight at a
	// crash that is detected later.
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
	// interruptedCount is the size of interrupted, read to skip the lock while that is
	// empty.
	interruptedCount atomic.Int64

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
func (d *CrashDetector) RequestInterrupted(target, incarnation string, fingerprint uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	id := crashID{target, incarnation}
	requests := d.interrupted[id]
	for len(requests) > 0 && (now.Sub(requests[0].at) > interruptedTTL || len(requests) >= maxInterrupted) {
		requests = requests[1:]
	}
	d.interrupted[id] = append(requests, interruptedRequest{fingerprint, now})
	d.interruptedCount.Store(int64(len(d.interrupted)))
}

// TargetResponded records that a target has responded, so that its earlier
// interruptions of requests do not count as a crash.
func (d *CrashDetector) TargetResponded(target, incarnation string) {
	if d.interruptedCount.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.interrupted, crashID{target, incarnation})
	d.interruptedCount.Store(int64(len(d.interrupted)))
}

// TargetEnded records that a target's incarnation no longer exists. It reports whether
// this added evidence of a crash, which should then be shared with peers.
func (d *CrashDetector) TargetEnded(target, incarnation string) bool {
	if d.interruptedCount.Load() == 0 {
		return false
	}
	crash := Crash{Target: target, Incarnation: incarnation}
	now := d.clock.Now()
	first := now
	d.mu.Lock()
	for _, request := range d.interrupted[crash.id()] {
		if now.Sub(request.at) <= interruptedTTL {
			crash.Fingerprints = append(crash.Fingerprints, request.fingerprint)
			first = earlier(first, request.at)
		}
	}
	delete(d.interrupted, crash.id())
	d.interruptedCount.Store(int64(len(d.interrupted)))
	d.mu.Unlock()
	if len(crash.Fingerprints) == 0 {
		return false
	}
	return d.tracker.Crashed(crash, now.Sub(first))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
