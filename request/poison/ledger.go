package poison

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ledger stores the evidence about crashes and derives assessments from it. It is not
// safe for concurrent use.
type Ledger struct {
	config Config
	// started is when this process started.
	started time.Time
	crashes map[crashID]*Crash
	// cleared maps a fingerprint to the time of the latest completion of a request with
	// it while it was suspected.
	cleared map[uint64]time.Time
	// suspects is derived from crashes and cleared. It is replaced as a whole and
	// never modified.
	suspects map[uint64]*suspectState
	// parts is the same for prompt parts. ran is when requests with them last ran at this
	// process.
	parts map[uint64]*partState
	ran   *latestTimes
	// runs is how many requests with prompt parts ran.
	runs int
	// trials holds the trials of suspects and parts, of this process and of others.
	trials map[uint64]*suspectTrials
	// begun is how many trials this process has begun.
	begun uint64
	// joint is since when this process has requests with several suspects, by the one that stands for
	// all.
	joint map[uint64]trialWant
	// nextCrash is the position of the crash that NextCrash returned last.
	nextCrash int
}

// NewLedger returns a ledger without evidence for a process that started at the given time.
func NewLedger(config Config, started time.Time) *Ledger {
	return &Ledger{
		config:  config.withDefaults(),
		started: started,
		crashes: map[crashID]*Crash{},
		cleared: map[uint64]time.Time{},
		trials:  map[uint64]*suspectTrials{},
		joint:   map[uint64]trialWant{},
		ran:     newLatestTimes(config.withDefaults().MaxClearances),
	}
}

// Add adds a crash and reports whether it changed the evidence.
func (l *Ledger) Add(crash Crash, now time.Time) bool {
	changed := l.add(crash)
	if changed {
		l.recompute(now)
	}
	return changed
}

func (l *Ledger) add(crash Crash) bool {
	crash.Parts = union(crash.Parts, nil, l.config.MaxFingerprints)
	crash.OnTrial = union(crash.OnTrial, nil, l.config.MaxFingerprints)
	crash.Fingerprints = union(crash.Fingerprints, crash.requestsOnTrial(), l.config.MaxFingerprints)
	for _, part := range crash.Parts {
		if at, known := l.ran.get(part); known {
			l.clear(part, at)
		}
	}
	known := l.crashes[crash.id()]
	if known == nil {
		l.crashes[crash.id()] = &crash
		return true
	}
	merged := mergeReports(known, &crash, l.config.MaxFingerprints)
	if merged.At.Equal(known.At) && len(merged.Fingerprints) == len(known.Fingerprints) &&
		len(merged.OnTrial) == len(known.OnTrial) && len(merged.Parts) == len(known.Parts) && merged.Group == known.Group {
		return false
	}
	l.crashes[crash.id()] = merged
	return true
}

// Restarts returns how many crashes of a target's registered incarnation came before it
// accepted a connection.
func (l *Ledger) Restarts(target, incarnation string, connectedAt time.Time) int {
	restarts := 0
	for id, crash := range l.crashes {
		if id.incarnationID == (incarnationID{target, incarnation}) && connectedAt.Sub(crash.At) >= minRestart {
			restarts++
		}
	}
	return restarts
}

// Suspected reports whether there is a crash with the fingerprint in flight that no
// later completion has cleared.
func (l *Ledger) Suspected(fingerprint uint64) bool { return l.suspects[fingerprint] != nil }

// Completed records that a request with the fingerprint completed, which clears it: a
// request that crashes every target cannot complete. It reports whether the
// fingerprint was suspected.
func (l *Ledger) Completed(fingerprint uint64, now time.Time) bool {
	if !l.Suspected(fingerprint) {
		return false
	}
	l.clear(fingerprint, now)
	l.recompute(now)
	return true
}

// clear records a completion unless a later one is known, and reports whether it was
// recorded.
func (l *Ledger) clear(fingerprint uint64, at time.Time) bool {
	if known, ok := l.cleared[fingerprint]; ok && !at.After(known) {
		return false
	}
	l.cleared[fingerprint] = at
	return true
}

// Assess returns the assessment of a fingerprint at the given time.
func (l *Ledger) Assess(fingerprint uint64, now time.Time) Assessment {
	suspect := l.suspects[fingerprint]
	if suspect == nil {
		return Assessment{}
	}
	return suspect.assess(l.config, now)
}

