package soak

import (
	"slices"
	"strconv"
	"time"

	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// onTheirWay is how long after a target's response requests of the entry do not count.
	onTheirWay = 500 * time.Millisecond
	// maxInRest is how many requests of an entry may reach a target in the rest of the time for
	// which it has asked for rest.
	maxInRest = 2
	// A target with a limit gets at most limitFactor times what that allows in limitWindow, plus
	// limitSlack requests, from limitSettled after it has first named it.
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitSettled = contact
)

// sendsInTime reports whether no fault has stopped an entry, or held up requests on their way to
// targets, from contact before a time of the day until then. Faults of the store excuse nothing.
func (d Day) sendsInTime(entry int, at time.Duration) bool {
	return !slices.ContainsFunc(d.Faults, func(f Fault) bool {
		return f.holdsUpRequests(entry, d.Entries) && at >= f.At && at <= f.ends()+contact
	})
}

// holdsUpRequests reports whether a fault stops one of a number of entries or delays requests.
func (f Fault) holdsUpRequests(entry, entries int) bool {
	switch f.Kind {
	case KillEntry, StopEntry, StopEntryTwice, FreezeEntry:
		return f.Subject%entries == entry
	case LinkDelayed, LinkSilent:
		return true
	}
	return false
}

// checkRest checks that a target got next to nothing from entries that it had asked for rest.
// The arrivals are those of one incarnation, in order.
func (r *records) checkRest(arrivals []standin.Arrival, day Day, started time.Time) {
	for n, asked := range arrivals {
		seconds, err := strconv.ParseFloat(asked.RetryAfter, 64)
		if err != nil {
			continue
		}
		rest := time.Duration(seconds * float64(time.Second))
		entry, got := r.sentAttempt(asked.AttemptID).entry, 0
		for _, later := range arrivals[n+1:] {
			since := later.At.Sub(asked.At)
			if r.sentAttempt(later.AttemptID).entry == entry && since > onTheirWay && since < rest && day.sendsInTime(entry, later.At.Sub(started)) {
				got++
			}
		}
		if got > maxInRest {
			r.broken(RestIsGranted, "a target asked entry %d for %v at %.2f s and got %d requests", entry, rest, asked.At.Sub(started).Seconds(), got)
			return
		}
	}
}

// checkLimit checks that a target with a limit got no more than that from all entries that it
// had told. The arrivals are those of one incarnation, in order.
func (r *records) checkLimit(arrivals []standin.Arrival, day Day, started time.Time) {
	var counted []time.Time
	told := map[int]time.Time{}
	var named time.Time
	for _, arrival := range arrivals {
		limit, err := strconv.ParseFloat(arrival.Limit, 64)
		if err != nil {
			counted, named = nil, time.Time{}
			clear(told)
			continue
		}
		if named.IsZero() {
			named = arrival.At
		}
		entry := r.sentAttempt(arrival.AttemptID).entry
		first, isTold := told[entry]
		if !isTold {
			told[entry] = arrival.At
			continue
		}
		if arrival.At.Sub(first) < onTheirWay || !day.sendsInTime(entry, arrival.At.Sub(started)) {
			continue
		}
		counted = append(counted, arrival.At)
		for arrival.At.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
		if arrival.At.Sub(named) >= limitSettled && float64(len(counted)) > allowed {
			r.broken(LimitIsKept, "a target with a limit of %v a second got %d requests in %v, allowed %.0f", limit, len(counted), limitWindow, allowed)
			return
		}
	}
}
