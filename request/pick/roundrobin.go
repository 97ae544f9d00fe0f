package pick

// roundRobin selects the candidates in turn.
type roundRobin struct{}

func (roundRobin) pick(s *Set, _ *Query) *TargetState {
	turn := s.pool.turn.Add(1)
	return s.states[turn%uint64(len(s.states))]
}
