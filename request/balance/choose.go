package balance

// Candidate is a target that may get the request.
type Candidate struct {
	// Load is the number of requests that all processes are known to have there, Capacity
	// the number that the target runs at once, more than 0.
	Load, Capacity float64
	// Penalty is added to the relative load.
	Penalty float64
	// Remote is set for a target in another failure domain.
	Remote bool
}

func (c *Candidate) relativeLoad() float64 { return c.Load/c.Capacity + c.Penalty }

const (
	// tieJitter is the range of relative load in which targets count as equally loaded, so
	// that processes do not all choose the same one.
	tieJitter = 0.01
	// minUnseen is the number of requests below which the least loaded target is chosen: it
	// most likely has none of them.
	minUnseen = 0.5
	// maxLevelPasses bounds the search for the common level. A pass removes all candidates
	// above the level; more are needed only for loads that grow exponentially, and the
	// level is then a little too high.
	maxLevelPasses = 32
)

// Chooser chooses among candidates. It keeps memory between choices, so that they do not
// allocate, and is not safe for concurrent use.
type Chooser struct{ below []int32 }

// Choose returns the index of the candidate that gets the request, or -1 if there are none.
// unseen is what other processes are expected to have started since they reported the loads;
// random returns numbers in [0, 1).
//
// The unseen requests are most likely at the least loaded targets, which they raise to one
// relative load, the level. The targets below it are then equally loaded, and the request
// goes to any of them with a probability proportional to its capacity. Processes that decide
// by the same loads thereby fill the targets evenly instead of all choosing the same one. A
// probability proportional to a target's part of the unseen requests would overfill those
// that were the least loaded: they have got more than their part before.
//
// With preferLocal set, requests stay in the own failure domain as far as their share of all
// requests does not exceed its targets' share of the capacity below the level; otherwise a
// share of them crosses. All domains then still reach the same level, because what one has
// too many another has too few.
func (c *Chooser) Choose(candidates []Candidate, unseen Unseen, preferLocal bool, random func() float64) int {
	if unseen.Total < minUnseen {
		return leastLoaded(candidates, random)
	}
	c.findBelow(candidates, unseen.Total)
	local, remote := 0.0, 0.0
	for _, i := range c.below {
		if candidates[i].Remote {
			remote += candidates[i].Capacity
		} else {
			local += candidates[i].Capacity
		}
	}
	if preferLocal && local > 0 && remote > 0 {
		if random()*unseen.LocalShare < local/(local+remote) {
			remote = 0
		} else {
			local = 0
		}
	}
	return c.draw(candidates, local, remote, random)
}

// draw returns the index of a candidate below the level with a probability proportional to
// its capacity. local and remote are the sums of the capacities, or 0 to draw no local or no
// remote ones.
func (c *Chooser) draw(candidates []Candidate, local, remote float64, random func() float64) int {
	last, drawn := -1, random()*(local+remote)
	for _, i := range c.below {
		candidate := &candidates[i]
		if candidate.Remote && remote == 0 || !candidate.Remote && local == 0 {
			continue
		}
		last = int(i)
		if drawn -= candidate.Capacity; drawn < 0 {
			break
		}
	}
	return last
}

// leastLoaded returns the index of the candidate with the least relative load, or -1 if
// there are none.
func leastLoaded(candidates []Candidate, random func() float64) int {
	best, bestScore := -1, 0.0
	for i := range candidates {
		score := candidates[i].relativeLoad()
		if best >= 0 && score >= bestScore {
			continue
		}
		if score += random() * tieJitter; best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// findBelow sets c.below to the candidates below the relative load that they reach if they
// get the given number of requests, and returns that load.
func (c *Chooser) findBelow(candidates []Candidate, requests float64) (level float64) {
	load, capacity := requests, 0.0
	c.below = c.below[:0]
	for i := range candidates {
		c.below = append(c.below, int32(i))
		load += candidates[i].Load + candidates[i].Penalty*candidates[i].Capacity
		capacity += candidates[i].Capacity
	}
	for range maxLevelPasses {
		kept := 0
		level = load / capacity
		for _, i := range c.below {
			candidate := &candidates[i]
			if candidate.relativeLoad() < level {
				c.below[kept] = i
				kept++
				continue
			}
			load -= candidate.Load + candidate.Penalty*candidate.Capacity
			capacity -= candidate.Capacity
		}
		if kept == len(c.below) {
			break
		}
		c.below = c.below[:kept]
	}
	return level
}
