package poison

import (
	"cmp"
	"slices"
	"time"
)

// Ledger is the evidence about crashes. It is not safe for concurrent use.
type Ledger struct {
	config  Config
	crashes map[crashID]*Crash
	// cleared holds when a suspect last completed.
	cleared map[uint64]time.Time
	// suspects is derived from the above; it is replaced, never changed.
	suspects map[uint64]*suspicion
}

// NewLedger returns a ledger without evidence.
func NewLedger(config Config) *Ledger {
	return &Ledger{
		config:  config.withDefaults(),
		crashes: map[crashID]*Crash{},
		cleared: map[uint64]time.Time{},
	}
}

// Add takes a crash; it tells whether it brought anything new.
func (l *Ledger) Add(crash Crash, now time.Time) bool {
	changed := l.add(crash)
	if changed {
		l.derive(now)
	}
	return changed
}

func (l *Ledger) add(crash Crash) bool {
	crash.Fingerprints = union(crash.Fingerprints, crash.OnTrial, l.config.MaxFingerprints)
	crash.OnTrial = union(crash.OnTrial, nil, l.config.MaxFingerprints)
	known := l.crashes[crash.id()]
	if known == nil {
		l.crashes[crash.id()] = &crash
		return true
	}
	both := merged(known, &crash, l.config.MaxFingerprints)
	if both.At.Equal(known.At) && len(both.Fingerprints) == len(known.Fingerprints) &&
		len(both.OnTrial) == len(known.OnTrial) && both.Group == known.Group {
		return false
	}
	l.crashes[crash.id()] = both
	return true
}

// Suspected tells whether a crash is remembered with the fingerprint in flight
// that no completion has cleared.
func (l *Ledger) Suspected(fingerprint uint64) bool { return l.suspects[fingerprint] != nil }

// Completed takes that a request with the fingerprint was answered whole: what
// crashes each target that runs it cannot complete.
func (l *Ledger) Completed(fingerprint uint64, now time.Time) bool {
	if !l.Suspected(fingerprint) {
		return false
	}
	l.clear(fingerprint, now)
	l.derive(now)
	return true
}

func (l *Ledger) clear(fingerprint uint64, at time.Time) bool {
	if known, ok := l.cleared[fingerprint]; ok && !at.After(known) {
		return false
	}
	l.cleared[fingerprint] = at
	return true
}

// Verdict says how a request with the fingerprint may run at a time.
func (l *Ledger) Verdict(fingerprint uint64, now time.Time) Verdict {
	suspect := l.suspects[fingerprint]
	if suspect == nil {
		return Verdict{}
	}
	return suspect.verdict(l.config, now)
}

// Refused returns the fingerprints that are refused at a time, sorted.
func (l *Ledger) Refused(now time.Time) []uint64 {
	var refused []uint64
	for fingerprint, suspect := range l.suspects {
		if suspect.verdict(l.config, now).Level == Refused {
			refused = append(refused, fingerprint)
		}
	}
	slices.Sort(refused)
	return refused
}

// derive forgets what is old and works the suspicions out anew.
func (l *Ledger) derive(now time.Time) {
	l.prune(now)
	limit := l.config.MaxFingerprints
	all := losses(l.sorted(), limit)
	all = foldMass(all, l.config.MassWindow, l.config.MassTargets, limit)
	suspects := map[uint64]*suspicion{}
	for _, lost := range all {
		for _, fingerprint := range lost.fingerprints {
			if cleared, ok := l.cleared[fingerprint]; ok && cleared.After(lost.at) {
				continue
			}
			suspect := suspects[fingerprint]
			if suspect == nil {
				suspect = &suspicion{}
				suspects[fingerprint] = suspect
			}
			suspect.take(lost, fingerprint, l.config)
		}
	}
	convict(suspects, l.config)
	l.suspects = suspects
}

func (s *suspicion) take(lost *loss, fingerprint uint64, config Config) {
	s.last, s.lastMass = lost.at, lost.mass
	s.crashed = append(s.crashed, lost.targets...)
	s.explained = append(s.explained, lost)
	s.count++
	if _, onTrial := slices.BinarySearch(lost.onTrial, fingerprint); onTrial {
		s.trials++
		s.count = max(s.count, config.Convicting)
	}
}

// convict marks the suspects that explain their losses better than any other
// does.
func convict(suspects map[uint64]*suspicion, config Config) {
	var grave []*suspicion
	for _, suspect := range suspects {
		if suspect.count >= config.Convicting {
			grave = append(grave, suspect)
		}
	}
	for _, suspect := range grave {
		rivalled := slices.ContainsFunc(grave, func(other *suspicion) bool {
			return other != suspect && other.explains(suspect.explained) && !suspect.outweighs(other)
		})
		suspect.convicted = !rivalled || suspect.count >= config.ambiguous()
	}
}

// outweighs tells that the suspect explains the losses better than another that
// was in flight in all of them: it ran on trial in more of them, and the other
// in no further ones.
func (s *suspicion) outweighs(other *suspicion) bool {
	return s.trials > other.trials && len(s.explained) >= len(other.explained)
}

// explains tells whether the suspect was in flight in all the losses.
func (s *suspicion) explains(all []*loss) bool {
	return !slices.ContainsFunc(all, func(one *loss) bool { return !slices.Contains(s.explained, one) })
}

// sorted returns the crashes by time.
func (l *Ledger) sorted() []*Crash {
	crashes := make([]*Crash, 0, len(l.crashes))
	for _, crash := range l.crashes {
		crashes = append(crashes, crash)
	}
	slices.SortFunc(crashes, compare)
	return crashes
}

// prune drops what is older than RefuseFor, then the oldest beyond the bounds.
func (l *Ledger) prune(now time.Time) {
	oldest := now.Add(-l.config.RefuseFor)
	crashes := l.sorted()
	for i, crash := range crashes {
		if crash.At.Before(oldest) || len(crashes)-i > l.config.MaxCrashes {
			delete(l.crashes, crash.id())
		}
	}
	type clearance struct {
		fingerprint uint64
		at          time.Time
	}
	clearances := make([]clearance, 0, len(l.cleared))
	for fingerprint, at := range l.cleared {
		clearances = append(clearances, clearance{fingerprint, at})
	}
	slices.SortFunc(clearances, func(a, b clearance) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for i, c := range clearances {
		if c.at.Before(oldest) || len(clearances)-i > l.config.MaxClearances {
			delete(l.cleared, c.fingerprint)
		}
	}
}
