package pick

// leastInFlight selects the candidate at which this process has the least work in
// flight. It scans from a random index, so that ties are broken at random.
type leastInFlight struct{}

func (leastInFlight) pick(s *Set, q *Query) *TargetState {
	var best *TargetState
	offset := q.randomIndex(0, len(s.states))
	for i := range s.states {
		state := s.states[(offset+i)%len(s.states)]
		if state.isPaused(q.Now) || q.avoids(state) {
			continue
		}
		if best == nil || state.inFlight.Load() < best.inFlight.Load() {
			best = state
		}
	}
	return best
}
