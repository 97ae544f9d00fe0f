package poison

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// minPartIncidents is the number of incidents after which a prompt part is refused that
	// alone explains them. It is more than one, because targets also crash together for
	// other reasons.
	minPartIncidents = 2
	// minDoubtfulPartIncidents, or minDoubtfulPartCrashes, is the same for a part against
	// which the evidence is weaker.
	minDoubtfulPartIncidents = 3
	minDoubtfulPartCrashes   = 5
	// minTrialCrashes is the number of crashes on trial after which a part is refused in any
	// case. One may have had another cause.
	minTrialCrashes = 2
	// unprovenRefusal is how long after its latest crash a part is refused on evidence that no trial has
	// confirmed. From then on it may run on trial: a sound part may be in flight in crashes with other causes.
	unprovenRefusal = 10 * time.Second
	// minKnownRuns is the number of requests that must have run before a process knows which
	// parts are in use.
	minKnownRuns = 50
	// keptPartCrashes is how many crashes of a part that does not run freely are kept.
	keptPartCrashes = 8
	// maxRestrictedParts bounds the number of parts that do not run freely.
	maxRestrictedParts = 16
)

// partState is the evidence against one prompt part.
type partState struct {
	part uint64
	// crashes are those with the part in flight that no later request with it has cleared,
	// sorted by time. The latest was at lastAt.
	crashes []*Crash
	lastAt  time.Time
	// trialCrashes counts the crashes on trial that show that this part is their cause, triedCrashes all
	// in which it was on trial.
	trialCrashes, triedCrashes int
	// ranBefore is set if a request with the part is known to have run at any time.
	ranBefore bool
	// level is Clear, OnTrial or Refused.
	level Level
	// proven is set if a part is refused and a trial has shown that it crashes targets.
	proven bool
	// rivals are the parts, this one included, any of which may be the cause of the same crashes.
	rivals []uint64
}

// crashedOnTrial reports whether trials have shown that the part crashes targets.
func (s *partState) crashedOnTrial() bool {
	return s.trialCrashes >= minTrialCrashes || s.triedCrashes >= maxTrials
}

// levelAt returns how restricted a part is at the given time. One that is refused on evidence alone goes on
// trial later, unless all trials have been used up: most requests with it are those that crash targets.
func (l *Ledger) levelAt(s *partState, now time.Time) Level {
	if s.level == Refused && !s.proven && now.Sub(s.lastAt) >= unprovenRefusal && !l.triesUsedUp(s.part, now) {
		return OnTrial
	}
	return s.level
}

// triesUsedUp reports whether maxTrials of a suspect have shown nothing.
func (l *Ledger) triesUsedUp(suspect uint64, now time.Time) bool {
	trials := l.trials[suspect]
	return trials != nil && trials.count(anyRun) >= maxTrials && now.Sub(trials.last()) >= trialInterval
}

// refusedUntil returns when a part that is refused may next run.
func (l *Ledger) refusedUntil(s *partState, now time.Time) time.Time {
	if s.proven || l.triesUsedUp(s.part, now) {
		return s.lastAt.Add(l.config.RefuseFor)
	}
	return s.lastAt.Add(unprovenRefusal)
}

// blamesOnly reports whether a crash on trial shows that a part is its cause: no other part was
// in flight that may be. ranBefore reports whether requests with a part have run.
func (c *Crash) blamesOnly(part uint64, ranBefore func(uint64) bool) bool {
	return slices.Equal(c.OnTrial, []uint64{part}) &&
		!slices.ContainsFunc(c.Parts, func(other uint64) bool { return other != part && !ranBefore(other) })
}

// countIncidents counts crashes, sorted by time, those within window of a first one as one.
func countIncidents(crashes []*Crash, window time.Duration) int {
	count := 0
	var began time.Time
	for _, crash := range crashes {
		if count == 0 || crash.At.Sub(began) > window {
			count++
			began = crash.At
		}
	}
	return count
}

// deriveParts sets parts from crashes and cleared.
func (l *Ledger) deriveParts() {
	parts := map[uint64]*partState{}
	ranBefore := func(part uint64) bool {
		_, cleared := l.cleared[part]
		return cleared
	}
	for _, crash := range l.sortedCrashes() {
		for _, part := range crash.Parts {
			if l.clearedAfter(part, crash.At) {
				continue
			}
			state := parts[part]
			if state == nil {
				state = &partState{part: part, ranBefore: ranBefore(part)}
				parts[part] = state
			}
			state.crashes = append(state.crashes, crash)
			state.lastAt = crash.At
			if slices.Equal(crash.OnTrial, []uint64{part}) {
				state.triedCrashes++
			}
			if crash.blamesOnly(part, ranBefore) {
				state.trialCrashes++
			}
		}
	}
	l.parts = parts
	l.findCrashingParts()
}

