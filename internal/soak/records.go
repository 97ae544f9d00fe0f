package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/platform/standin"
)

// Promise is a promise of the system that the soak checks.
type Promise string

// Promises.
const (
	// OrderRunsOnce: an order runs at most once per attempt.
	OrderRunsOnce Promise = "an order runs at most once"
	// RefusalIsTrue: a request that was refused as not run has not run, and never will.
	RefusalIsTrue Promise = "a refused request has not run"
	// AnswerIsWhole: a successful answer is signed, whole and the caller's own.
	AnswerIsWhole Promise = "an answer is whole and the caller's own"
	// StreamIsWhole: a stream has all its events in order, or visibly ends early.
	StreamIsWhole Promise = "a stream is whole or visibly cut"
	// RequestIsUnchanged: targets run what callers sent, without the callers' keys.
	RequestIsUnchanged Promise = "a target runs what the caller sent"
	// OneMapPerStep: all ranks of a group use one expert map in each step.
	OneMapPerStep Promise = "one expert map in each step"
	// LookupsAreServed: after faults have ended and recovery has passed, every lookup is.
	LookupsAreServed Promise = "lookups are served after recovery"
	// CrashingPartIsRefused: requests with a part that crashes targets reach few of them once
	// it has crashed some.
	CrashingPartIsRefused Promise = "a part that crashes targets is refused"
	// RestIsGranted: a target that has asked an entry for some seconds of rest gets next to
	// nothing from it in that time.
	RestIsGranted Promise = "a target that asks for rest gets it"
	// LimitIsKept: a target that names a limit gets no more from all entries together.
	LimitIsKept Promise = "a target's limit is kept"
	// StopCutsNothing: a planned stop cuts off no request that runs.
	StopCutsNothing Promise = "a planned stop cuts off nothing that runs"
	// StandinsWork: the stand-ins of the soak start again. It is no promise of the system, but
	// a run without them says nothing.
	StandinsWork Promise = "the stand-ins of the soak work"
	// ProcessesStay: no process ends by itself, and none takes too long to shut down.
	ProcessesStay Promise = "processes end when told to, and only then"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	// At is the time of the day.
	At     time.Duration
	Detail string
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%5.2f s: %s: %s", v.At.Seconds(), v.Promise, v.Detail)
}

// requestKind is a kind of request.
type requestKind string

const (
	lookup requestKind = "lookup"
	order  requestKind = "order"
	chat   requestKind = "chat"
	// crashing requests have crashingPart. They are no two alike.
	crashing requestKind = "crashing"
	// slowLookup and slowOrder requests take longer than most.
	slowLookup requestKind = "slow lookup"
	slowOrder  requestKind = "slow order"
)

// once reports whether requests of the kind may run at most once.
func (k requestKind) once() bool { return k == order || k == slowOrder }

// repeatable reports whether callers send a request of the kind again after any failure.
func (k requestKind) repeatable() bool { return k == lookup || k == slowLookup }

// attempt is one request that a caller has sent.
type attempt struct {
	id   string
	kind requestKind
	path string
	// entry is the number of the entry that it was sent to.
	entry int
	// at is when it was sent.
	at time.Time
}

// cutAttempt is how an attempt ended that had no whole answer.
type cutAttempt struct {
	// at is the time of the day, took the time since the attempt was sent.
	at, took time.Duration
	cause    error
}

// String describes the end of the attempt.
func (c cutAttempt) String() string {
	return fmt.Sprintf("%v, %.2f s after it was sent, at %.2f s", c.cause, c.took.Seconds(), c.at.Seconds())
}

// maxViolations bounds the violations that are kept.
const maxViolations = 50

// records holds what callers and targets have seen. It is safe for concurrent use.
type records struct {
	// mu guards the fields below; it is a leaf lock.
	mu sync.Mutex
	// started is when the day began.
	started time.Time
	// sent holds all attempts by ID, refused the status of those that were refused as not
	// run.
	sent    map[string]attempt
	refused map[string]int
	// cut holds the attempts that had no whole answer though their callers still waited, by ID.
	cut        map[string]cutAttempt
	violations []Violation
	// outcomes counts requests by kind and outcome, samples are the requests themselves.
	outcomes map[requestKind]map[string]int
	samples  []Sample
}

