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

// weight is the number of requests by which the candidate is below a relative load.
func (c *Candidate) weight(level float64) float64 {
	return (level-c.Penalty)*c.Capacity - c.Load
}

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
// The unseen requests are most likely at the least loaded targets. They are distributed
// over these so that all reach one relative load, the level, and a candidate is chosen with
// a probability proportional to its part of them. Processes that decide by the same loads
// thereby fill the targets evenly instead of all choosing the same one.
//
// With preferLocal set, requests cross to other failure domains only as far as the targets
// of their own have no part for them: if the unseen requests of the own domain and this one
// are fewer than the parts of its targets, all stay, otherwise a share of them. All domains
// then still reach the same level, because what one has too many another has too few.
func (c *Chooser) Choose(candidates []Candidate, unseen Unseen, preferLocal bool, random func() float64) int {
	if unseen.Total < minUnseen {
		return leastLoaded(candidates, random)
	}
	level := c.level(candidates, unseen.Total)
	local, remote := 0.0, 0.0
	for _, i := range c.below {
		if part := max(candidates[i].weight(level), 0); candidates[i].Remote {
			remote += part
		} else {
			local += part
		}
	}
	if preferLocal {
		if remote == 0 || local > 0 && random()*max(unseen.Local, ownRequest) < local {
			remote = 0
		} else {
			local = 0
		}
	}
	return c.draw(candidates, level, local, remote, random)
}

// ownRequest is the least number of requests in the own failure domain: the one that is
// about to be sent.
const ownRequest = 1

// draw returns the index of a candidate with a probability proportional to its part. local
// and remote are the sums of the parts, or 0 to draw no local or no remote ones.
func (c *Chooser) draw(candidates []Candidate, level, local, remote float64, random func() float64) int {
	last, drawn := -1, random()*(local+remote)
	for _, i := range c.below {
		candidate := &candidates[i]
		part := candidate.weight(level)
		if part <= 0 || candidate.Remote && remote == 0 || !candidate.Remote && local == 0 {
			continue
		}
		last = int(i)
		if drawn -= part; drawn < 0 {
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

// level returns the relative load that the candidates below it reach if they get the given
// number of requests, and sets c.below to these candidates.
func (c *Chooser) level(candidates []Candidate, requests float64) float64 {
	load, capacity := requests, 0.0
	c.below = c.below[:0]
	for i := range candidates {
		c.below = append(c.below, int32(i))
		load += candidates[i].Load + candidates[i].Penalty*candidates[i].Capacity
		capacity += candidates[i].Capacity
	}
	for range maxLevelPasses {
		level, kept := load/capacity, 0
		for _, i := range c.below {
			candidate := &candidates[i]
			if candidate.weight(level) > 0 {
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
	return load / capacity
}