// AssessRequest returns the assessment of a request at the given time, the more restrictive of
// those of its fingerprint and of its parts, and what is on trial with it, 0 for nothing.
func (l *Ledger) AssessRequest(subject Subject, now time.Time) (assessment Assessment, trial uint64) {
	whole := l.Assess(subject.Fingerprint, now)
	parts, part := l.assessParts(subject.Parts, now)
	switch {
	case whole.Level == OnTrial && parts.Level == OnTrial:
		// A crash would not show which of them is the cause, unless all such requests are copies.
		assessment, trial = l.assessJoint(subject.Fingerprint, whole, now), subject.Fingerprint
	case parts.Level > whole.Level:
		assessment, trial = parts, part
	default:
		assessment, trial = whole, subject.Fingerprint
	}
	if assessment.Level != OnTrial {
		trial = 0
	}
	return assessment, trial
}

// Want records that this process, which has the given rank among all processes, has a request with a
// suspect. It reports whether others should hear of it.
func (l *Ledger) Want(suspect uint64, rank int, now time.Time) bool {
	return l.mayBeTried(suspect) && l.trialsOf(suspect).want(rank, now)
}

// MayTry reports whether this process, which has the given rank among all processes, may run a
// suspect on trial, now or, with a rank that has an allowance, later. Asking for it counts as a
// request with the suspect.
func (l *Ledger) MayTry(suspect uint64, rank int, now time.Time) bool {
	l.Want(suspect, rank, now)
	return TrialAllowance(rank) > 0 || l.mayBegin(suspect, rank, now)
}

// mayBegin reports whether a trial of a suspect may begin now. A process that has just started begins
// none: it does not know yet which trials processes of its rank began before.
func (l *Ledger) mayBegin(suspect uint64, rank int, now time.Time) bool {
	if !l.mayBeTried(suspect) || now.Sub(l.started) < trialInterval {
		return false
	}
	return l.trialsOf(suspect).mayBegin(rank, l.parts[suspect] != nil, now)
}

// BeginTrial reports whether this process, which has the given rank among all processes,
// may run a suspect, a fingerprint or a part, on trial now, and if so, counts the trial, which should
// then be shared with peers.
func (l *Ledger) BeginTrial(suspect uint64, rank int, now time.Time) bool {
	if !l.mayBegin(suspect, rank, now) {
		return false
	}
	l.begun++
	l.trialsOf(suspect).begin(l.runID(l.begun), rank, now)
	return true
}

// runID returns the ID of the trial of the given number of this process.
func (l *Ledger) runID(number uint64) uint64 {
	text := binary.LittleEndian.AppendUint64(nil, l.config.Process)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(text, number))
}

// TrialUnsent records that the request of the latest trial of a suspect at this process did not reach
// a target, so that the trial does not count. It reports whether that is new.
func (l *Ledger) TrialUnsent(suspect uint64) bool {
	trials := l.trials[suspect]
	return trials != nil && trials.markUnsent(trials.latestOwn)
}

// trialsOf returns the trials of a suspect, to be changed.
func (l *Ledger) trialsOf(suspect uint64) *suspectTrials {
	if l.trials[suspect] == nil {
		l.trials[suspect] = &suspectTrials{}
	}
	return l.trials[suspect]
}

// mayBeTried reports whether trials of a fingerprint or a part are counted.
func (l *Ledger) mayBeTried(suspect uint64) bool {
	return l.suspects[suspect] != nil || l.parts[suspect] != nil
}

// Refused returns the fingerprints that are refused at the given time, sorted.
func (l *Ledger) Refused(now time.Time) []uint64 {
	var refused []uint64
	for fingerprint, suspect := range l.suspects {
		if suspect.assess(l.config, now).Level == Refused {
			refused = append(refused, fingerprint)
		}
	}
	slices.Sort(refused)
	return refused
}

// recompute drops expired evidence and derives the suspects from the rest.
func (l *Ledger) recompute(now time.Time) {
	l.dropExpired(now)
	l.deriveSuspects()
	l.deriveParts()
	if l.dropExcess() {
		l.deriveSuspects()
		l.deriveParts()
	}
	for suspect := range l.trials {
		if !l.mayBeTried(suspect) {
			delete(l.trials, suspect)
		}
	}
	maps.DeleteFunc(l.joint, func(_ uint64, want trialWant) bool { return now.Sub(want.latest) >= wantMemory })
}

