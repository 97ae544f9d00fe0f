package poison

import (
	"slices"
	"time"
)

// Evidence is what processes send to each other. Merging it is idempotent and
// independent of the order.
type Evidence struct {
	Crashes    []CrashEvidence `cbor:"1,keyasint,omitempty"`
	Clearances []Clearance     `cbor:"2,keyasint,omitempty"`
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
}

// Clearance reports the completion of a request with a suspected fingerprint.
type Clearance struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	AgeMillis   int64  `cbor:"2,keyasint"`
}

// Evidence returns all evidence, to be sent to a peer.
func (l *Ledger) Evidence(now time.Time) Evidence {
	var evidence Evidence
	for _, crash := range l.sortedCrashes() {
		evidence.Crashes = append(evidence.Crashes, crash.evidence(now))
	}
	for fingerprint := range l.cleared {
		evidence.Clearances = append(evidence.Clearances, l.clearance(fingerprint, now))
	}
	return evidence
}

func (c *Crash) evidence(now time.Time) CrashEvidence {
	return CrashEvidence{
		Target:       c.Target,
		Incarnation:  c.Incarnation,
		Restart:      c.Restart,
		Group:        c.Group,
		Fingerprints: c.Fingerprints,
		OnTrial:      c.OnTrial,
		AgeMillis:    now.Sub(c.At).Milliseconds(),
	}
}

// clearance returns the clearance of a fingerprint that was cleared.
func (l *Ledger) clearance(fingerprint uint64, now time.Time) Clearance {
	return Clearance{Fingerprint: fingerprint, AgeMillis: now.Sub(l.cleared[fingerprint]).Milliseconds()}
}

// Recent returns at most limit of the newest crashes, and at most limit clearances,
// none of them older than span.
func (l *Ledger) Recent(limit int, span time.Duration, now time.Time) Evidence {
	all := l.Evidence(now)
	slices.Reverse(all.Crashes)
	var recent Evidence
	for _, crash := range all.Crashes[:min(limit, len(all.Crashes))] {
		if parseAge(crash.AgeMillis) <= span {
			recent.Crashes = append(recent.Crashes, crash)
		}
	}
	for _, clearance := range all.Clearances {
		if len(recent.Clearances) < limit && parseAge(clearance.AgeMillis) <= span {
			recent.Clearances = append(recent.Clearances, clearance)
		}
	}
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
	for _, fingerprint := range crash.Fingerprints {
		if _, cleared := l.cleared[fingerprint]; cleared {
			evidence.Clearances = append(evidence.Clearances, l.clearance(fingerprint, now))
		}
	}
	return evidence
}

// Restricted returns at most limit of the newest crashes with fingerprints whose requests
// do not run freely, and of their fingerprints only those. It is all that a peer without
// evidence needs to treat these requests alike, however many targets have crashed since.
func (l *Ledger) Restricted(limit int, now time.Time) Evidence {
	restricted := map[uint64]bool{}
	for fingerprint, suspect := range l.suspects {
		if suspect.assess(l.config, now).Level != Clear {
			restricted[fingerprint] = true
		}
	}
	var evidence Evidence
	if len(restricted) == 0 {
		return evidence
	}
	runsFreely := func(fingerprint uint64) bool { return !restricted[fingerprint] }
	for _, crash := range slices.Backward(l.sortedCrashes()) {
		reported := crash.evidence(now)
		reported.Fingerprints = slices.DeleteFunc(slices.Clone(crash.Fingerprints), runsFreely)
		reported.OnTrial = slices.DeleteFunc(slices.Clone(crash.OnTrial), runsFreely)
		if len(reported.Fingerprints) > 0 && len(evidence.Crashes) < limit {
			evidence.Crashes = append(evidence.Crashes, reported)
		}
	}
	return evidence
}

// Append adds the crashes and clearances of other to e.
func (e *Evidence) Append(other Evidence) {
	e.Crashes = append(e.Crashes, other.Crashes...)
	e.Clearances = append(e.Clearances, other.Clearances...)
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
	return changed
}

// parseAge converts an age from the wire. Negative ages count as 0, because no crash
// or completion is in the future.
func parseAge(milliseconds int64) time.Duration {
	return time.Duration(max(milliseconds, 0)) * time.Millisecond
}
