package rebalance

import (
	"math"
	"time"
)

const (
	// demandRetention is how long expert selections are kept.
	demandRetention = 3 * time.Second
	// sliceDuration is the length of a time slice.
	sliceDuration = 100 * time.Millisecond
	// recentSlices is the number of latest time slices that are compared with the
	// earlier ones to detect a shift in demand.
	recentSlices = 2
)

// timeSlice holds the expert selections counted within one sliceDuration.
type timeSlice struct {
	start time.Time
	// counts holds the selections of each expert, layer after layer.
	counts []float64
	total  float64
}

// demand tracks how often each expert is selected.
type demand struct {
	layers, experts int
	policy          Policy
	slices          []timeSlice
}

func newDemand(layers, experts int, policy Policy) *demand {
	return &demand{layers: layers, experts: experts, policy: policy}
}

// add adds the selections of consecutive experts, given as count levels. first is
// the index of the first expert among those of all layers, layer after layer.
func (d *demand) add(first int, levels []byte, now time.Time) {
	if first < 0 || first > d.layers*d.experts-len(levels) {
		return
	}
	last := len(d.slices) - 1
	if last < 0 || now.Sub(d.slices[last].start) >= sliceDuration {
		d.prune(now)
		d.slices = append(d.slices, timeSlice{start: now, counts: make([]float64, d.layers*d.experts)})
		last = len(d.slices) - 1
	}
	s := &d.slices[last]
	for i, level := range levels {
		count := countAtLevel(level)
		s.counts[first+i] += count
		s.total += count
	}
}

// prune drops time slices older than demandRetention, and those before a shift in
// demand.
func (d *demand) prune(now time.Time) {
	for len(d.slices) > 0 && now.Sub(d.slices[0].start) > demandRetention {
		d.slices = d.slices[1:]
	}
	if d.policy.ShiftThreshold <= 0 || len(d.slices) < 2*recentSlices {
		return
	}
	recent := d.weightedSum(d.slices[len(d.slices)-recentSlices:], now)
	earlier := d.weightedSum(d.slices[:len(d.slices)-recentSlices], now)
	if d.distance(recent, earlier) > d.policy.ShiftThreshold {
		d.slices = d.slices[len(d.slices)-recentSlices:]
	}
}

// weightedSum adds up time slices with exponentially decaying weights.
func (d *demand) weightedSum(slices []timeSlice, now time.Time) []float64 {
	out := make([]float64, d.layers*d.experts)
	for _, s := range slices {
		weight := math.Exp2(-float64(now.Sub(s.start)) / float64(d.policy.HalfLife))
		for i, count := range s.counts {
			out[i] += weight * count
		}
	}
	return out
}

// distance returns the total variation distance, from 0 to 1, between the
// distributions of selections over all experts of all layers.
func (d *demand) distance(a, b []float64) float64 {
	totalA, totalB := 0.0, 0.0
	for i := range a {
		totalA += a[i]
		totalB += b[i]
	}
	if totalA == 0 || totalB == 0 {
		return 0
	}
	sum := 0.0
	for i := range a {
		sum += math.Abs(a[i]/totalA - b[i]/totalB)
	}
	return sum / 2
}

const (
	// maxSearchSize bounds the number of experts of all layers times the number of
	// time slices that one decision considers; a larger search takes an agent too
	// long.
	maxSearchSize = 19200
	// minSlices is the least number of time slices that a decision considers,
	// unless Policy.MaxSlices is lower.
	minSlices = 2
)

// slicesConsidered returns how many time slices a decision considers.
func (d *demand) slicesConsidered() int {
	return min(max(maxSearchSize/max(d.layers*d.experts, 1), minSlices), d.policy.MaxSlices)
}

// loads returns the selections in each of the latest time slices, by layer and
// expert, and the weight of each slice. The slices are not added up: a map that is
// even under each of them stays even as demand varies from slice to slice, which a
// map that is even only under their sum does not.
func (d *demand) loads(now time.Time) (loads [][][]float64, weights []float64) {
	first := max(0, len(d.slices)-d.slicesConsidered())
	for _, s := range d.slices[first:] {
		if s.total == 0 {
			continue
		}
		load := make([][]float64, d.layers)
		for layer := range load {
			load[layer] = s.counts[layer*d.experts : (layer+1)*d.experts]
		}
		loads = append(loads, load)
		weights = append(weights, math.Exp2(-float64(now.Sub(s.start))/float64(d.policy.HalfLife)))
	}
	return loads, weights
}
