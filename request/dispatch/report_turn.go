package dispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// newsSpan is how long each heartbeat reports what is new of an incarnation. Later ones
	// report one incarnation at a time, in turn, for processes that have started since.
	newsSpan = 3 * time.Second
	// maxReported is the maximum number of incarnations in a heartbeat.
	maxReported = 8
)

// reportTurn selects the incarnations that the next heartbeat reports.
type reportTurn struct {
	// position is that of the incarnation that was reported last, in turn.
	position int
}

// next returns incarnations of those given with the times at which they became known.
func (r *reportTurn) next(known map[incarnationID]time.Time, now time.Time) []incarnationID {
	var selected, earlier []incarnationID
	for _, id := range slices.SortedFunc(maps.Keys(known), compareIncarnations) {
		if now.Sub(known[id]) < newsSpan && len(selected) < maxReported-1 {
			selected = append(selected, id)
		} else {
			earlier = append(earlier, id)
		}
	}
	if len(earlier) > 0 {
		r.position = (r.position + 1) % len(earlier)
		selected = append(selected, earlier[r.position])
	}
	return selected
}
