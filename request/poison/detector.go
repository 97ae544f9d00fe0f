package poison

import (
	"slices"
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
	// Share sends new evidence and trials to peers at once, before this process can be lost
	// with them.
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
	interrupted map[incarnationID][]interruptedRequest
}

// Interruption is a request that a target may have run but did not complete.
type Interruption struct {
	// Subject is without Parts if the request had received events for some time.
	Subject
	// Trial is the fingerprint or the part that was on trial, 0 for none.
	Trial uint64
	// ConnectedAt is when the target last accepted a connection of this process.
	ConnectedAt time.Time
}

// interruptedRequest is an Interruption at a time.
type interruptedRequest struct {
	Interruption
	at time.Time
}

// NewCrashDetector returns a CrashDetector that adds the crashes it detects to a Tracker.
func NewCrashDetector(config DetectorConfig) *CrashDetector {
	return &CrashDetector{config: config, interrupted: map[incarnationID][]interruptedRequest{}}
}

// RequestInterrupted records that a target interrupted a request that it may have run.
func (d *CrashDetector) RequestInterrupted(target, incarnation string, request Interruption) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Now()
	id := incarnationID{target, incarnation}
	requests := d.interrupted[id]
	for len(requests) > 0 && (now.Sub(requests[0].at) > interruptedTTL || len(requests) >= maxInterrupted) {
		requests = requests[1:]
	}
	d.interrupted[id] = append(requests, interruptedRequest{request, now})
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
	id := incarnationID{target, incarnation}
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
	now := d.config.Clock.Now()
	added := false
	for _, crash := range d.crashesOf(incarnationID{target, incarnation}, sign, now) {
		age := now.Sub(crash.At)
		added = d.config.Tracker.Crashed(crash, age) || added
		d.logCrash(crash, sign, age)
	}
	if added {
		d.config.Share()
	}
	return added
}

// crashesOf returns the crashes that the interrupted requests of an ended incarnation show,
// and forgets these requests. There are several if the target has restarted since it
// registered: a target that accepted a connection after a crash, and refuses them now, has
// crashed again. Other signs may come long after the interruptions, and of a target that
// has been down all the while.
func (d *CrashDetector) crashesOf(id incarnationID, sign CrashSign, now time.Time) []Crash {
	var crashes []Crash
	for _, request := range d.takeInterrupted(id) {
		if now.Sub(request.at) > interruptedTTL {
			continue
		}
		restart := 0
		if sign == ConnectionRefused {
			restart = d.config.Tracker.Restarts(id.target, id.incarnation, request.ConnectedAt)
		}
		n := slices.IndexFunc(crashes, func(c Crash) bool { return c.Restart == restart })
		if n < 0 {
			n = len(crashes)
			crashes = append(crashes, Crash{Target: id.target, Incarnation: id.incarnation, Restart: restart, At: request.at})
		}
		crash := &crashes[n]
		crash.Fingerprints = append(crash.Fingerprints, request.Fingerprint)
		crash.Parts = append(crash.Parts, request.Parts...)
		if request.Trial != 0 {
			crash.OnTrial = append(crash.OnTrial, request.Trial)
		}
	}
	return crashes
}

// takeInterrupted returns the interrupted requests of an incarnation, in the order in which
// they were interrupted, and forgets them.
func (d *CrashDetector) takeInterrupted(id incarnationID) []interruptedRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	requests := d.interrupted[id]
	delete(d.interrupted, id)
	d.interruptedCount.Store(int64(len(d.interrupted)))
	return requests
}

// Completed records that a request completed, which shows that it crashed no target that it
// was interrupted by before. It shares the clearance of a suspect with peers.
func (d *CrashDetector) Completed(fingerprint uint64) {
	if d.interruptedCount.Load() > 0 {
		d.forget(fingerprint)
	}
	if d.config.Tracker.Completed(fingerprint) {
		d.config.Share()
	}
}

// PartsRan records that a request with some prompt parts ran; see Ledger.PartsRan. It shares
// the clearance of a suspected part with peers.
func (d *CrashDetector) PartsRan(parts []uint64) {
	if len(parts) > 0 && d.config.Tracker.PartsRan(parts) {
		d.config.Share()
	}
}

// forget drops the interrupted requests with a fingerprint.
func (d *CrashDetector) forget(fingerprint uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, requests := range d.interrupted {
		left := slices.DeleteFunc(requests, func(r interruptedRequest) bool { return r.Fingerprint == fingerprint })
		if len(left) == 0 {
			delete(d.interrupted, id)
			continue
		}
		d.interrupted[id] = left
	}
	d.interruptedCount.Store(int64(len(d.interrupted)))
}

// BeginTrial is Tracker.BeginTrial. It shares the trial with peers before the request runs.
func (d *CrashDetector) BeginTrial(suspect uint64, rank int) bool {
	begun := d.config.Tracker.BeginTrial(suspect, rank)
	if begun {
		d.config.Log.WithFields(logrus.Fields{"suspect": FormatParts([]uint64{suspect}), "rank": rank}).Info("trial begins")
		d.config.Share()
	}
	return begun
}

// MayTry is Tracker.MayTry. It tells peers that this process has requests with the suspect, and logs
// that they wait.
func (d *CrashDetector) MayTry(suspect uint64, rank int) bool {
	if d.config.Tracker.Want(suspect, rank) {
		d.config.Log.WithFields(logrus.Fields{"suspect": FormatParts([]uint64{suspect}), "rank": rank}).Info("requests wait for a trial")
		d.config.Share()
	}
	return d.config.Tracker.MayTry(suspect, rank)
}

// TrialUnsent is Tracker.TrialUnsent. It shares with peers that the trial does not count.
func (d *CrashDetector) TrialUnsent(suspect uint64) {
	if d.config.Tracker.TrialUnsent(suspect) {
		d.config.Share()
	}
}

// TargetLeft records that a target has ended as it had announced, which is no crash.
func (d *CrashDetector) TargetLeft(target, incarnation string) {
	if d.interruptedCount.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.interrupted, incarnationID{target, incarnation})
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
		"target": crash.Target, "incarnation": crash.Incarnation, "restart": crash.Restart, "sign": sign, "age_ms": age.Milliseconds(),
		"in_flight": len(crash.Fingerprints), "on_trial": len(crash.OnTrial), "restricted": restricted,
		"parts": FormatParts(crash.Parts),
	}).Warn("target crashed")
}
