package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/process/metrics"
)

// partsScenario describes a simulated run of entries that send requests with prompts to
// targets, which one part of a prompt crashes.
type partsScenario struct {
	entries, targets int
	// lockStep tells whether the targets are one group, which serves nothing from a crash
	// until the target is back.
	lockStep bool
	// crashingPerSecond and soundPerSecond are the rates of requests with and without the
	// crashing part over all entries, from crashingFrom on.
	crashingPerSecond, soundPerSecond float64
	crashingFrom                      time.Duration
	// attempts is how many targets a request may be sent to.
	attempts int
	// firstParts is how many first parts there are. Their popularity falls with their
	// number. sameFirst lets all requests with the crashing part have one of them.
	firstParts int
	sameFirst  bool
	restart    time.Duration
	// otherCrashes is the mean time between crashes of a quarter of the targets for other
	// reasons, entryRestarts that between restarts of entries; 0 for none.
	otherCrashes, entryRestarts time.Duration
	lossShare                   float64
	fault                       partsFault
	partsCallers
}

// partsFault is a way in which the simulated entries are broken.
type partsFault int

const (
	// partsIgnored takes no evidence from parts.
	partsIgnored partsFault = iota + 1
	// runsIgnored takes no evidence from requests that ran.
	runsIgnored
	// evidenceKept does not share evidence.
	evidenceKept
)

const (
	crashingPart = 1 << 32
	// simBegin is the longest time from sending a request until it begins, simProven that
	// from there until its entry knows that it ran.
	simBegin, simProven = 300 * time.Millisecond, 350 * time.Millisecond
	// simFirstEvent is the time from there until its entry has its first event.
	simFirstEvent = 50 * time.Millisecond
	simForming    = 600 * time.Millisecond
	// thirdCrash is the number of crashes from which a part may be on trial.
	thirdCrash = 3
	// fifthCrash is the number of crashes after which the crashing part is counted.
	fifthCrash = 5
	// simSettle is the time after the fifth crash, or the last, from which sound requests
	// must be served.
	simSettle = 2 * simSpread
)

type partsEntry struct {
	tracker   *Tracker
	detector  *CrashDetector
	startedAt time.Time
}

type partsTarget struct {
	incarnation int
	downUntil   time.Time
}

// partsRequest is a request in flight.
type partsRequest struct {
	entry        *partsEntry
	target       int
	subject      Subject
	crashing     bool
	attemptsLeft int
	// trial is what the request runs on trial for, 0 for nothing.
	trial   uint64
	beginAt time.Time
	ran     bool
}

// partsOutcome counts the sound requests with one first part once they must be served.
type partsOutcome struct{ sent, refused int }

type partsSim struct {
	scenario partsScenario
	random   *rand.Rand
	clock    *clockwork.FakeClock
	started  time.Time
	metrics  *metrics.Metrics
	entries  []*partsEntry
	targets  []*partsTarget
	closed   time.Time
	inFlight []*partsRequest
	number   uint64

	crashes, laterSends int
	thirdAt             time.Time
	fifthAt, lastAt     time.Time
	sound               []partsOutcome
	// late is the evidence on its way to an entry.
	late []lateEvidence
}

func newPartsSim(scenario partsScenario, seed uint64) *partsSim {
	s := &partsSim{
		scenario: scenario, random: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(),
		metrics: metrics.New("direct", 1), sound: make([]partsOutcome, scenario.firstParts),
	}
	s.started = s.clock.Now()
	for range scenario.entries {
		s.entries = append(s.entries, s.newEntry())
	}
	for range scenario.targets {
		s.targets = append(s.targets, &partsTarget{incarnation: 1})
	}
	return s
}

func (s *partsSim) newEntry() *partsEntry {
	e := &partsEntry{tracker: NewTracker(refuseAfterThree, s.clock), startedAt: s.clock.Now()}
	e.detector = NewCrashDetector(DetectorConfig{
		Tracker: e.tracker, Clock: s.clock, Metrics: s.metrics, Log: discardLog(), Share: func() { s.share(e) },
	})
	return e
}

