package placement

import (
	"math"
	"slices"
)

// fits reports whether the dimensions of the input, and of the map unless it is nil,
// match.
func (in *Input) fits(current *Map) bool {
	if len(in.Slots) != len(in.Loads) {
		return false
	}
	for _, slots := range in.Slots {
		if len(slots) != len(in.Speeds) {
			return false
		}
	}
	if current == nil {
		return true
	}
	if len(current.Layers) != len(in.Loads) {
		return false
	}
	for layer, experts := range current.Layers {
		if len(experts) != len(in.Loads[layer]) || !experts.ranksWithin(len(in.Speeds)) {
			return false
		}
	}
	return true
}

// ranksWithin reports whether all ranks are in [0, ranks).
func (l Layer) ranksWithin(ranks int) bool {
	for _, replicas := range l {
		for _, replica := range replicas {
			if replica.Rank < 0 || replica.Rank >= ranks {
				return false
			}
		}
	}
	return true
}

// shareTolerance is the permitted deviation of the sum of an expert's shares from 1.
const shareTolerance = 1e-6

// Valid reports whether the map can be used: every expert has a replica, no replica
// is on a lost rank, no rank holds two replicas of an expert, the shares of each
// expert add up to 1, and no rank exceeds its slots.
func (m *Map) Valid(in Input) bool {
	if !in.fits(m) {
		return false
	}
	for layer, experts := range m.Layers {
		used := make([]int, len(in.Speeds))
		for _, replicas := range experts {
			if !replicasValid(replicas, in.Speeds, used) {
				return false
			}
		}
		for rank, count := range used {
			if count > in.Slots[layer][rank] {
				return false
			}
		}
	}
	return true
}

// replicasValid validates the replicas of one expert and adds them to the used slots
// of their ranks.
func replicasValid(replicas []Replica, speeds []float64, used []int) bool {
	total := 0.0
	seen := map[int]bool{}
	for _, replica := range replicas {
		if speeds[replica.Rank] <= 0 || seen[replica.Rank] || replica.Share < 0 {
			return false
		}
		seen[replica.Rank] = true
		total += replica.Share
		used[replica.Rank]++
	}
	return math.Abs(total-1) <= shareTolerance
}

// Times returns each rank's time by layer under the given loads and speeds.
func (m *Map) Times(loads [][]float64, speeds []float64) [][]float64 {
	times := make([][]float64, len(m.Layers))
	for layer, experts := range m.Layers {
		times[layer] = make([]float64, len(speeds))
		for expert, replicas := range experts {
			for _, replica := range replicas {
				if speeds[replica.Rank] > 0 {
					times[layer][replica.Rank] += loads[layer][expert] * replica.Share / speeds[replica.Rank]
				}
			}
		}
	}
	return times
}

// Skew returns the skews of a step under the given loads and speeds.
func (m *Map) Skew(loads [][]float64, speeds []float64) Skew {
	total := make([]float64, len(speeds))
	slowest, ideal := 0.0, 0.0
	for layer, times := range m.Times(loads, speeds) {
		ideal += idealTime(loads[layer], speeds)
		slowest += slices.Max(times)
		for rank, t := range times {
			total[rank] += t
		}
	}
	live, sum := 0.0, 0.0
	for rank, t := range total {
		if speeds[rank] > 0 {
			live++
			sum += t
		}
	}
	if sum == 0 || ideal == 0 {
		return Skew{Step: 1, Barrier: 1}
	}
	return Skew{Step: slices.Max(total) * live / sum, Barrier: slowest / ideal}
}
