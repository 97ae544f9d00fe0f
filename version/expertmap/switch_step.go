package expertmap

import "time"

// commitTrips is the number of one-way trips between the observation of a step and the
// moment every rank knows the decision: the observation's trip to the proposer,
// proposal, poll, promise and outcome.
const commitTrips = 5

// SwitchStep returns the step at which a proposal should take effect: the first that no
// rank can reach before it knows the decision, provided that each trip takes at most
// oneWay and processing in engines and agents takes at most slack in total. observed is
// the last step that a rank is known to have started, stepTime the shortest duration of
// a step.
func SwitchStep(observed uint64, stepTime, oneWay, slack time.Duration) uint64 {
	if stepTime <= 0 {
		stepTime = time.Millisecond
	}
	need := commitTrips*oneWay + slack
	ahead := (need + stepTime - 1) / stepTime
	// One extra step for a rank that is ahead of the observed one, and one so that the
	// switch takes effect at a step that has not started.
	return observed + uint64(ahead) + 2
}
