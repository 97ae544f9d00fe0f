package placement

import "slices"

const (
	// boundPrecision is the absolute precision of LowerBound.
	boundPrecision = 1e-4
	// maxBound is the skew at which LowerBound stops raising the upper end of its search.
	maxBound = 1 << 10
)

// LowerBound returns a lower bound of a layer's skew that holds for any placement.
// At skew x no rank takes more than x times its share by speed, so an expert needs
// at least as many replicas as it takes of the fastest ranks to carry its load, and
// the replicas of all experts must fit into the slots. No skew is below 1.
func LowerBound(loads, speeds []float64, slots []int) float64 {
	ideal := idealTime(loads, speeds)
	totalSlots := 0
	var fastest []float64
	for rank, speed := range speeds {
		if speed > 0 {
			fastest = append(fastest, speed)
			totalSlots += slots[rank]
		}
	}
	slices.SortFunc(fastest, func(a, b float64) int {
		switch {
		case a > b:
			return -1
		case a < b:
			return 1
		default:
			return 0
		}
	})
	low, high := 1.0, 1.0
	for high < maxBound && replicasNeeded(loads, fastest, high*ideal) > totalSlots {
		low, high = high, high*2
	}
	for high-low > boundPrecision {
		mid := (low + high) / 2
		if replicasNeeded(loads, fastest, mid*ideal) > totalSlots {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// replicasNeeded returns a lower bound on the number of replicas that are needed for
// every rank to finish within the time limit. speeds are in descending order. If an expert
// is too heavy for all ranks together, it returns a number above any slot count.
func replicasNeeded(loads, speeds []float64, limit float64) int {
	needed := 0
	for _, load := range loads {
		remaining := load
		for _, speed := range speeds {
			needed++
			remaining -= speed * limit
			if remaining <= 0 {
				break
			}
		}
		if remaining > 0 {
			return 1 << 30
		}
	}
	return needed
}