// share sends an entry's evidence to the others.
func (s *partsSim) share(from *partsEntry) {
	if s.scenario.fault == evidenceKept {
		return
	}
	evidence := from.tracker.Recent(simEvidenceItems, simEvidenceSpan)
	evidence.Append(from.tracker.NextCrash())
	evidence.Append(from.tracker.Restricted(simRestrictedCrashes))
	for _, to := range s.entries {
		if to == from || s.random.Float64() < s.scenario.lossShare {
			continue
		}
		if s.scenario.evidenceDelay == 0 {
			to.tracker.Merge(evidence)
			continue
		}
		delay := time.Duration(s.random.Int64N(int64(s.scenario.evidenceDelay)))
		s.late = append(s.late, lateEvidence{to, evidence, s.clock.Now().Add(delay)})
	}
}

// manyEntries is the number of entries from which heartbeats are sent less often.
const manyEntries = 8

// heartbeat is the time between two heartbeats of an entry.
func (s *partsSim) heartbeat() time.Duration {
	if s.scenario.entries > manyEntries {
		return 5 * simHeartbeat
	}
	return simHeartbeat
}

func (s *partsSim) happens(perSecond float64) bool {
	return s.random.Float64() < perSecond*simTick.Seconds()
}

func (s *partsSim) run() {
	for ; s.clock.Since(s.started) < simLength; s.clock.Advance(simTick) {
		for i := range s.entries {
			if every := s.scenario.entryRestarts; every > 0 && s.happens(1/every.Seconds()) {
				s.restart(i)
			}
		}
		if every := s.scenario.otherCrashes; every > 0 && s.happens(1/every.Seconds()) {
			for _, n := range s.random.Perm(len(s.targets))[:max(len(s.targets)/4, 1)] {
				s.crash(n)
			}
		}
		if s.clock.Since(s.started) >= s.scenario.crashingFrom && s.happens(s.scenario.crashingPerSecond) {
			s.arrive(true)
		}
		if s.happens(s.scenario.soundPerSecond) {
			s.arrive(false)
		}
		s.advance()
		s.deliver()
		if s.clock.Since(s.started)%s.heartbeat() == 0 {
			for _, e := range s.entries {
				s.share(e)
			}
		}
	}
}

func (s *partsSim) restart(n int) {
	old := s.entries[n]
	s.entries[n] = s.newEntry()
	s.inFlight = slices.DeleteFunc(s.inFlight, func(r *partsRequest) bool { return r.entry == old })
}

// drawFirst draws a first part; low numbers are drawn more often.
func (s *partsSim) drawFirst() int {
	return int(float64(s.scenario.firstParts) * s.random.Float64() * s.random.Float64())
}

// arrive lets a request arrive at an entry.
func (s *partsSim) arrive(crashing bool) {
	r, first := s.draw(crashing)
	refused := s.refuses(r)
	if !refused {
		refused = !s.send(r) && s.scenario.newFirst
	}
	if !crashing && s.mustBeServed() {
		s.sound[first].sent++
		if refused {
			s.sound[first].refused++
		}
	}
}

// refuses reports whether an entry refuses a request as it arrives.
func (s *partsSim) refuses(r *partsRequest) bool {
	assessment, trial := r.entry.tracker.AssessRequest(r.subject)
	return s.scenario.fault != partsIgnored &&
		(assessment.Failure(s.clock.Now()) != nil || trial != 0 && !r.entry.detector.MayTry(trial, slices.Index(s.entries, r.entry)))
}

// mustBeServed reports whether sound requests must be served by now.
func (s *partsSim) mustBeServed() bool {
	from := s.lastAt
	if !s.fifthAt.IsZero() {
		from = s.fifthAt
	}
	return !from.IsZero() && s.clock.Since(from) > simSettle
}

