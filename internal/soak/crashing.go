package soak

import (
	"slices"
	"strings"
	"time"

	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// sharedPart is the first part of the prompts of all lookups, crashingPart one that
	// crashes every target of the plain service that gets a request with it. From when requests with
	// it come, all prompts begin with newParts in place of sharedPart.
	sharedPart, crashingPart = "5c1e07a2:40", "bad0bad0"
	newParts                 = "5c1e07a3:40,5c1e07a4:60"
	// crashingCallers is the number of callers whose requests have crashingPart.
	crashingCallers = 2
	// crashRestart is how long a crashed target is down at least.
	crashRestart = 800 * time.Millisecond
	// countedCrashes is the number of crashes after which requests with crashingPart are
	// counted, contact the time from there, and maxLaterSends how many may reach targets.
	countedCrashes = 5
	contact        = 1500 * time.Millisecond
	maxLaterSends  = 3
	// entryStart is the longest time in which an entry starts.
	entryStart = time.Second
)

// checkCrashingPart checks that few requests with crashingPart have reached targets after the
// fifth crash. started is when the day began.
func (r *records) checkCrashingPart(executed []standin.ExecutedRequest, day Day, started time.Time) {
	crashing := slices.DeleteFunc(slices.Clone(executed), func(request standin.ExecutedRequest) bool {
		return !strings.Contains(request.PromptParts, crashingPart)
	})
	if len(crashing) < countedCrashes {
		return
	}
	slices.SortFunc(crashing, func(a, b standin.ExecutedRequest) int { return a.At.Compare(b.At) })
	from := crashing[countedCrashes-1].At.Add(contact)
	later := 0
	for _, request := range crashing {
		if request.At.After(from) && day.inTouch(r.sentAttempt(request.AttemptID).entry, request.At.Sub(started)) {
			later++
		}
	}
	if later > maxLaterSends {
		r.broken(CrashingPartIsRefused, "%d requests reached targets later than %v after the fifth crash, %d in all", later, contact, len(crashing))
	}
}

// inTouch reports whether no fault has kept an entry from knowing what the others do, from
// contact before a time of the day until then.
func (d Day) inTouch(entry int, at time.Duration) bool {
	return !slices.ContainsFunc(d.Faults, func(f Fault) bool {
		return f.concernsEntry(entry, d.Entries) && at >= f.At && at <= f.ends()+contact
	})
}

// ends returns when the effects of a fault on processes have ended at the latest.
func (f Fault) ends() time.Duration {
	end := f.At + f.For
	switch f.Kind {
	case KillEntry:
		end += entryStart
	case StopEntry:
		end += grace + entryStart
	case StoreRestored:
		end += writtenAgain
	}
	return end
}

// concernsEntry reports whether a fault concerns one of a number of entries, the store, or the
// links to targets, in which requests may be held up.
func (f Fault) concernsEntry(entry, entries int) bool {
	switch f.Kind {
	case KillEntry, StopEntry, FreezeEntry, ReloadEntry:
		return f.Subject%entries == entry
	case StoreDown, StoreSilent, StoreSlow, StoreLosesResponses, StoreRestored, CutFromStore, LinkDelayed, LinkSilent:
		return true
	}
	return false
}
