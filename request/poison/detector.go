package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/metrics"
)

const (
	// interruptedTTL is how long an interrupted request counts as in flight at a
	// crash that is detected later.
	interruptedTTL = 10 * time.Second
	// maxInterrupted bounds the interrupted requests that are kept for one target.
	maxInterrupted = 32
)

// CrashSign is what shows that a target's incarnation has ended.
type CrashSign string

// Signs of a crash.
const (
	// ConnectionRefused means that nothing listens at the target's address.
	ConnectionRefused CrashSign = "connection refused"
	// AddressTaken means that another target responded at the address.
	AddressTaken CrashSign = "address taken by another target"
	// RegistrationReplaced means that a later incarnation registered, or another target
	// at the address.
	RegistrationReplaced CrashSign = "registration replaced"
	// RegistrationDeleted means that the target's registration was deleted although the
	// target had not said that it leaves.
	RegistrationDeleted CrashSign = "registration deleted"
)

// DetectorConfig holds the dependencies of a CrashDetector.
type DetectorConfig struct {
	// Tracker receives the crashes.
	Tracker *Tracker
	Clock   clockwork.Clock
	Metrics *metrics.Metrics
	Log     *logrus.Entry
	// Share sends new evidence to peers at once, before this process can be lost with it.
	Share func()
}

// CrashDetector detects crashes where no agent reports them. A target has crashed if it
// interrupted requests, has not responded to any later request, and then shows a
// CrashSign. The interrupted requests were in flight. CrashDetector is safe for
// concurrent use.
type CrashDetector struct {
	config DetectorConfig
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
	onTrial     bool
	at          time.Time
}

// NewCrashDetector returns a CrashDetector that adds the crashes it detects to a Tracker.
func NewCrashDetector(config DetectorConfig) *CrashDetector {
	return &CrashDetector{config: config, interrupted: map[crashID][]interruptedRequest{}}
}

// RequestInterrupted records that a target interrupted a request that it may have run.
func (d *CrashDetector) RequestInterrupted(target, incarnation string, fingerprint uint64, onTrial bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	id := crashID{target, incarnation}
	requests := d.interrupted[id]
	for len(requests) > 0 && (now.Sub(requests[0].at) > interruptedTTL || len(requests) >= maxInterrupted) {
		requests = requests[1:]
	}
	d.interrupted[id] = append(requests, interruptedRequest{fingerprint, onTrial, now})
	d.interruptedCount.Store(int64(len(d.interrupted)))
}

// TargetResponded records that a target has responded to a request that was sent at the
// given time, so that interruptions of requests before then do not count as a crash.
// Later ones still do: the response may have been on its way when the target crashed.
func (d *CrashDetector) TargetResponded(target, incarnation string, sent time.Time) {
	if d.interruptedCount.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	id := crashID{target, incarnation}
	requests := d.interrupted[id]
	for len(requests) > 0 && !requests[0].at.After(sent) {
		requests = requests[1:]
	}
	d.interrupted[id] = requests
	if len(requests) == 0 {
		delete(d.interrupted, id)
	}
	d.interruptedCount.Store(int64(len(d.interrupted)))
}

// TargetEnded records that a target's incarnation no longer exists, as sign shows. It
// reports whether this added evidence of a crash.
func (d *CrashDetector) TargetEnded(target, incarnation string, sign CrashSign) bool {
	if d.interruptedCount.Load() == 0 {
		return false
	}
	crash := Crash{Target: target, Incarnation: incarnation}
	now := d.config.Clock.Now()
	first := now
	d.mu.Lock()
	for _, request := range d.interrupted[crash.id()] {
		if now.Sub(request.at) > interruptedTTL {
			continue
		}
		crash.Fingerprints = append(crash.Fingerprints, request.fingerprint)
		if request.onTrial {
			crash.OnTrial = append(crash.OnTrial, request.fingerprint)
		}
		first = earlier(first, request.at)
	}
	delete(d.interrupted, crash.id())
	d.interruptedCount.Store(int64(len(d.interrupted)))
	d.mu.Unlock()
	if len(crash.Fingerprints) == 0 {
		return false
	}
	added := d.config.Tracker.Crashed(crash, now.Sub(first))
	d.logCrash(crash, sign, now.Sub(first))
	if added {
		d.config.Share()
	}
	return added
}

// TargetLeft records that a target has ended as it had announced, which is no crash.
func (d *CrashDetector) TargetLeft(target, incarnation string) {
	if d.interruptedCount.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.interrupted, crashID{target, incarnation})
	d.interruptedCount.Store(int64(len(d.interrupted)))
}

// logCrash logs and counts a crash and, of the requests in flight, those that do not run freely
// because of it and earlier ones.
func (d *CrashDetector) logCrash(crash Crash, sign CrashSign, age time.Duration) {
	d.config.Metrics.CountTargetCrash(string(sign))
	var restricted []uint64
	for _, fingerprint := range crash.Fingerprints {
		if d.config.Tracker.Assess(fingerprint).Level != Clear {
			restricted = append(restricted, fingerprint)
		}
	}
	d.config.Log.WithFields(logrus.Fields{
		"target": crash.Target, "incarnation": crash.Incarnation, "sign": sign, "age_ms": age.Milliseconds(),
		"in_flight": len(crash.Fingerprints), "on_trial": len(crash.OnTrial), "restricted": restricted,
	}).Warn("target crashed")
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
