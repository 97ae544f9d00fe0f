package soak

import (
	"strconv"
	"time"

	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// onTheirWay is how long after a target's response requests of the entry do not count.
	onTheirWay = 500 * time.Millisecond
	// A target with a limit gets at most limitFactor times what that allows in limitWindow, plus
	// limitSlack requests, from limitSettled after it has first named it.
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitSettled = contact
)

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
		if arrival.At.Sub(first) < onTheirWay || !day.inTouch(entry, arrival.At.Sub(started)) {
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
