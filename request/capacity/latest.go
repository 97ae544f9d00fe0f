package capacity

import "time"

const (
	// deliveryMargin is the part of the objective kept for what happens outside of the
	// target's response time: one-way delays to the caller, timers and the entry's own work.
	deliveryMargin = 10 * time.Millisecond
	// minWaitShare is the least share of its objective that a new request may wait although
	// its targets are expected to need more than the rest. If all are too slow, a request
	// counts as late only when it has waited longer than others.
	minWaitShare = 0.1
	// lateObjectives is how long after its arrival, in multiples of its objective, a request
	// that can no longer be in time may still wait. Callers give up on a silent stream after
	// four times the objective, and a rejection must leave them time to come back.
	lateObjectives = 2
)

// Timing is what is known of the time that a request has.
type Timing struct {
	Arrived time.Time
	// Objective is the time from the caller's first attempt to the first event or whole
	// response within which the request counts as served in time; 0 for none.
	Objective time.Duration
	// Age is how long before Arrived the caller began its first attempt, as far as known.
	Age time.Duration
	// Deadline is when the caller gives up.
	Deadline time.Time
}

// Wait is how long a request may wait for a slot.
type Wait struct {
	// LatestStart is when the request must have started to be in time. It may have passed
	// already.
	LatestStart time.Time
	// GiveUp is when it is rejected if it has not started; never before LatestStart unless
	// the caller's deadline is.
	GiveUp time.Time
}

// NewWait returns how long a request may wait if its target needs the given time.
func NewWait(timing Timing, needed time.Duration) Wait {
	due := timing.Arrived.Add(timing.Objective - timing.Age)
	latest := due.Add(-needed - deliveryMargin)
	if least := timing.Arrived.Add(time.Duration(minWaitShare * float64(timing.Objective))); timing.Age == 0 && latest.Before(least) {
		latest = least
	}
	giveUp := timing.Arrived.Add(lateObjectives * timing.Objective)
	if latest.After(giveUp) {
		giveUp = latest
	}
	if last := timing.Deadline.Add(-needed); !timing.Deadline.IsZero() && last.Before(giveUp) {
		giveUp = last
	}
	return Wait{LatestStart: latest, GiveUp: giveUp}
}