// deriveSuspects sets suspects from crashes and cleared.
func (l *Ledger) deriveSuspects() {
	limit := l.config.MaxFingerprints
	single := incidentsOf(l.sortedCrashes(), limit)
	suspects := map[uint64]*suspectState{}
	for _, incident := range mergeMassCrashes(single, l.config.MassCrashWindow, l.config.MassCrashTargets, limit) {
		for _, fingerprint := range incident.fingerprints {
			if l.clearedAfter(fingerprint, incident.at) {
				continue
			}
			suspect := suspects[fingerprint]
			if suspect == nil {
				suspect = &suspectState{}
				suspects[fingerprint] = suspect
			}
			suspect.addIncident(incident, fingerprint, l.config)
		}
	}
	l.countCrashes(suspects, single)
	markCauses(suspects, l.config)
	l.suspects = suspects
}

// clearedAfter reports whether a request with the fingerprint completed after the given
// time.
func (l *Ledger) clearedAfter(fingerprint uint64, at time.Time) bool {
	cleared, ok := l.cleared[fingerprint]
	return ok && cleared.After(at)
}

// countCrashes sets the crashes of the suspects. It adds the fingerprints that were in
// flight in many crashes, each time in only one of a mass crash: a request whose crashes
// coincide with those of other targets must not stay unsuspected for that reason.
func (l *Ledger) countCrashes(suspects map[uint64]*suspectState, single []*incident) {
	all := map[uint64]*suspectState{}
	for _, incident := range single {
		for _, fingerprint := range incident.fingerprints {
			if l.clearedAfter(fingerprint, incident.at) {
				continue
			}
			if all[fingerprint] == nil {
				all[fingerprint] = &suspectState{}
			}
			counted := all[fingerprint]
			counted.crashes++
			counted.lastAt = incident.at
			counted.crashed = append(counted.crashed, incident.targets...)
		}
	}
	for fingerprint, counted := range all {
		if suspect := suspects[fingerprint]; suspect != nil {
			suspect.crashes = counted.crashes
		} else if counted.crashes >= l.config.refuseAmbiguousAfter() {
			suspects[fingerprint] = counted
		}
	}
}

// addIncident adds an incident, later than those before, in which the fingerprint was
// in flight.
func (s *suspectState) addIncident(added *incident, fingerprint uint64, config Config) {
	s.lastAt, s.lastMass = added.at, added.mass
	s.crashed = append(s.crashed, added.targets...)
	s.incidents = append(s.incidents, added)
	s.count++
	if _, onTrial := slices.BinarySearch(added.onTrial, fingerprint); onTrial {
		s.trials++
		s.count = max(s.count, config.RefuseAfterCrashes)
	}
}

// markCauses sets isCause of the suspects with at least Config.RefuseAfterCrashes
// incidents that explain them better than any other suspect does, or that have enough
// incidents to be refused in any case.
func markCauses(suspects map[uint64]*suspectState, config Config) {
	var candidates []*suspectState
	for _, suspect := range suspects {
		if suspect.count >= config.RefuseAfterCrashes {
			candidates = append(candidates, suspect)
		}
	}
	for _, suspect := range candidates {
		ambiguous := slices.ContainsFunc(candidates, func(other *suspectState) bool {
			return other != suspect && other.explains(suspect.incidents) && !suspect.outweighs(other)
		})
		suspect.isCause = !ambiguous || suspect.count >= config.refuseAmbiguousAfter()
	}
}

// outweighs reports whether the suspect explains its incidents better than another
// that was in flight in all of them: it ran on trial in more of them, and the other
// was not in flight in any further ones.
func (s *suspectState) outweighs(other *suspectState) bool {
	return s.trials > other.trials && len(s.incidents) >= len(other.incidents)
}

// explains reports whether the suspect was in flight in all of the incidents.
func (s *suspectState) explains(all []*incident) bool {
	return !slices.ContainsFunc(all, func(one *incident) bool { return !slices.Contains(s.incidents, one) })
}

// sortedCrashes returns the crashes in the order of compareCrashes.
func (l *Ledger) sortedCrashes() []*Crash {
	crashes := make([]*Crash, 0, len(l.crashes))
	for _, crash := range l.crashes {
		crashes = append(crashes, crash)
	}
	slices.SortFunc(crashes, compareCrashes)
	return crashes
}
