package capacity

import "time"

const (
	// maxDeadlines is the number of different deadlines counted for a route.
	maxDeadlines = 8
	// deadlineStep is the step to which deadlines are rounded before they are counted:
	// callers lose a few milliseconds between the start of a request and sending it.
	deadlineStep = 25 * time.Millisecond
	// usualShare is the least share of a route's requests that must state the same deadline
	// for it to be taken as that of first attempts.
	usualShare = 0.3
	// usualEvidence is the number of requests before any deadline is taken as usual, and
	// maxDeadlineCount the number at which all counts are halved.
	usualEvidence    = 20
	maxDeadlineCount = 2000
	// minAge is the least difference from the usual deadline that shows an earlier attempt.
	minAge = 2 * deadlineStep
)

// FirstDeadlines learns which deadline the callers of a route state in their first attempts.
// A caller that comes back after a rejection states what is left of it, which is different
// each time, so the deadline of first attempts is the most frequent one. The zero value
// knows nothing.
type FirstDeadlines struct {
	counts [maxDeadlines]deadlineCount
	total  int
}

type deadlineCount struct {
	deadline time.Duration
	count    int
}

// Age records the time left that a caller states and returns how long ago it made its first
// attempt; 0 if this may be the first or if no deadline is usual.
func (f *FirstDeadlines) Age(left time.Duration) time.Duration {
	f.record((left + deadlineStep - 1).Truncate(deadlineStep))
	usual, ok := f.usual()
	if !ok {
		return 0
	}
	if age := usual - left; age >= minAge {
		return age
	}
	return 0
}

// record counts a deadline. If all places are taken by others, each of them loses a count, so
// that only frequent deadlines keep theirs.
func (f *FirstDeadlines) record(deadline time.Duration) {
	f.total++
	if f.total > maxDeadlineCount {
		f.total /= 2
		for i := range f.counts {
			f.counts[i].count /= 2
		}
	}
	free := -1
	for i := range f.counts {
		if f.counts[i].count > 0 && f.counts[i].deadline == deadline {
			f.counts[i].count++
			return
		}
		if f.counts[i].count == 0 {
			free = i
		}
	}
	if free >= 0 {
		f.counts[free] = deadlineCount{deadline: deadline, count: 1}
		return
	}
	for i := range f.counts {
		f.counts[i].count--
	}
}

// usual returns the deadline that a large part of the requests state.
func (f *FirstDeadlines) usual() (time.Duration, bool) {
	var most deadlineCount
	for _, counted := range f.counts {
		if counted.count > most.count {
			most = counted
		}
	}
	return most.deadline, f.total >= usualEvidence && float64(most.count) >= usualShare*float64(f.total)
}
