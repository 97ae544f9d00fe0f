package placement

import "slices"

// EvenInput is what a decision about a group depends on whose ranks share an
// expert's tokens evenly among those that hold it.
type EvenInput struct {
	// Loads holds the tokens by layer and expert, several times over: a map is
	// wanted that is even under each of these demands.
	Loads [][][]float64
	// Weights tell how much each demand counts; nil for all alike.
	Weights []float64
	// Paces tell how much longer than usual each rank takes for a token; nil for 1.
	Paces []float64
	// Ranks is the size of the group, Slots how many experts of a layer fit on a
	// rank, and NewPerLayer how many of them may be new to it in one map.
	Ranks, Slots, NewPerLayer int
}

// EvenSettings tune ImproveEven.
type EvenSettings struct {
	// CopyCost is the least fall of a layer's skew that each copy must bring.
	CopyCost float64
	// NewPerRank bounds the experts that a rank copies over all layers: ranks copy
	// at once, each one expert after the other.
	NewPerRank int
	// MaxSteps bounds the changes of one decision.
	MaxSteps int
}

// EvenPlan is a decision.
type EvenPlan struct {
	// Experts holds the experts of the next map by layer and rank.
	Experts [][][]int
	// Copies counts the experts that are new to a rank, CopiesMost those of the
	// rank with the most.
	Copies, CopiesMost int
	// Before and After are the means over the layers and demands of the most loaded
	// rank's tokens over the mean rank's.
	Before, After float64
}

// EvenSkew is the mean over the layers and demands of the most loaded rank's tokens over the
// mean rank's; 1 is even. It fails with ErrShape.
func EvenSkew(in EvenInput, experts [][][]int) (float64, error) {
	layers, err := newEvenLayers(in, experts)
	if err != nil {
		return 0, err
	}
	return meanSkew(layers), nil
}

// ImproveEven changes the map where that pays, a few experts at a time. It fails
// with ErrShape if the map does not fit the input.
func ImproveEven(in EvenInput, current [][][]int, settings EvenSettings) (EvenPlan, error) {
	layers, err := newEvenLayers(in, current)
	if err != nil {
		return EvenPlan{}, err
	}
	plan := EvenPlan{Before: meanSkew(layers)}
	newOnRank := make([]int, in.Ranks)
	search := evenSearch{in: in, settings: settings, newOnRank: newOnRank}
	search.run(layers)
	plan.After = meanSkew(layers)
	for _, layer := range layers {
		plan.Experts = append(plan.Experts, layer.held)
		plan.Copies += layer.copies
	}
	plan.CopiesMost = slices.Max(newOnRank)
	return plan, nil
}

func meanSkew(layers []*evenLayer) float64 {
	sum := 0.0
	for _, layer := range layers {
		sum += layer.skew()
	}
	return sum / float64(len(layers))
}
