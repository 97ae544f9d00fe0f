package rebalance

import "time"

// Policy tunes a Planner.
type Policy struct {
	// HalfLife is the time after which what was chosen weighs half.
	HalfLife time.Duration
	// Slices is how many of the latest slices of 100 ms are looked at.
	Slices int
	// Shift is the distance, from 0 to 1, between what was chosen lately and
	// before, from which on what was chosen before counts no more; 0 for never.
	Shift float64
	// CopyCost is the least fall of a layer's skew that each copied megabyte must
	// bring in a group of one rank; the more ranks an even layer speeds up, the less.
	CopyCost float64
	// LeastGain is the least fall of the mean skew for which a map is changed.
	LeastGain float64
	// Calm is the part of the longest pause of a stream below which the mean step
	// counts as fast; then a copy must bring CalmFactor times as much. Steps with long
	// prompts in them take several times the mean.
	Calm, CalmFactor float64
	// NewPerRank bounds the experts that a rank copies for one map: each adds to
	// the time until the map can be used.
	NewPerRank int
	// Lead is how many steps ahead a switch is proposed.
	Lead uint64
}

// copyCost is the least fall of a layer's skew that each copied expert must bring.
func (p Policy) copyCost(megabytes float64, ranks int) float64 {
	return p.CopyCost * megabytes / float64(max(ranks, 1))
}

// DefaultPolicy returns the policy of the product.
func DefaultPolicy() Policy {
	return Policy{
		HalfLife: 300 * time.Millisecond, Slices: 8, CopyCost: 2.7e-4, LeastGain: 0.2, NewPerRank: 1, Lead: 2,
		Calm: 0.28, CalmFactor: 2,
	}
}
