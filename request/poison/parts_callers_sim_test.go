package poison

import (
	"slices"
	"time"
)

// partsCallers describes who sends sound requests with the parts of those that crash targets. Zero
// values mean that they come at all entries, all the time.
type partsCallers struct {
	// newFirst lets sound requests have the first part of requests with the crashing part, which is
	// new, only from soundDelay after the third crash on, and only at the last soundEntries entries in
	// the order of ranks. sharedParts is how many parts they share besides.
	newFirst                  bool
	soundDelay                time.Duration
	soundEntries, sharedParts int
	// inconclusive is the share of trials whose callers leave before they show anything, missed that of
	// trials that do not reach their target.
	inconclusive, missed float64
	// evidenceDelay is the longest time that evidence takes to another entry.
	evidenceDelay time.Duration
}

// lateEvidence is evidence that reaches an entry at a time.
type lateEvidence struct {
	to       *partsEntry
	evidence Evidence
	at       time.Time
}

// deliver lets the evidence arrive that is due.
func (s *partsSim) deliver() {
	now := s.clock.Now()
	var due []lateEvidence
	s.late = slices.DeleteFunc(s.late, func(l lateEvidence) bool {
		if now.Before(l.at) {
			return false
		}
		due = append(due, l)
		return true
	})
	for _, l := range due {
		l.to.tracker.Merge(l.evidence)
	}
}

// newParts returns the parts of a request with the first part that is new.
func (s *partsSim) newParts() []uint64 {
	parts := []uint64{newFirstPart}
	for n := range s.scenario.sharedParts {
		parts = append(parts, newFirstPart+uint64(n)+1)
	}
	return parts
}

// newFirstPart is the first part of requests with the crashing part that is new.
const newFirstPart = 1 << 33

// draw returns a request that arrives, and the number of its first part.
func (s *partsSim) draw(crashing bool) (*partsRequest, int) {
	s.number++
	first := s.drawFirst()
	r := &partsRequest{
		entry: s.entries[s.random.IntN(len(s.entries))], subject: Subject{Fingerprint: 1<<40 + s.number},
		crashing: crashing, attemptsLeft: s.scenario.attempts,
	}
	switch {
	case s.scenario.newFirst && crashing:
		first = 0
		r.subject.Parts = s.newParts()
	case s.scenario.newFirst && !s.thirdAt.IsZero() && s.clock.Since(s.thirdAt) >= s.scenario.soundDelay && s.random.IntN(2) == 0:
		first = 0
		r.subject.Parts = s.newParts()
		last := s.entries[max(len(s.entries)-s.scenario.soundEntries, 0):]
		r.entry = last[s.random.IntN(len(last))]
	case s.scenario.newFirst:
		first = 1 + first%(s.scenario.firstParts-1)
		r.subject.Parts = []uint64{uint64(first + 1)}
	case crashing && s.scenario.sameFirst:
		first = 0
		r.subject.Parts = []uint64{uint64(first + 1)}
	default:
		r.subject.Parts = []uint64{uint64(first + 1)}
	}
	if crashing {
		r.subject.Parts = append(r.subject.Parts, crashingPart)
	}
	return r, first
}