// Sample is a request of a caller, with its retries.
type Sample struct {
	Kind string
	// At is the time of the day at which it was sent, Took the time until its end.
	At, Took time.Duration
	// Outcome is "served", a status, or a word for what happened.
	Outcome string
}

func newRecords() *records {
	return &records{started: time.Now(), sent: map[string]attempt{}, refused: map[string]int{}, cut: map[string]cutAttempt{}, outcomes: map[requestKind]map[string]int{}}
}

// begin records an attempt and gives it an ID.
func (r *records) begin(kind requestKind, path string, entry int) attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := attempt{id: fmt.Sprintf("%s-%d", kind, len(r.sent)), kind: kind, path: path, entry: entry, at: time.Now()}
	if kind == crashing {
		sent.path += sent.id
	}
	r.sent[sent.id] = sent
	return sent
}

// refusedAsNotRun records that an attempt was refused with a status that promises that it
// has not run.
func (r *records) refusedAsNotRun(sent attempt, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[sent.id] = status
}

// wasNotAnswered records that an attempt had no whole answer, with the error that its caller saw.
func (r *records) wasNotAnswered(sent attempt, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[sent.id] = cutAttempt{at: time.Since(r.started), took: time.Since(sent.at), cause: cause}
}

// cutOf returns how an attempt was cut off, if it was.
func (r *records) cutOf(id string) (cutAttempt, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cut, wasCut := r.cut[id]
	return cut, wasCut
}

// latencyObjective is that of the routes of lookups and orders, see standin.Configuration.
const latencyObjective = 300 * time.Millisecond

// IsLate reports whether a request was served after the latency objective of its route. Streams,
// whose objective is the time to the first event, are never late here.
func (s Sample) IsLate() bool {
	return s.Outcome == Served && s.Kind != string(chat) && s.Took > latencyObjective
}

// count counts a request that was sent at the given time and has just ended.
func (r *records) count(kind requestKind, outcome string, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, Sample{string(kind), sent.Sub(r.started), time.Since(sent), outcome})
	if r.outcomes[kind] == nil {
		r.outcomes[kind] = map[string]int{}
	}
	r.outcomes[kind][outcome]++
}

// broken records a broken promise.
func (r *records) broken(promise Promise, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, Violation{promise, time.Since(r.started), fmt.Sprintf(format, arguments...)})
	}
}

// startDay sets the beginning of the times of a day.
func (r *records) startDay(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = at
}

// IsRefusal reports whether an outcome is a status that promises that the request has not run.
func IsRefusal(outcome string) bool {
	status, err := strconv.Atoi(outcome)
	return err == nil && promisesNotRun(status)
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkExecuted compares what targets have run with what callers have sent and were told.
func (r *records) checkExecuted(executed []standin.ExecutedRequest) {
	runs := map[string]int{}
	for _, request := range executed {
		runs[request.AttemptID]++
		r.checkUnchanged(request)
	}
	for id, count := range runs {
		sent := r.sentAttempt(id)
		if sent.kind.once() && count > 1 {
			r.broken(OrderRunsOnce, "%s ran %d times", id, count)
		}
		if status := r.refusalOf(id); status != 0 && sent.kind.once() {
			r.broken(RefusalIsTrue, "%s was refused with %d and ran", id, status)
		}
	}
}

func (r *records) sentAttempt(id string) attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[id]
}

func (r *records) refusalOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused[id]
}

// checkUnchanged checks that a target has run a request as it was sent.
func (r *records) checkUnchanged(request standin.ExecutedRequest) {
	sent := r.sentAttempt(request.AttemptID)
	switch {
	case sent.id == "":
		r.broken(RequestIsUnchanged, "nobody has sent %q", request.AttemptID)
	case request.Path != sent.path || request.Body != requestBody || request.Method != http.MethodPost:
		r.broken(RequestIsUnchanged, "%s ran as %s %s %q", sent.id, request.Method, request.Path, request.Body)
	case request.Organisation != standin.Organisation || request.Key != "":
		r.broken(RequestIsUnchanged, "%s ran for organisation %q with key %q", sent.id, request.Organisation, request.Key)
	}
}
