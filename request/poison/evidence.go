package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Evidence is what processes send to each other. Merging it is idempotent and
// independent of the order.
type Evidence struct {
	Crashes    []CrashEvidence `cbor:"1,keyasint,omitempty"`
	Clearances []Clearance     `cbor:"2,keyasint,omitempty"`
	Trials     []TrialEvidence `cbor:"3,keyasint,omitempty"`
}

// IsEmpty reports whether there is nothing to send.
func (e *Evidence) IsEmpty() bool {
	return len(e.Crashes) == 0 && len(e.Clearances) == 0 && len(e.Trials) == 0
}

// CrashEvidence is the wire format of a Crash.
type CrashEvidence struct {
	Target       string   `cbor:"1,keyasint"`
	Incarnation  string   `cbor:"2,keyasint"`
	Group        string   `cbor:"3,keyasint,omitempty"`
	Fingerprints []uint64 `cbor:"4,keyasint"`
	OnTrial      []uint64 `cbor:"5,keyasint,omitempty"`
	// AgeMillis is how long ago the engine ended, by the sender's clock.
	AgeMillis int64 `cbor:"6,keyasint"`
	// Restart is that of Crash. Builds that do not know it merge the crashes it tells apart.
	Restart int `cbor:"7,keyasint,omitempty"`
	// Parts are those of Crash. Builds that do not know them refuse no prompt parts.
	Parts []uint64 `cbor:"8,keyasint,omitempty"`
}

// Clearance reports the completion of a request with a suspected fingerprint.
type Clearance struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	AgeMillis   int64  `cbor:"2,keyasint"`
}

// TrialEvidence reports the trials of a suspected fingerprint or part, and who wants one.
type TrialEvidence struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Begun counts the trials that processes of each rank have begun; see TrialAllowance. It is read
	// of builds that do not know Runs.
	Begun []int `cbor:"2,keyasint"`
	// Runs are the trials. Builds that do not know them count those of Begun.
	Runs []TrialRun `cbor:"3,keyasint,omitempty"`
	// Wants are processes that have requests with the suspect, those that come first.
	Wants []TrialWant `cbor:"4,keyasint,omitempty"`
}

// TrialRun reports a trial that a process of the given rank has begun.
type TrialRun struct {
	ID        uint64 `cbor:"1,keyasint"`
	Rank      int    `cbor:"2,keyasint"`
	AgeMillis int64  `cbor:"3,keyasint"`
	// Unsent is set if the request did not reach a target.
	Unsent bool `cbor:"4,keyasint,omitempty"`
}

// TrialWant reports that a process of the given rank has requests with a suspect, the latest
// AgeMillis ago.
type TrialWant struct {
	Process   uint64 `cbor:"1,keyasint"`
	Rank      int    `cbor:"2,keyasint"`
	AgeMillis int64  `cbor:"3,keyasint"`
}

// runs returns Runs, or those that Begun counts, with IDs that all processes give them alike.
func (e *TrialEvidence) runs() []TrialRun {
	if len(e.Runs) > 0 {
		return e.Runs[:min(len(e.Runs), maxTrialRuns)]
	}
	var counted []TrialRun
	for rank, count := range e.Begun[:min(len(e.Begun), maxTrialSlots)] {
		for n := range min(count, maxTrials) {
			counted = append(counted, TrialRun{ID: uint64(rank*maxTrials + n), Rank: rank})
		}
	}
	return counted
}

// Evidence returns all evidence, to be sent to a peer.
func (l *Ledger) Evidence(now time.Time) Evidence {
	var evidence Evidence
	for _, crash := range l.sortedCrashes() {
		evidence.Crashes = append(evidence.Crashes, crash.evidence(now))
	}
	evidence.Clearances = l.clearances(l.clearedNewestFirst(), now)
	evidence.Trials = l.trialEvidence(len(l.trials), time.Time{}, now)
	return evidence
}

// trialEvidence returns the trials of at most limit suspects, those with the latest trials or
// requests first and none of which the latest was before since.
func (l *Ledger) trialEvidence(limit int, since, now time.Time) []TrialEvidence {
	newestFirst := slices.SortedFunc(maps.Keys(l.trials), func(a, b uint64) int {
		return cmp.Or(l.trials[b].changedAt().Compare(l.trials[a].changedAt()), cmp.Compare(a, b))
	})
	var all []TrialEvidence
	for _, suspect := range newestFirst[:min(limit, len(newestFirst))] {
		trials := l.trials[suspect]
		if trials.changedAt().Before(since) {
			break
		}
		all = append(all, trials.evidence(suspect, l.config.Process, now))
	}
	return all
}

