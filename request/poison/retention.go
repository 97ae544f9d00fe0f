package poison

import (
	"maps"
	"slices"
	"time"
)

// dropExpired drops evidence older than RefuseFor.
func (l *Ledger) dropExpired(now time.Time) {
	oldest := now.Add(-l.config.RefuseFor)
	maps.DeleteFunc(l.crashes, func(_ crashID, crash *Crash) bool { return crash.At.Before(oldest) })
	maps.DeleteFunc(l.cleared, func(_ uint64, at time.Time) bool { return at.Before(oldest) })
}

// dropExcess drops the oldest evidence beyond the limits of Config and reports whether it
// dropped a crash. Crashes that keep requests from running freely are dropped last, however
// many other targets crash and however popular the requests in flight there are.
func (l *Ledger) dropExcess() bool {
	excess := len(l.crashes) - l.config.MaxCrashes
	crashes := l.sortedCrashes()
	dropped := map[uint64]int{}
	for _, mayDrop := range []func(*Crash, map[uint64]int) bool{l.incriminatesNone, l.leavesEnough, l.leavesRefusals, dropAny} {
		for _, crash := range crashes {
			if excess <= 0 || l.crashes[crash.id()] == nil || !mayDrop(crash, dropped) {
				continue
			}
			delete(l.crashes, crash.id())
			excess--
			for _, suspect := range slices.Concat(crash.Fingerprints, crash.Parts) {
				dropped[suspect]++
			}
		}
	}
	l.dropExcessClearances()
	return len(l.crashes) < len(crashes)
}

// incriminatesNone reports whether no fingerprint or part in flight in a crash was so in many.
func (l *Ledger) incriminatesNone(crash *Crash, _ map[uint64]int) bool {
	if slices.ContainsFunc(crash.Parts, func(part uint64) bool { return l.parts[part] != nil && l.parts[part].level != Clear }) {
		return false
	}
	return !slices.ContainsFunc(crash.Fingerprints, func(fingerprint uint64) bool {
		suspect := l.suspects[fingerprint]
		return suspect != nil && suspect.crashes >= l.config.refuseAmbiguousAfter()
	})
}

// leavesEnough reports whether the requests in flight in a crash are treated alike without it.
// dropped is how many crashes have been dropped, by fingerprint and part.
func (l *Ledger) leavesEnough(crash *Crash, dropped map[uint64]int) bool {
	needed := l.config.refuseAmbiguousAfter()
	onTrialStays := !slices.ContainsFunc(crash.Fingerprints, func(fingerprint uint64) bool {
		suspect := l.suspects[fingerprint]
		return suspect != nil && suspect.crashes >= needed && suspect.crashes-dropped[fingerprint] <= needed
	})
	return onTrialStays && l.leavesRefusals(crash, dropped)
}

// leavesRefusals reports whether the requests in flight in a crash that are refused, and all
// that have parts that do not run freely, are treated alike without it.
func (l *Ledger) leavesRefusals(crash *Crash, dropped map[uint64]int) bool {
	if slices.ContainsFunc(crash.Parts, func(part uint64) bool {
		state := l.parts[part]
		return state != nil && state.level != Clear && len(state.crashes)-dropped[part] <= keptPartCrashes
	}) {
		return false
	}
	needed := l.config.refuseAmbiguousAfter()
	return !slices.ContainsFunc(crash.Fingerprints, func(fingerprint uint64) bool {
		suspect := l.suspects[fingerprint]
		return suspect != nil && suspect.isCause && suspect.count-dropped[fingerprint] <= needed
	})
}

func dropAny(*Crash, map[uint64]int) bool { return true }

func (l *Ledger) dropExcessClearances() {
	excess := len(l.cleared) - l.config.MaxClearances
	if excess <= 0 {
		return
	}
	newestFirst := l.clearedNewestFirst()
	for _, fingerprint := range newestFirst[len(newestFirst)-excess:] {
		delete(l.cleared, fingerprint)
	}
}