// partCandidate is a part that may be the cause of the crashes that no stronger candidate
// explains.
type partCandidate struct {
	*partState
	unexplained []*Crash
	// incidents counts those of unexplained.
	incidents int
}

// inManyCrashes reports whether the part, which is not known to have run, was in flight in many
// crashes, also if they are one incident: several requests with it may come at the same time.
func (c *partCandidate) inManyCrashes() bool {
	return len(c.unexplained) >= minDoubtfulPartCrashes && !c.ranBefore
}

// findCrashingParts sets the levels of the parts. The strongest candidate comes first. The
// crashes that it explains do not count against the others.
func (l *Ledger) findCrashingParts() {
	var candidates []*partCandidate
	for _, state := range l.parts {
		candidates = append(candidates, &partCandidate{partState: state, unexplained: state.crashes})
	}
	for range maxRestrictedParts {
		candidates = slices.DeleteFunc(candidates, func(c *partCandidate) bool {
			c.incidents = countIncidents(c.unexplained, l.config.MassCrashWindow)
			return !c.crashedOnTrial() && c.incidents < minPartIncidents && !c.inManyCrashes()
		})
		if len(candidates) == 0 {
			return
		}
		best := slices.MinFunc(candidates, compareCandidates)
		possible := slices.DeleteFunc(slices.Clone(candidates), func(c *partCandidate) bool { return !l.contests(c, best) })
		var rivals []uint64
		for _, c := range possible {
			rivals = append(rivals, c.part)
		}
		for _, c := range possible {
			c.level, c.rivals = l.partLevel(best, len(possible) > 1), rivals
			c.proven = c.level == Refused && (c.crashedOnTrial() || c.triedCrashes > 0)
		}
		candidates = slices.DeleteFunc(candidates, func(c *partCandidate) bool { return slices.Contains(possible, c) })
		for _, c := range candidates {
			c.unexplained = slices.DeleteFunc(slices.Clone(c.unexplained), func(one *Crash) bool { return slices.Contains(best.crashes, one) })
		}
	}
}

