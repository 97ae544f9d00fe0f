package poison

import "time"

// latestTimes holds the latest times of the keys that were added last: of at least limit keys,
// and at most twice as many.
type latestTimes struct {
	limit           int
	newer, previous map[uint64]time.Time
}

func newLatestTimes(limit int) *latestTimes {
	return &latestTimes{limit: limit, newer: map[uint64]time.Time{}}
}

// add sets the time of a key.
func (t *latestTimes) add(key uint64, at time.Time) {
	if _, known := t.newer[key]; !known && len(t.newer) >= t.limit {
		t.previous, t.newer = t.newer, map[uint64]time.Time{}
	}
	t.newer[key] = at
}

// get returns the time of a key, if it is known.
func (t *latestTimes) get(key uint64) (time.Time, bool) {
	if at, known := t.newer[key]; known {
		return at, true
	}
	at, known := t.previous[key]
	return at, known
}