// mayRun reports whether an entry may send a request to the target that it has for it.
func (s *partsSim) mayRun(r *partsRequest) bool {
	if s.scenario.fault == partsIgnored {
		return true
	}
	assessment, trial := r.entry.tracker.AssessRequest(r.subject)
	if assessment.Failure(s.clock.Now()) != nil {
		return false
	}
	if r.trial != 0 {
		return false // a request on trial is sent to one target only
	}
	r.trial = trial
	return trial == 0 || r.entry.detector.BeginTrial(trial, slices.Index(s.entries, r.entry))
}

// send sends a request to a target that is up, if the group is open. It returns false if the request may
// not run, or does not reach its target.
func (s *partsSim) send(r *partsRequest) bool {
	now := s.clock.Now()
	up := slices.DeleteFunc(s.random.Perm(len(s.targets)), func(n int) bool { return now.Before(s.targets[n].downUntil) })
	if len(up) == 0 || s.scenario.lockStep && now.Before(s.closed) {
		return true
	}
	if !s.mayRun(r) {
		return false
	}
	if r.trial != 0 && s.random.Float64() < s.scenario.missed {
		r.entry.detector.TrialUnsent(r.trial)
		return false
	}
	if r.crashing && s.crashes >= fifthCrash && now.Sub(s.fifthAt) > simSpread && now.Sub(r.entry.startedAt) > simSpread {
		s.laterSends++
	}
	if r.trial != 0 && s.random.Float64() < s.scenario.inconclusive {
		return true
	}
	r.attemptsLeft--
	r.target = up[0]
	r.beginAt = now.Add(time.Duration(s.random.Int64N(int64(simBegin))))
	s.inFlight = append(s.inFlight, r)
	return true
}

// advance lets the requests in flight begin, run and complete.
func (s *partsSim) advance() {
	now := s.clock.Now()
	for _, r := range slices.Clone(s.inFlight) {
		if now.Before(r.beginAt) || !slices.Contains(s.inFlight, r) {
			continue
		}
		if r.crashing {
			s.crash(r.target)
			s.crashes++
			switch s.crashes {
			case thirdCrash:
				s.thirdAt = now
			case fifthCrash:
				s.fifthAt = now
			}
			s.lastAt = now
			continue
		}
		if !r.ran && now.Sub(r.beginAt) >= simProven {
			r.ran = true
			if s.scenario.fault != runsIgnored {
				r.entry.detector.PartsRan(r.subject.Parts)
			}
		}
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(r *partsRequest) bool { return now.Sub(r.beginAt) > time.Second })
}

// crash ends a target. Its requests are interrupted, and in a group those of all others fail.
func (s *partsSim) crash(n int) {
	now := s.clock.Now()
	t := s.targets[n]
	if now.Before(t.downUntil) {
		return
	}
	id, incarnation := fmt.Sprint(n), fmt.Sprint(t.incarnation)
	t.downUntil = now.Add(s.scenario.restart)
	t.incarnation++
	s.closed = t.downUntil.Add(simForming)
	var interrupted []*partsRequest
	s.inFlight = slices.DeleteFunc(s.inFlight, func(r *partsRequest) bool {
		if r.target == n {
			interrupted = append(interrupted, r)
			return true
		}
		if s.scenario.lockStep && !r.ran && now.Sub(r.beginAt) > simFirstEvent && s.scenario.fault != runsIgnored {
			r.entry.detector.PartsRan(r.subject.Parts)
		}
		return s.scenario.lockStep
	})
	noticed := map[*partsEntry]bool{}
	for _, r := range interrupted {
		subject := r.subject
		if r.ran {
			subject.Parts = nil
		}
		r.entry.detector.RequestInterrupted(id, incarnation, Interruption{Subject: subject, Trial: r.trial, ConnectedAt: r.beginAt})
		noticed[r.entry] = true
	}
	for _, e := range s.entries {
		if noticed[e] {
			e.detector.TargetEnded(id, incarnation, ConnectionRefused)
		}
	}
	for _, r := range interrupted {
		if r.attemptsLeft > 0 {
			s.send(r)
		}
	}
}