// compareCandidates orders candidates, the strongest first.
func compareCandidates(a, b *partCandidate) int {
	return cmp.Or(
		compareBool(b.crashedOnTrial(), a.crashedOnTrial()), compareBool(a.ranBefore, b.ranBefore),
		cmp.Compare(b.incidents, a.incidents), cmp.Compare(len(b.unexplained), len(a.unexplained)),
		b.lastAt.Compare(a.lastAt), cmp.Compare(a.part, b.part),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// contests reports whether a candidate may be the cause instead of the strongest one.
func (l *Ledger) contests(c, best *partCandidate) bool {
	if c == best {
		return true
	}
	if c.crashedOnTrial() != best.crashedOnTrial() || c.ranBefore != best.ranBefore {
		return false
	}
	both := slices.DeleteFunc(slices.Clone(c.unexplained), func(one *Crash) bool { return !slices.Contains(best.unexplained, one) })
	if best.incidents < minPartIncidents {
		return len(both) >= minDoubtfulPartCrashes
	}
	return countIncidents(both, l.config.MassCrashWindow) >= minPartIncidents
}

// partLevel returns how restricted the part of the strongest candidate is.
func (l *Ledger) partLevel(best *partCandidate, contested bool) Level {
	enough := best.incidents >= minDoubtfulPartIncidents || best.inManyCrashes()
	switch {
	case best.crashedOnTrial():
		return Refused
	case best.incidents < minPartIncidents:
		// The targets may have ended together for another reason.
		return OnTrial
	case contested || best.ranBefore:
		if enough {
			return OnTrial
		}
		return Clear
	case l.runs < minKnownRuns && !enough:
		return Clear
	default:
		return Refused
	}
}

// assessParts returns the assessment of a request with some prompt parts, and the part that is
// on trial with it. Of several parts on trial it is the one that stands for all.
func (l *Ledger) assessParts(parts []uint64, now time.Time) (Assessment, uint64) {
	var result Assessment
	var onTrial []*partState
	for _, part := range parts {
		state := l.parts[part]
		if state == nil || state.level == Clear || slices.Contains(onTrial, state) {
			continue
		}
		if now.Sub(state.lastAt) >= l.config.RefuseFor {
			continue
		}
		level := l.levelAt(state, now)
		if level == OnTrial {
			onTrial = append(onTrial, state)
		}
		if level > result.Level {
			result = Assessment{Level: level}
		}
		if level == Refused {
			result.Until = later(result.Until, l.refusedUntil(state, now))
		}
	}
	if len(onTrial) == 0 {
		return result, 0
	}
	slices.SortFunc(onTrial, func(a, b *partState) int { return cmp.Compare(a.part, b.part) })
	first := onTrial[0]
	switch {
	case result.Level == Refused:
		return result, first.part
	case len(onTrial) >= len(first.rivals) && l.triesUsedUp(first.part, now):
		// Requests that crash targets carry all that may be the cause.
		return Assessment{Level: Refused, Until: first.lastAt.Add(l.config.RefuseFor)}, first.part
	case len(onTrial) == 1:
		return result, first.part
	}
	return l.assessPartsTogether(onTrial, result, now), first.part
}

// assessPartsTogether returns the assessment of a request with several parts on trial, given that of
// each. If the request crashes its target, that does not show which of them is the cause.
//
// Parts that came together in all crashes run on trial together as long as another part may be the cause:
// if they run, it is. Otherwise such a request may be the very one that crashes targets. It waits for
// requests with one of the parts, and runs if none has come.
func (l *Ledger) assessPartsTogether(states []*partState, each Assessment, now time.Time) Assessment {
	first := states[0]
	if slices.ContainsFunc(first.crashes, func(crash *Crash) bool { return crash.triedTogether(states) }) {
		return Assessment{Level: Refused, Until: first.lastAt.Add(l.config.RefuseFor)}
	}
	together := !slices.ContainsFunc(states, func(s *partState) bool { return !slices.Equal(s.crashes, first.crashes) })
	if together && len(states) < len(first.rivals) {
		return each
	}
	return l.assessJoint(first.part, each, now)
}

// triedTogether reports whether a crash came on trial of several parts, all of which were in flight and
// none of their other rivals.
func (c *Crash) triedTogether(states []*partState) bool {
	first := states[0]
	inFlight := 0
	for _, rival := range first.rivals {
		if slices.Contains(c.Parts, rival) {
			inFlight++
		}
	}
	return slices.Equal(c.OnTrial, []uint64{first.part}) && inFlight == len(states) &&
		!slices.ContainsFunc(states, func(s *partState) bool { return !slices.Contains(c.Parts, s.part) })
}

// jointTrialDelay is how long a request with several suspects waits for requests with one of them, the
// trial of which shows more.
const jointTrialDelay = 5 * time.Second

// assessJoint returns the assessment of a request with several suspects, given that of each: held at
// first, as long as there are such requests. suspect stands for all of them.
func (l *Ledger) assessJoint(suspect uint64, each Assessment, now time.Time) Assessment {
	want, wanted := l.joint[suspect]
	if !wanted || now.Sub(want.latest) >= wantMemory {
		want.since = now
	}
	want.latest = now
	l.joint[suspect] = want
	if now.Sub(want.since) < jointTrialDelay {
		return Assessment{Level: Held, Until: now.Add(trialInterval)}
	}
	return each
}

// PartsRan records that a request with some prompt parts ran: it received events for some time,
// or completed. A part that crashes every target cannot do so. It reports whether any of
// them was suspected.
func (l *Ledger) PartsRan(parts []uint64, now time.Time) bool {
	suspected := false
	l.runs++
	for _, part := range parts {
		l.ran.add(part, now)
		if l.parts[part] != nil && l.clear(part, now) {
			suspected = true
		}
	}
	if suspected {
		l.recompute(now)
	}
	return suspected
}

// RefusedParts returns the prompt parts whose requests are refused, sorted.
func (l *Ledger) RefusedParts() []uint64 {
	refused := maps.Clone(l.parts)
	maps.DeleteFunc(refused, func(_ uint64, state *partState) bool { return state.level != Refused })
	return slices.Sorted(maps.Keys(refused))
}

// FormatParts returns parts of prompts as they are logged: in hexadecimal, sorted, each once.
func FormatParts(parts []uint64) string {
	sorted := slices.Compact(slices.Sorted(slices.Values(parts)))
	texts := make([]string, len(sorted))
	for i, part := range sorted {
		texts[i] = strconv.FormatUint(part, 16)
	}
	return strings.Join(texts, ",")
}
