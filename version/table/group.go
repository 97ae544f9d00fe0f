package table

import "slices"

// GroupOf returns the lock-step pool that contains the target, and the target's
// rank in it.
func (s *Snapshot) GroupOf(target string) (pool *CompiledPool, rank int, found bool) {
	for _, candidate := range s.pools {
		if !candidate.LockStep {
			continue
		}
		if rank := slices.Index(candidate.Targets, target); rank >= 0 {
			return candidate, rank, true
		}
	}
	return nil, 0, false
}

// Groups returns the lock-step pools in unspecified order.
func (s *Snapshot) Groups() []*CompiledPool {
	var groups []*CompiledPool
	for _, candidate := range s.pools {
		if candidate.LockStep {
			groups = append(groups, candidate)
		}
	}
	return groups
}
