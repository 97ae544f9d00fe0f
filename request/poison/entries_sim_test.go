package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/process/metrics"
)

// entriesScenario describes a simulated run of entries that send requests to targets
// without agents, one of which crashes every target that runs it.
type entriesScenario struct {
	entries, targets int
	// resendEvery is the mean time between two arrivals of the crashing request, and
	// attempts how many targets one arrival may be sent to.
	resendEvery time.Duration
	attempts    int
	// copies is how many copies of the crashing request arrive at once, each at another
	// entry, and turnedAwayShare the share of them that targets refuse without running
	// them.
	copies          int
	turnedAwayShare float64
	// harmlessPerSecond is the rate of other requests at each entry.
	harmlessPerSecond float64
	// restart is how long a crashed target is down; keepsID tells whether it comes back
	// under its ID.
	restart time.Duration
	keepsID bool
	// otherCrashes is the mean time between crashes of targets for other reasons, 0 for
	// none, and entryRestarts that between restarts of entries.
	otherCrashes, entryRestarts time.Duration
	// lossShare is the share of heartbeats that are lost.
	lossShare float64
	// storeAway keeps the entries from storing evidence. They are then restarted one after
	// the other, at least simSpread apart.
	storeAway bool
	// fault is how the entries are broken, 0 for not at all.
	fault simFault
}

// simFault is a way in which the simulated entries are broken.
type simFault int

const (
	// targetsNotChecked leaves crashes to be noticed by later requests.
	targetsNotChecked simFault = iota + 1
	// registrationsIgnored takes no evidence from registrations.
	registrationsIgnored
	// onlyNewestCrashes reports the newest crashes in heartbeats and no others.
	onlyNewestCrashes
	// trialsUnlimited lets every entry run suspects on trial at any time.
	trialsUnlimited
	// massCrashesCountOnce lets suspects run freely until they were in flight in three
	// incidents, of which a mass crash is one.
	massCrashesCountOnce
	// crashesMergedUntilRegistered takes all crashes of a target for one until its next
	// registration.
	crashesMergedUntilRegistered
	// trialsNotShared keeps the trials that an entry has begun to itself.
	trialsNotShared
	// evidenceNotStored lets entries start without the evidence that others have stored.
	evidenceNotStored
)

const (
	simTick               = 10 * time.Millisecond
	simLength             = time.Minute
	simHeartbeat          = 100 * time.Millisecond
	simRestrictedInterval = 500 * time.Millisecond
	simRestrictedCrashes  = 32
	simEvidenceItems      = 3
	simEvidenceSpan       = 2 * time.Second
	// simStoreLag is how long after new evidence an entry has written it to the store.
	simStoreLag = 20 * time.Millisecond
	// simRegistrationLag is how long after a start the registration of a target reaches
	// the entries.
	simRegistrationLag = 800 * time.Millisecond
	// harmlessDuration is how long a harmless request takes.
	harmlessDuration = 300 * time.Millisecond
	// simSpread is the time after the third crash in which the request may still be
	// sent, and after a start in which an entry is not held to anything.
	simSpread = 3 * time.Second
	// crashingFingerprint is that of the crashing request, popularFingerprint that of a
	// harmless one that arrives all the time.
	crashingFingerprint, popularFingerprint = 7, 8
)

// simTarget is a target and what the entries know of it.
type simTarget struct {
	name        string
	incarnation int
	id          string
	downUntil   time.Time
	// known is the registration that the entries have; pending are later ones.
	known   simRegistration
	pending []simRegistration
}

type simRegistration struct {
	from        time.Time
	id          string
	incarnation string
}

// harmlessRequest is a harmless request that is in flight.
type harmlessRequest struct {
	entry       *simEntry
	target      *simTarget
	incarnation int
	sent        time.Time
	fingerprint uint64
	onTrial     bool
}

type simEntry struct {
	rank           int
	tracker        *Tracker
	detector       *CrashDetector
	startedAt      time.Time
	restrictedSent time.Time
	// writeAt is when the entry writes its evidence to the store; zero for not at all.
	writeAt time.Time
}

type entriesSim struct {
	scenario entriesScenario
	random   *rand.Rand
	clock    *clockwork.FakeClock
	metrics  *metrics.Metrics
	entries  []*simEntry
	targets  []*simTarget
	// stored holds the rows of the store by rank.
	stored map[int]storedRow

	harmless []harmlessRequest

	// crashes and thirdCrash are those of the crashing request, laterSends how often it
	// reached targets simSpread after the third or later.
	crashes    int
	thirdCrash time.Time
	laterSends int
	// massCrashes is the time between crashes of half of the targets at once, 0 for none.
	massCrashes time.Duration
	// popularCompleted is when the popular request last completed, longestPopularOutage
	// the longest time between two completions.
	popularCompleted     time.Time
	longestPopularOutage time.Duration
}

