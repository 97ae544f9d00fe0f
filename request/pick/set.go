package pick

import "maps"

// Policies.
const (
	PolicyScore         = "score"
	PolicyTwoChoices    = "p2c"
	PolicyLeastInFlight = "least"
	PolicyRoundRobin    = "round_robin"
)

// scanRandomNumber is the number of the query's random index at which a scan
// starts.
const scanRandomNumber = 7

// policy selects a target for a query. The set has at least one target.
type policy interface {
	pick(s *Set, q *Query) *TargetState
}

// Set is an immutable snapshot of the candidates of one pool.
type Set struct {
	states    []*TargetState
	index     map[string]*TargetState
	policy    policy
	pool      *poolState
	preferred preferredTargets
}

// NewSet returns a snapshot of the targets with a policy; an unknown or empty
// name means PolicyScore. The states of targets that are also in previous are
// kept, with their work in flight.
func NewSet(policyName string, targets []Target, previous *Set, subset SubsetConfig) *Set {
	chosen := Subset(targets, subset)
	s := &Set{policy: newPolicy(policyName), pool: poolStateOf(previous), index: map[string]*TargetState{}}
	remaining := previous.copyIndex()
	slots := subset.CacheSlots
	if slots <= 0 {
		slots = defaultCacheSlots
	}
	for _, t := range chosen {
		state := remaining[t.Name]
		if state == nil || state.target != t {
			state = newState(t, s.pool, slots)
		} else {
			delete(remaining, t.Name)
		}
		s.states = append(s.states, state)
		s.index[t.Name] = state
	}
	for _, removed := range remaining {
		removed.retired.Store(true)
	}
	s.preferred = newPreferredTargets(s.states)
	return s
}

// poolStateOf returns the pool state of previous, or a new one if that is nil.
func poolStateOf(previous *Set) *poolState {
	if previous != nil {
		return previous.pool
	}
	return newPoolState()
}

// copyIndex returns a copy of the index; nil for a nil Set.
func (s *Set) copyIndex() map[string]*TargetState {
	if s == nil {
		return nil
	}
	return maps.Clone(s.index)
}

// States returns the candidates; the caller must not change the slice.
func (s *Set) States() []*TargetState { return s.states }

// Find returns the candidate with the name, or nil.
func (s *Set) Find(name string) *TargetState { return s.index[name] }

// Pick selects a target for a query; false means that the query excludes all
// candidates. It prefers targets that have not asked for a pause, and selects a
// paused one only when there is no other, leaving the decision to its gate.
func (s *Set) Pick(q *Query) (*TargetState, bool) {
	if s == nil || len(s.states) == 0 {
		return nil, false
	}
	if state := s.policy.pick(s, q); state != nil && !q.avoids(state) && !state.isPaused(q.Now) {
		return state, true
	}
	return s.scan(q)
}

// scan selects the candidate with the lowest score among all, starting from a
// random index.
func (s *Set) scan(q *Query) (*TargetState, bool) {
	var best *TargetState
	bestScore := 0.0
	offset := q.randomIndex(scanRandomNumber, len(s.states))
	timePerCost := s.pool.timePerCost()
	for i := range s.states {
		state := s.states[(offset+i)%len(s.states)]
		if q.avoids(state) {
			continue
		}
		if score := state.score(q, timePerCost); best == nil || score < bestScore {
			best, bestScore = state, score
		}
	}
	return best, best != nil
}

// newPolicy returns the policy with the name, by default lowestScore.
func newPolicy(name string) policy {
	switch name {
	case PolicyTwoChoices:
		return twoChoices{}
	case PolicyLeastInFlight:
		return leastInFlight{}
	case PolicyRoundRobin:
		return roundRobin{}
	}
	return lowestScore{}
}
