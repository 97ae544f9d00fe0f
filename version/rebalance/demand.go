package rebalance

import (
	"math"
	"time"
)

const (
	// demandKeep is how long what was chosen is kept.
	demandKeep = 3 * time.Second
	// sliceTime is the time that is counted together.
	sliceTime = 100 * time.Millisecond
	// recentSlices are compared with those before to see a shift.
	recentSlices = 2
)

// slice is what was chosen within one sliceTime, by layer and expert.
type slice struct {
	began  time.Time
	chosen []float64
	total  float64
}

// demand follows which experts are chosen.
type demand struct {
	layers, experts int
	policy          Policy
	slices          []slice
}

func newDemand(layers, experts int, policy Policy) *demand {
	return &demand{layers: layers, experts: experts, policy: policy}
}

// add takes in counts of some experts, from the place first on.
func (d *demand) add(first int, levels []byte, now time.Time) {
	if first < 0 || first+len(levels) > d.layers*d.experts {
		return
	}
	last := len(d.slices) - 1
	if last < 0 || now.Sub(d.slices[last].began) >= sliceTime {
		d.forget(now)
		d.slices = append(d.slices, slice{began: now, chosen: make([]float64, d.layers*d.experts)})
		last = len(d.slices) - 1
	}
	s := &d.slices[last]
	for at, level := range levels {
		count := countOf(level)
		s.chosen[first+at] += count
		s.total += count
	}
}

// forget drops what is old, and what was chosen before a shift.
func (d *demand) forget(now time.Time) {
	for len(d.slices) > 0 && now.Sub(d.slices[0].began) > demandKeep {
		d.slices = d.slices[1:]
	}
	if d.policy.Shift <= 0 || len(d.slices) < 2*recentSlices {
		return
	}
	recent := d.sum(d.slices[len(d.slices)-recentSlices:], now)
	before := d.sum(d.slices[:len(d.slices)-recentSlices], now)
	if d.distance(recent, before) > d.policy.Shift {
		d.slices = d.slices[len(d.slices)-recentSlices:]
	}
}

// sum adds slices up, the older ones with less weight.
func (d *demand) sum(slices []slice, now time.Time) []float64 {
	out := make([]float64, d.layers*d.experts)
	for _, s := range slices {
		weight := math.Exp2(-float64(now.Sub(s.began)) / float64(d.policy.HalfLife))
		for at, count := range s.chosen {
			out[at] += weight * count
		}
	}
	return out
}

// distance is the part of what is chosen that differs, over all layers.
func (d *demand) distance(a, b []float64) float64 {
	totalA, totalB := 0.0, 0.0
	for at := range a {
		totalA += a[at]
		totalB += b[at]
	}
	if totalA == 0 || totalB == 0 {
		return 0
	}
	sum := 0.0
	for at := range a {
		sum += math.Abs(a[at]/totalA - b[at]/totalB)
	}
	return sum / 2
}

const (
	// searchSize is the number of experts of all layers, times slices, that a
	// decision looks at; more take an agent too long.
	searchSize = 19200
	// slicesLeast is the least number of slices.
	slicesLeast = 2
)

// slicesUsed is how many slices a decision looks at.
func (d *demand) slicesUsed() int {
	return min(max(searchSize/max(d.layers*d.experts, 1), slicesLeast), d.policy.Slices)
}

// loads returns what was chosen lately, slice after slice, by layer and expert,
// with the weight of each slice. A map that is even under each of them bears the
// changes from slice to slice that one for their sum does not.
func (d *demand) loads(now time.Time) (loads [][][]float64, weights []float64) {
	first := max(0, len(d.slices)-d.slicesUsed())
	for _, s := range d.slices[first:] {
		if s.total == 0 {
			continue
		}
		one := make([][]float64, d.layers)
		for layer := range one {
			one[layer] = s.chosen[layer*d.experts : (layer+1)*d.experts]
		}
		loads = append(loads, one)
		weights = append(weights, math.Exp2(-float64(now.Sub(s.began))/float64(d.policy.HalfLife)))
	}
	return loads, weights
}
