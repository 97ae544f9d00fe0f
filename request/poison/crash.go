package poison

import (
	"cmp"
	"slices"
	"time"
)

// Crash is the end of one engine incarnation and the requests that it was running.
type Crash struct {
	// Target and Incarnation identify the engine incarnation that ended.
	Target, Incarnation string
	// Restart tells apart the crashes of a target that restarts faster than it registers:
	// it is how many crashes of the same registered incarnation came before.
	Restart int
	// Group identifies the incarnation of the lock-step group that the engine belongs
	// to. The engines of a group end together and count as one crash. It is empty for
	// an engine that is not in a group.
	Group string
	// Fingerprints are those of the requests in flight.
	Fingerprints []uint64
	// OnTrial are those Fingerprints and Parts whose requests ran on trial. The sender of such
	// a request knew of an earlier crash, even if the receiver of this one does not.
	OnTrial []uint64
	// Parts are the prompt parts of those requests in flight that had received no events yet,
	// or only for a short time.
	Parts []uint64
	// At is when the engine ended, on the receiver's clock.
	At time.Time
}

// requestsOnTrial returns those of OnTrial that are fingerprints.
func (c *Crash) requestsOnTrial() []uint64 {
	return slices.DeleteFunc(slices.Clone(c.OnTrial), func(suspect uint64) bool { return slices.Contains(c.Parts, suspect) })
}

// minRestart is the least time from a crash until the target accepts connections again. One
// that was accepted sooner may have been accepted before the crash.
const minRestart = 300 * time.Millisecond

// incarnationID identifies an incarnation by its registration.
type incarnationID struct {
	target, incarnation string
}

type crashID struct {
	incarnationID
	restart int
}

func (c *Crash) id() crashID {
	return crashID{incarnationID{c.Target, c.Incarnation}, c.Restart}
}

// compareCrashes orders crashes by time and then by ID, so that all processes use the
// same order.
func compareCrashes(a, b *Crash) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
}

// mergeReports combines two reports of the same crash: the earlier time and the
// union of the fingerprints, up to limit.
func mergeReports(a, b *Crash, limit int) *Crash {
	merged := *a
	if b.At.Before(a.At) {
		merged.At = b.At
	}
	merged.Group = max(a.Group, b.Group)
	merged.Fingerprints = union(a.Fingerprints, b.Fingerprints, limit)
	merged.OnTrial = union(a.OnTrial, b.OnTrial, limit)
	merged.Parts = union(a.Parts, b.Parts, limit)
	return &merged
}

// union returns the sorted union of a and b, truncated to limit.
func union(a, b []uint64, limit int) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), limit)]
}

// incident is one or more crashes that count as one: a single crash, the crashes of
// one group, or a mass crash.
type incident struct {
	// at is the time of the first crash of a group, or of the last incident of a mass
	// crash.
	at           time.Time
	mass         bool
	targets      []string
	fingerprints []uint64
	onTrial      []uint64
}

// incidentsOf combines the crashes of each group into one incident. Both crashes and
// the result are sorted by time.
func incidentsOf(crashes []*Crash, limit int) []*incident {
	var all []*incident
	groups := map[string]*incident{}
	for _, crash := range crashes {
		existing := groups[crash.Group]
		if existing == nil {
			existing = &incident{at: crash.At, fingerprints: crash.Fingerprints, onTrial: crash.OnTrial}
			all = append(all, existing)
		} else {
			existing.fingerprints = union(existing.fingerprints, crash.Fingerprints, limit)
			existing.onTrial = union(existing.onTrial, crash.OnTrial, limit)
		}
		existing.targets = append(existing.targets, crash.Target)
		if crash.Group != "" {
			groups[crash.Group] = existing
		}
	}
	return all
}

// mergeMassCrashes replaces the incidents of each mass crash by a single one. A single
// request is an unlikely cause of many targets crashing at once, so only fingerprints
// that were in flight in two or more of the incidents (minMassOccurrences) stay
// suspected. These stay so because a request that crashes targets as fast as it is
// retried must not be mistaken for a power failure.
func mergeMassCrashes(all []*incident, window time.Duration, targets, limit int) []*incident {
	mass := markMassCrashes(all, window, targets)
	var merged []*incident
	for i := 0; i < len(all); {
		if !mass[i] {
			merged = append(merged, all[i])
			i++
			continue
		}
		end := i + 1
		for end < len(all) && mass[end] && all[end].at.Sub(all[end-1].at) <= window {
			end++
		}
		merged = append(merged, mergeIncidents(all[i:end], limit))
		i = end
	}
	return merged
}

func mergeIncidents(incidents []*incident, limit int) *incident {
	merged := &incident{at: incidents[len(incidents)-1].at, mass: true}
	counts := map[uint64]int{}
	for _, one := range incidents {
		merged.targets = append(merged.targets, one.targets...)
		for _, fingerprint := range one.fingerprints {
			counts[fingerprint]++
			if counts[fingerprint] == minMassOccurrences {
				merged.fingerprints = append(merged.fingerprints, fingerprint)
			}
		}
	}
	merged.fingerprints = union(merged.fingerprints, nil, limit)
	return merged
}

// minMassOccurrences is the number of incidents of a mass crash in which a fingerprint
// must have been in flight to be suspected.
const minMassOccurrences = 2

// markMassCrashes returns which of the incidents, sorted by time, belong to a mass
// crash.
func markMassCrashes(all []*incident, window time.Duration, targets int) []bool {
	mass := make([]bool, len(all))
	for first := range all {
		crashed := map[string]bool{}
		last := first
		for i := first; i < len(all) && all[i].at.Sub(all[first].at) <= window; i++ {
			crashed[all[i].targets[0]] = true
			last = i
		}
		if len(crashed) < targets {
			continue
		}
		for i := first; i <= last; i++ {
			mass[i] = true
		}
	}
	return mass
}
