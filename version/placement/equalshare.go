package placement

import "slices"

// EvenInput holds what a decision depends on for a group in which the replicas of
// an expert take equal shares of its tokens.
type EvenInput struct {
	// Loads holds the tokens by demand, layer and expert. The map is optimised for
	// balance under every one of these demands.
	Loads [][][]float64
	// Weights are the weights of the demands; nil weighs all equally.
	Weights []float64
	// Paces holds each rank's time per token relative to its usual one; nil means 1
	// for all ranks.
	Paces []float64
	// Ranks is the size of the group, Slots the number of experts of a layer that
	// fit on a rank, and NewPerLayer how many of them one map may add to a rank.
	Ranks, Slots, NewPerLayer int
}

// EvenSettings tune ImproveEven.
type EvenSettings struct {
	// CopyCost is the minimum reduction of a layer's skew that each copy must bring.
	CopyCost float64
	// NewPerRank bounds the experts that a rank copies over all layers. Ranks copy
	// in parallel, and each rank copies one expert at a time.
	NewPerRank int
	// MaxSteps bounds the changes per decision.
	MaxSteps int
}

// EvenPlan is the result of a decision.
type EvenPlan struct {
	// Experts holds the experts of the next map by layer and rank.
	Experts [][][]int
	// Copies counts the experts that are new to a rank, over all ranks; CopiesMost
	// is the largest count of a single rank.
	Copies, CopiesMost int
	// Before and After are the values of EvenSkew without and with the plan.
	Before, After float64
}

// EvenSkew returns the mean, over layers and demands, of the most loaded rank's
// tokens divided by the mean rank's; 1 is perfectly balanced. It fails with
// ErrShape.
func EvenSkew(in EvenInput, experts [][][]int) (float64, error) {
	layers, err := newEqualShareLayers(in, experts)
	if err != nil {
		return 0, err
	}
	return meanSkew(layers), nil
}

// ImproveEven applies the changes to the map whose gain exceeds their cost, a few
// experts at a time. It fails with ErrShape if the map does not match the input.
func ImproveEven(in EvenInput, current [][][]int, settings EvenSettings) (EvenPlan, error) {
	layers, err := newEqualShareLayers(in, current)
	if err != nil {
		return EvenPlan{}, err
	}
	plan := EvenPlan{Before: meanSkew(layers)}
	copiesByRank := make([]int, in.Ranks)
	search := equalShareSearch{in: in, settings: settings, copiesByRank: copiesByRank}
	search.run(layers)
	plan.After = meanSkew(layers)
	for _, layer := range layers {
		plan.Experts = append(plan.Experts, layer.rankExperts)
		plan.Copies += layer.copies
	}
	plan.CopiesMost = slices.Max(copiesByRank)
	return plan, nil
}

func meanSkew(layers []*equalShareLayer) float64 {
	sum := 0.0
	for _, layer := range layers {
		sum += layer.skew()
	}
	return sum / float64(len(layers))
}