func newEntriesSim(scenario entriesScenario, seed uint64) *entriesSim {
	s := &entriesSim{scenario: scenario, random: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(), metrics: metrics.New("direct", 1), stored: map[int]storedRow{}}
	for rank := range scenario.entries {
		s.entries = append(s.entries, s.newEntry(rank))
	}
	for n := range scenario.targets {
		target := &simTarget{name: fmt.Sprintf("t%d", n)}
		s.start(target)
		target.known = target.pending[0]
		s.targets = append(s.targets, target)
	}
	return s
}

func (s *entriesSim) newEntry(rank int) *simEntry {
	tracker := NewTracker(refuseAfterThree, s.clock)
	e := &simEntry{rank: rank, tracker: tracker, startedAt: s.clock.Now()}
	e.detector = NewCrashDetector(DetectorConfig{
		Tracker: tracker, Clock: s.clock, Metrics: s.metrics, Log: discardLog(), Share: func() { s.share(e) },
	})
	if s.scenario.fault == evidenceNotStored || s.scenario.storeAway {
		return e
	}
	for _, row := range s.stored {
		row.evidence.Crashes = slices.Clone(row.evidence.Crashes)
		row.evidence.Age(s.clock.Since(row.at))
		tracker.Merge(row.evidence)
	}
	return e
}

func (s *entriesSim) start(t *simTarget) {
	t.incarnation++
	if t.id == "" || !s.scenario.keepsID {
		t.id = fmt.Sprintf("%s-%d", t.name, t.incarnation)
	}
	t.pending = append(t.pending, simRegistration{s.clock.Now().Add(simRegistrationLag), t.id, fmt.Sprint(t.incarnation)})
}

func (t *simTarget) up(now time.Time) bool { return !now.Before(t.downUntil) }

func (s *entriesSim) chance(every time.Duration) bool {
	return every > 0 && s.random.Float64() < simTick.Seconds()/every.Seconds()
}

func (s *entriesSim) run() {
	for started := s.clock.Now(); s.clock.Since(started) < simLength; s.clock.Advance(simTick) {
		s.advanceTargets()
		for i := range s.entries {
			if s.chance(s.scenario.entryRestarts) && s.mayRestart() {
				s.entries[i] = s.newEntry(i)
			}
		}
		if s.chance(s.scenario.otherCrashes) {
			s.crash(s.targets[s.random.IntN(len(s.targets))])
		}
		if s.massCrashes > 0 && s.clock.Since(started)%s.massCrashes == s.massCrashes/2 {
			for _, t := range s.targets[:len(s.targets)/2] {
				s.crash(t)
			}
		}
		if s.chance(s.scenario.resendEvery) {
			s.sendCrashing()
		}
		for _, e := range s.entries {
			if s.random.Float64() < s.scenario.harmlessPerSecond*simTick.Seconds() {
				s.sendHarmless(e)
			}
		}
		s.completeHarmless()
		s.writeEvidence()
		if s.clock.Since(started)%simHeartbeat == 0 {
			s.heartbeats()
		}
	}
}

// mayRestart reports whether an entry may be restarted now.
func (s *entriesSim) mayRestart() bool {
	return !s.scenario.storeAway || !slices.ContainsFunc(s.entries, func(e *simEntry) bool {
		return s.clock.Since(e.startedAt) < simSpread
	})
}

// advanceTargets starts the targets whose restart is due and delivers registrations.
func (s *entriesSim) advanceTargets() {
	now := s.clock.Now()
	for _, t := range s.targets {
		if !t.downUntil.IsZero() && t.up(now) {
			t.downUntil = time.Time{}
			s.start(t)
		}
		for len(t.pending) > 0 && !now.Before(t.pending[0].from) {
			s.replaceRegistration(t)
		}
	}
}

func (s *entriesSim) replaceRegistration(t *simTarget) {
	old := t.known
	t.known, t.pending = t.pending[0], t.pending[1:]
	if s.scenario.fault == registrationsIgnored {
		return
	}
	for _, e := range s.entries {
		e.detector.TargetEnded(old.id, old.incarnation, RegistrationReplaced)
	}
}

