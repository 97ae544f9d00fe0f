package rebalance

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the time after which what was chosen weighs half.
	demandHalfLife = 600 * time.Millisecond
	// demandKeep is how long it is kept.
	demandKeep = 3 * time.Second
	// sliceTime is the time that is counted together.
	sliceTime = 100 * time.Millisecond
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
	slices          []slice
}

func newDemand(layers, experts int) *demand { return &demand{layers: layers, experts: experts} }

// add takes in what the requests of one rank chose.
func (d *demand) add(chosen []uint32, now time.Time) {
	if len(chosen) != d.layers*d.experts {
		return
	}
	last := len(d.slices) - 1
	if last < 0 || now.Sub(d.slices[last].began) >= sliceTime {
		d.slices = append(d.slices, slice{began: now, chosen: make([]float64, len(chosen))})
		last++
	}
	s := &d.slices[last]
	for at, count := range chosen {
		s.chosen[at] += float64(count)
		s.total += float64(count)
	}
	for len(d.slices) > 0 && now.Sub(d.slices[0].began) > demandKeep {
		d.slices = d.slices[1:]
	}
}

// loads returns the demand to expect by layer and expert; it returns false while
// nothing was chosen.
func (d *demand) loads(now time.Time) ([][]float64, bool) {
	out := make([][]float64, d.layers)
	for layer := range out {
		out[layer] = make([]float64, d.experts)
	}
	total := 0.0
	for _, s := range d.slices {
		weight := math.Exp2(-float64(now.Sub(s.began)) / float64(demandHalfLife))
		for at, count := range s.chosen {
			out[at/d.experts][at%d.experts] += weight * count
		}
		total += weight * s.total
	}
	return out, total > 0
}
