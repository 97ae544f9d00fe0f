package placement

import "slices"

// EqualShareInput holds what a decision depends on for a group in which the replicas of
// an expert take equal shares of its tokens.
type EqualShareInput struct {
	// Loads holds the tokens by demand, layer and expert. The map is optimised for
	// balance under every one of these demands.
	Loads [][][]float64
	// DemandWeights are the weights of the demands; nil weighs all equally.
	DemandWeights []float64
	// Slowdowns holds each rank's time per token relative to its usual one; nil means 1
	// for all ranks.
	Slowdowns []float64
	// Ranks is the size of the group, Slots the number of experts of a layer that
	// fit on a rank, and MaxNewPerLayer how many of them one map may add to a rank.
	Ranks, Slots, MaxNewPerLayer int
}

// EqualShareSettings tune ImproveEqualShare.
type EqualShareSettings struct {
	// MinGainPerCopy is the minimum reduction of a layer's skew that each copy must bring.
	MinGainPerCopy float64
	// MaxNewPerRank bounds the experts that a rank copies over all layers. Ranks copy
	// in parallel, and each rank copies one expert at a time.
	MaxNewPerRank int
	// MaxSteps bounds the changes per decision.
	MaxSteps int
}

// EqualSharePlan is the result of a decision.
type EqualSharePlan struct {
	// Experts holds the experts of the next map by layer and rank.
	Experts [][][]int
	// Copies counts the experts that are new to a rank, over all ranks; PeakCopiesPerRank
	// is the largest count of a single rank.
	Copies, PeakCopiesPerRank int
	// SkewBefore and SkewAfter are the values of EqualShareSkew without and with the plan.
	SkewBefore, SkewAfter float64
}

// EqualShareSkew returns the mean, over layers and demands, of the most loaded rank's
// tokens divided by the mean rank's; 1 is perfectly balanced. It fails with
// ErrShapeMismatch.
func EqualShareSkew(in EqualShareInput, experts [][][]int) (float64, error) {
	layers, err := newEqualShareLayers(in, experts)
	if err != nil {
		return 0, err
	}
	return meanSkew(layers), nil
}

// ImproveEqualShare applies the changes to the map whose gain exceeds their cost, a few
// experts at a time. It fails with ErrShapeMismatch if the map does not match the input.
func ImproveEqualShare(in EqualShareInput, current [][][]int, settings EqualShareSettings) (EqualSharePlan, error) {
	layers, err := newEqualShareLayers(in, current)
	if err != nil {
		return EqualSharePlan{}, err
	}
	plan := EqualSharePlan{SkewBefore: meanSkew(layers)}
	copiesByRank := make([]int, in.Ranks)
	search := equalShareSearch{in: in, settings: settings, copiesByRank: copiesByRank}
	search.run(layers)
	plan.SkewAfter = meanSkew(layers)
	for _, layer := range layers {
		plan.Experts = append(plan.Experts, layer.rankExperts)
		plan.Copies += layer.copies
	}
	plan.PeakCopiesPerRank = slices.Max(copiesByRank)
	return plan, nil
}

func meanSkew(layers []*equalShareLayer) float64 {
	sum := 0.0
	for _, layer := range layers {
		sum += layer.skew()
	}
	return sum / float64(len(layers))
}
