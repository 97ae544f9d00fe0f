package capacity

import "time"

const (
	// floorShare is the least share in which requests of an urgency are started, relative to
	// all. At least a quarter must be served; the rest covers those that fail.
	floorShare = 0.3
	// floorHalfLife is the time in which half of the requests expire from the shares.
	floorHalfLife = 5 * time.Second
	// floorEvidence is the decaying number of requests of an urgency from which its share
	// is known.
	floorEvidence = 10
)

// StartShares tracks which share of the requests of each urgency a process has started. The
// zero value is that of a process without requests.
type StartShares struct {
	counts map[int]*startCount
}

type startCount struct {
	arrived, started float64
	at               time.Time
}

func (c *startCount) decay(now time.Time) {
	age := now.Sub(c.at)
	c.arrived, c.started, c.at = decayed(c.arrived, age, floorHalfLife), decayed(c.started, age, floorHalfLife), now
}

func (s *StartShares) count(urgency int, now time.Time) *startCount {
	if s.counts == nil {
		s.counts = map[int]*startCount{}
	}
	count := s.counts[urgency]
	if count == nil {
		count = &startCount{at: now}
		if len(s.counts) >= maxUrgencies {
			return count
		}
		s.counts[urgency] = count
	}
	count.decay(now)
	return count
}

// RecordArrival counts a request that has arrived.
func (s *StartShares) RecordArrival(urgency int, now time.Time) { s.count(urgency, now).arrived++ }

// RecordStart counts a request that has been started.
func (s *StartShares) RecordStart(urgency int, now time.Time) { s.count(urgency, now).started++ }

// BelowFloor reports whether the requests of an urgency are started much less often than all,
// so that the next one must go before more urgent ones.
func (s *StartShares) BelowFloor(urgency int, now time.Time) bool {
	own := s.count(urgency, now)
	if own.arrived < floorEvidence {
		return false
	}
	var all startCount
	for _, count := range s.counts {
		count.decay(now)
		all.arrived += count.arrived
		all.started += count.started
	}
	return own.started*all.arrived < floorShare*all.started*own.arrived
}
