package pick

// twoChoices selects from two random candidates the one at which this process has
// less work in flight, or the other if that one is paused or excluded.
type twoChoices struct{}

func (twoChoices) pick(s *Set, q *Query) *TargetState {
	first, second := q.twoIndexes(len(s.states))
	a, b := s.states[first], s.states[second]
	switch {
	case a.isPaused(q.Now) || q.avoids(a):
		return b
	case b.isPaused(q.Now) || q.avoids(b):
		return a
	case b.inFlight.Load() < a.inFlight.Load():
		return b
	}
	return a
}

// twoIndexes returns two random indexes below n, which differ when n > 1.
func (q *Query) twoIndexes(n int) (first, second int) {
	first = q.randomIndex(0, n)
	if n == 1 {
		return first, first
	}
	second = q.randomIndex(1, n-1)
	if second >= first {
		second++
	}
	return first, second
}