func (c *Crash) evidence(now time.Time) CrashEvidence {
	return CrashEvidence{
		Target:       c.Target,
		Incarnation:  c.Incarnation,
		Restart:      c.Restart,
		Group:        c.Group,
		Fingerprints: c.Fingerprints,
		OnTrial:      c.OnTrial,
		Parts:        c.Parts,
		AgeMillis:    now.Sub(c.At).Milliseconds(),
	}
}

// clearance returns the clearance of a fingerprint that was cleared.
func (l *Ledger) clearance(fingerprint uint64, now time.Time) Clearance {
	return Clearance{Fingerprint: fingerprint, AgeMillis: now.Sub(l.cleared[fingerprint]).Milliseconds()}
}

// Recent returns at most limit of the newest crashes, at most limit clearances and the
// trials of at most limit suspects, none of them older than span.
func (l *Ledger) Recent(limit int, span time.Duration, now time.Time) Evidence {
	var recent Evidence
	crashes := l.sortedCrashes()
	slices.Reverse(crashes)
	for _, crash := range crashes[:min(limit, len(crashes))] {
		if now.Sub(crash.At) <= span {
			recent.Crashes = append(recent.Crashes, crash.evidence(now))
		}
	}
	cleared := l.clearedNewestFirst()
	for _, clearance := range l.clearances(cleared[:min(limit, len(cleared))], now) {
		if parseAge(clearance.AgeMillis) <= span {
			recent.Clearances = append(recent.Clearances, clearance)
		}
	}
	recent.Trials = l.trialEvidence(limit, now.Add(-span), now)
	return recent
}

// NextCrash returns one crash and all clearances of requests in flight in it. Successive
// calls return all crashes in turn, so that peers which have started since learn of them.
func (l *Ledger) NextCrash(now time.Time) Evidence {
	crashes := l.sortedCrashes()
	if len(crashes) == 0 {
		return Evidence{}
	}
	l.nextCrash = (l.nextCrash + 1) % len(crashes)
	crash := crashes[l.nextCrash]
	evidence := Evidence{Crashes: []CrashEvidence{crash.evidence(now)}}
	evidence.Clearances = l.clearances(slices.Concat(crash.Fingerprints, crash.Parts), now)
	return evidence
}

// clearedNewestFirst returns the fingerprints and parts that were cleared, the latest first.
func (l *Ledger) clearedNewestFirst() []uint64 {
	return slices.SortedFunc(maps.Keys(l.cleared), func(a, b uint64) int {
		return cmp.Or(l.cleared[b].Compare(l.cleared[a]), cmp.Compare(a, b))
	})
}

// clearances returns the clearances of those fingerprints and parts that were cleared.
func (l *Ledger) clearances(suspects []uint64, now time.Time) []Clearance {
	var all []Clearance
	for _, suspect := range suspects {
		if _, cleared := l.cleared[suspect]; cleared {
			all = append(all, l.clearance(suspect, now))
		}
	}
	return all
}

// Restricted returns at most limit of the newest crashes with fingerprints or parts whose
// requests do not run freely, of their fingerprints and parts only those, and the trials of at
// most limit suspects. It is all that a peer without evidence needs to treat these requests alike,
// however many targets have crashed since.
func (l *Ledger) Restricted(limit int, now time.Time) Evidence {
	restricted := l.restricted(now)
	var evidence Evidence
	if len(restricted) == 0 {
		return evidence
	}
	runsFreely := func(suspect uint64) bool { return !restricted[suspect] }
	for _, crash := range slices.Backward(l.sortedCrashes()) {
		reported := crash.evidence(now)
		reported.Fingerprints = slices.DeleteFunc(slices.Clone(crash.Fingerprints), runsFreely)
		reported.OnTrial = slices.DeleteFunc(slices.Clone(crash.OnTrial), runsFreely)
		reported.Parts = slices.DeleteFunc(slices.Clone(crash.Parts), runsFreely)
		if len(reported.Fingerprints)+len(reported.Parts) > 0 && len(evidence.Crashes) < limit {
			evidence.Crashes = append(evidence.Crashes, reported)
			evidence.Clearances = append(evidence.Clearances, l.clearances(reported.Parts, now)...)
		}
	}
	evidence.Trials = l.trialEvidence(limit, time.Time{}, now)
	return evidence
}