// crash ends a target. The harmless requests there are interrupted.
func (s *entriesSim) crash(t *simTarget) {
	t.downUntil = s.clock.Now().Add(s.scenario.restart)
	s.harmless = slices.DeleteFunc(s.harmless, func(r harmlessRequest) bool {
		if r.target != t {
			return false
		}
		s.interrupted(r.entry, t, r.fingerprint, r.onTrial, r.sent)
		return true
	})
}

// interrupted lets an entry see that a target interrupted a request, for which it had
// accepted a connection at the given time.
func (s *entriesSim) interrupted(e *simEntry, t *simTarget, fingerprint uint64, onTrial bool, connectedAt time.Time) {
	if s.scenario.fault == crashesMergedUntilRegistered {
		connectedAt = time.Time{}
	}
	e.detector.RequestInterrupted(t.known.id, t.known.incarnation, interruption(fingerprint, onTrial, connectedAt))
	if s.scenario.fault != targetsNotChecked {
		e.detector.TargetEnded(t.known.id, t.known.incarnation, ConnectionRefused)
	}
}

// mayRun reports whether an entry sends a request on, and whether it does so on trial.
func (s *entriesSim) mayRun(e *simEntry, fingerprint uint64) (runs, onTrial bool) {
	assessment := e.tracker.Assess(fingerprint)
	switch {
	case s.scenario.fault == massCrashesCountOnce:
		return assessment.Failure(s.clock.Now()) == nil, false
	case assessment.Failure(s.clock.Now()) != nil:
		return false, false
	case assessment.Level == OnTrial && s.scenario.fault == trialsUnlimited:
		return true, true
	case assessment.Level == OnTrial:
		return e.detector.BeginTrial(fingerprint, e.rank), true
	default:
		return true, false
	}
}

// sendCrashing lets the crashing request arrive at some entries.
func (s *entriesSim) sendCrashing() {
	for _, n := range s.random.Perm(len(s.entries))[:min(s.scenario.copies, len(s.entries))] {
		s.sendCrashingTo(s.entries[n])
	}
}

func (s *entriesSim) sendCrashingTo(e *simEntry) {
	for _, n := range s.random.Perm(len(s.targets))[:s.scenario.attempts] {
		runs, onTrial := s.mayRun(e, crashingFingerprint)
		if !runs {
			return
		}
		s.attempt(e, s.targets[n], onTrial)
		if onTrial {
			return
		}
	}
}

func (s *entriesSim) attempt(e *simEntry, t *simTarget, onTrial bool) {
	now := s.clock.Now()
	if !t.up(now) {
		e.detector.TargetEnded(t.known.id, t.known.incarnation, ConnectionRefused)
		return
	}
	if s.crashes >= 3 && now.Sub(s.thirdCrash) > simSpread && now.Sub(e.startedAt) > simSpread {
		s.laterSends++
	}
	if s.random.Float64() < s.scenario.turnedAwayShare {
		return
	}
	if s.crashes++; s.crashes == 3 {
		s.thirdCrash = now
	}
	s.crash(t)
	s.interrupted(e, t, crashingFingerprint, onTrial, now)
}

// sendHarmless sends a harmless request; half of them are the popular one.
func (s *entriesSim) sendHarmless(e *simEntry) {
	fingerprint := uint64(popularFingerprint)
	if s.random.IntN(2) == 0 {
		fingerprint = uint64(100 + s.random.IntN(1000))
	}
	runs, onTrial := s.mayRun(e, fingerprint)
	if !runs {
		return
	}
	t, now := s.targets[s.random.IntN(len(s.targets))], s.clock.Now()
	if !t.up(now) {
		e.detector.TargetEnded(t.known.id, t.known.incarnation, ConnectionRefused)
		return
	}
	s.harmless = append(s.harmless, harmlessRequest{e, t, t.incarnation, now, fingerprint, onTrial})
}

// completeHarmless ends the harmless requests that are due.
func (s *entriesSim) completeHarmless() {
	now := s.clock.Now()
	s.harmless = slices.DeleteFunc(s.harmless, func(r harmlessRequest) bool {
		if now.Sub(r.sent) < harmlessDuration {
			return false
		}
		r.entry.detector.TargetResponded(r.target.known.id, r.target.known.incarnation, r.sent)
		r.entry.detector.Completed(r.fingerprint)
		if r.fingerprint == popularFingerprint {
			if !s.popularCompleted.IsZero() {
				s.longestPopularOutage = max(s.longestPopularOutage, now.Sub(s.popularCompleted))
			}
			s.popularCompleted = now
		}
		return true
	})
}
