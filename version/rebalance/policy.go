package rebalance

import "time"

// Policy holds the tuning parameters of a Planner.
type Policy struct {
	// HalfLife is the time after which the weight of expert selections has halved.
	HalfLife time.Duration
	// MaxSlices is the number of the latest 100 ms time slices that a decision
	// considers.
	MaxSlices int
	// ShiftThreshold is the distance, from 0 to 1, between recent and earlier expert
	// selections above which the earlier ones are discarded; 0 for never.
	ShiftThreshold float64
	// CopyCost is the minimum reduction of a layer's skew for each copied megabyte
	// in a group of one rank. The minimum is divided by the number of ranks, since
	// a more even layer speeds up all of them.
	CopyCost float64
	// MinGain is the minimum reduction of the mean skew for which a map is
	// changed.
	MinGain float64
	// FastStepShare is the share of the longest allowed stream gap below which the
	// mean step time counts as fast. While steps are fast, a map must reduce the skew
	// FastStepFactor times as much. Steps that process long prompts take several times
	// the mean.
	FastStepShare, FastStepFactor float64
	// MaxCopyTime bounds the time that a rank spends copying for one map, which adds to
	// the time until the map can be used. One expert may take longer.
	MaxCopyTime time.Duration
	// MaxNewPerRank is the maximum number of experts that a rank copies for one map;
	// each adds to the time until the map can be used.
	MaxNewPerRank int
	// MinLead is the least number of steps ahead for which a switch is proposed.
	MinLead uint64
}

// copyCost returns the minimum reduction of a layer's skew for each copied expert
// of the given size.
func (p Policy) copyCost(megabytes float64, ranks int) float64 {
	return p.CopyCost * megabytes / float64(max(ranks, 1))
}

// newPerRank returns the maximum number of experts that a rank copies for one map, if one
// takes the given time; 0 if that is not known.
func (p Policy) newPerRank(copyTime time.Duration) int {
	if copyTime <= 0 {
		return p.MaxNewPerRank
	}
	return min(max(int(p.MaxCopyTime/copyTime), 1), p.MaxNewPerRank)
}

// DefaultPolicy returns the policy used in production.
func DefaultPolicy() Policy {
	return Policy{
		HalfLife: 300 * time.Millisecond, MaxSlices: 8, CopyCost: 2.7e-4, MinGain: 0.2, MaxCopyTime: 100 * time.Millisecond, MaxNewPerRank: 4, MinLead: 2,
		FastStepShare: 0.28, FastStepFactor: 2,
	}
}