// Age makes the evidence older by a duration for which it was kept.
func (e *Evidence) Age(by time.Duration) {
	for i := range e.Crashes {
		e.Crashes[i].AgeMillis = (parseAge(e.Crashes[i].AgeMillis) + by).Milliseconds()
	}
	for i := range e.Clearances {
		e.Clearances[i].AgeMillis = (parseAge(e.Clearances[i].AgeMillis) + by).Milliseconds()
	}
	e.Trials = slices.Clone(e.Trials)
	for i := range e.Trials {
		e.Trials[i].age(by)
	}
}

// age makes the trials and requests older. It leaves copies of the evidence as they are.
func (e *TrialEvidence) age(by time.Duration) {
	e.Runs, e.Wants = slices.Clone(e.Runs), slices.Clone(e.Wants)
	for i := range e.Runs {
		e.Runs[i].AgeMillis = (parseAge(e.Runs[i].AgeMillis) + by).Milliseconds()
	}
	for i := range e.Wants {
		e.Wants[i].AgeMillis = (parseAge(e.Wants[i].AgeMillis) + by).Milliseconds()
	}
}

// restricted returns the fingerprints and parts whose requests do not run freely.
func (l *Ledger) restricted(now time.Time) map[uint64]bool {
	restricted := map[uint64]bool{}
	for fingerprint, suspect := range l.suspects {
		if suspect.assess(l.config, now).Level != Clear {
			restricted[fingerprint] = true
		}
	}
	for part, state := range l.parts {
		if state.level != Clear {
			restricted[part] = true
		}
	}
	return restricted
}

// Append adds the evidence of other to e.
func (e *Evidence) Append(other Evidence) {
	e.Crashes = append(e.Crashes, other.Crashes...)
	e.Clearances = append(e.Clearances, other.Clearances...)
	e.Trials = append(e.Trials, other.Trials...)
}

// Merge adds a peer's evidence and reports whether it changed anything. Ages do not
// include the transmission time, so evidence appears newer than it is; of several
// reports of a crash, the earliest time is kept.
func (l *Ledger) Merge(evidence Evidence, now time.Time) bool {
	changed := false
	for _, c := range evidence.Crashes[:min(len(evidence.Crashes), l.config.MaxCrashes)] {
		crash := Crash{
			Target:       c.Target,
			Incarnation:  c.Incarnation,
			Restart:      c.Restart,
			Group:        c.Group,
			Fingerprints: slices.Clone(c.Fingerprints),
			OnTrial:      slices.Clone(c.OnTrial),
			Parts:        slices.Clone(c.Parts),
			At:           now.Add(-parseAge(c.AgeMillis)),
		}
		if now.Sub(crash.At) < l.config.RefuseFor && l.add(crash) {
			changed = true
		}
	}
	for _, c := range evidence.Clearances[:min(len(evidence.Clearances), l.config.MaxClearances)] {
		if l.clear(c.Fingerprint, now.Add(-parseAge(c.AgeMillis))) {
			changed = true
		}
	}
	if changed {
		l.recompute(now)
	}
	return l.mergeTrials(evidence.Trials, now) || changed
}

// mergeTrials adds the trials that a peer knows of, for the suspects of this process.
func (l *Ledger) mergeTrials(reported []TrialEvidence, now time.Time) bool {
	changed := false
	for _, t := range reported {
		if l.mayBeTried(t.Fingerprint) {
			changed = l.trialsOf(t.Fingerprint).merge(t, l.config.Process, now) || changed
		}
	}
	return changed
}

// maxAge bounds the ages of evidence, whose conversion would overflow otherwise.
const maxAge = 24 * time.Hour

// parseAge converts an age from the wire. Negative ages count as 0, because no crash
// or completion is in the future.
func parseAge(milliseconds int64) time.Duration {
	return time.Duration(min(max(milliseconds, 0), maxAge.Milliseconds())) * time.Millisecond
}
