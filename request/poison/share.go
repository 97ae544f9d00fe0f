package poison

import (
	"slices"
	"time"
)

// Evidence is what processes tell each other. Merging it is idempotent and the
// order does not matter.
type Evidence struct {
	Crashes    []CrashEvidence `cbor:"1,keyasint,omitempty"`
	Clearances []Clearance     `cbor:"2,keyasint,omitempty"`
}

// CrashEvidence is a Crash on the wire.
type CrashEvidence struct {
	Target       string   `cbor:"1,keyasint"`
	Incarnation  string   `cbor:"2,keyasint"`
	Group        string   `cbor:"3,keyasint,omitempty"`
	Fingerprints []uint64 `cbor:"4,keyasint"`
	OnTrial      []uint64 `cbor:"5,keyasint,omitempty"`
	// AgeMillis is how long ago the engine ended, as the sender knows it.
	AgeMillis int64 `cbor:"6,keyasint"`
}

// Clearance tells that a suspect completed.
type Clearance struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	AgeMillis   int64  `cbor:"2,keyasint"`
}

// Share returns all evidence, for a peer.
func (l *Ledger) Share(now time.Time) Evidence {
	var evidence Evidence
	for _, crash := range l.sorted() {
		evidence.Crashes = append(evidence.Crashes, CrashEvidence{
			Target:       crash.Target,
			Incarnation:  crash.Incarnation,
			Group:        crash.Group,
			Fingerprints: crash.Fingerprints,
			OnTrial:      crash.OnTrial,
			AgeMillis:    now.Sub(crash.At).Milliseconds(),
		})
	}
	for fingerprint, at := range l.cleared {
		evidence.Clearances = append(evidence.Clearances, Clearance{
			Fingerprint: fingerprint,
			AgeMillis:   now.Sub(at).Milliseconds(),
		})
	}
	return evidence
}

// Recent returns the newest crashes, at most so many and none older than span,
// with the clearances of the same time.
func (l *Ledger) Recent(most int, span time.Duration, now time.Time) Evidence {
	all := l.Share(now)
	slices.Reverse(all.Crashes)
	var some Evidence
	for _, crash := range all.Crashes[:min(most, len(all.Crashes))] {
		if age(crash.AgeMillis) <= span {
			some.Crashes = append(some.Crashes, crash)
		}
	}
	for _, clearance := range all.Clearances {
		if len(some.Clearances) < most && age(clearance.AgeMillis) <= span {
			some.Clearances = append(some.Clearances, clearance)
		}
	}
	return some
}

// Merge takes a peer's evidence; it tells whether it brought anything new. The
// time under way makes evidence look younger than it is; the oldest telling of a
// crash stands.
func (l *Ledger) Merge(evidence Evidence, now time.Time) bool {
	changed := false
	for _, c := range evidence.Crashes[:min(len(evidence.Crashes), l.config.MaxCrashes)] {
		crash := Crash{
			Target:       c.Target,
			Incarnation:  c.Incarnation,
			Group:        c.Group,
			Fingerprints: slices.Clone(c.Fingerprints),
			OnTrial:      slices.Clone(c.OnTrial),
			At:           now.Add(-age(c.AgeMillis)),
		}
		if now.Sub(crash.At) < l.config.RefuseFor && l.add(crash) {
			changed = true
		}
	}
	for _, c := range evidence.Clearances[:min(len(evidence.Clearances), l.config.MaxClearances)] {
		if l.clear(c.Fingerprint, now.Add(-age(c.AgeMillis))) {
			changed = true
		}
	}
	if changed {
		l.derive(now)
	}
	return changed
}

// age takes an age from the wire: nothing ends in the future.
func age(milliseconds int64) time.Duration {
	return time.Duration(max(milliseconds, 0)) * time.Millisecond
}
