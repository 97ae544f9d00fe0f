package placement

import (
	"slices"
	"time"
)

// RankHealth tells whether a rank keeps up with the others and, if not, why.
type RankHealth uint8

const (
	// Healthy means that the rank keeps up with the others.
	Healthy RankHealth = iota
	// Overloaded means that the rank takes longer because it has more tokens. A
	// better placement helps.
	Overloaded
	// Slow means that the rank computes fewer tokens per second than usual. The
	// placement adapts if that persists.
	Slow
	// Stalled means that the rank makes no progress. Placement does not help: the
	// group must be re-formed without the rank.
	Stalled
)

// String returns the lower-case name.
func (h RankHealth) String() string {
	return [...]string{"healthy", "overloaded", "slow", "stalled"}[h]
}

// RankProgress describes a rank's recent progress.
type RankProgress struct {
	// Tokens is the number of tokens that it computed in its last step, Busy the
	// time that this took.
	Tokens float64
	Busy   time.Duration
	// UsualSpeed is its usual speed in tokens per second; 0 while unknown.
	UsualSpeed float64
	// Silence is the time since it last finished a step.
	Silence time.Duration
}

const (
	// A rank is stalled if its silence exceeds both stallSteps times the median step
	// time and minStallSilence.
	stallSteps      = 20
	minStallSilence = 500 * time.Millisecond
	// slowSpeedRatio is the fraction of its usual speed below which a rank is slow.
	slowSpeedRatio = 0.8
	// healthyTimeRatio is the multiple of the median step time up to which a rank is
	// healthy.
	healthyTimeRatio = 1.1
)

// ClassifyRanks returns the health of each rank, comparing its last step time with the
// median.
func ClassifyRanks(ranks []RankProgress) []RankHealth {
	health := make([]RankHealth, len(ranks))
	if len(ranks) == 0 {
		return health
	}
	times := make([]time.Duration, len(ranks))
	for index, rank := range ranks {
		times[index] = rank.Busy
	}
	slices.Sort(times)
	median := times[len(times)/2]
	for index, rank := range ranks {
		health[index] = classify(rank, median)
	}
	return health
}

func classify(rank RankProgress, median time.Duration) RankHealth {
	if rank.Silence > max(stallSteps*median, minStallSilence) {
		return Stalled
	}
	if rank.Busy.Seconds() <= healthyTimeRatio*median.Seconds() {
		return Healthy
	}
	if rank.UsualSpeed > 0 && rank.Tokens/rank.Busy.Seconds() < slowSpeedRatio*rank.UsualSpeed {
		return Slow
	}
	return Overloaded
}
