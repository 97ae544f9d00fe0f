package rebalance

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// Delta is a map as the difference to another one. It is as small as the
// difference, where Parts are as large as the map.
type Delta struct {
	// Number is the map's, Base that of the map it changes; 0 is the map that a
	// group starts with.
	Number uint64 `cbor:"1,keyasint"`
	Base   uint64 `cbor:"2,keyasint"`
	// Layers, Experts and Ranks are the shape of both: Experts by layer.
	Layers  int      `cbor:"3,keyasint"`
	Experts int      `cbor:"4,keyasint"`
	Ranks   int      `cbor:"5,keyasint"`
	Changes []Change `cbor:"6,keyasint"`
	// Sum is the checksum of the map's contents.
	Sum uint64 `cbor:"7,keyasint"`
}

// Change is what one rank holds of one layer.
type Change struct {
	Layer   int   `cbor:"1,keyasint"`
	Rank    int   `cbor:"2,keyasint"`
	Experts []int `cbor:"3,keyasint"`
}

// Sum returns a checksum of the map's contents.
func (m *Map) Sum() uint64 {
	var buffer []byte
	for _, ranks := range m.Experts {
		for _, experts := range ranks {
			buffer = binary.AppendUvarint(buffer, uint64(len(experts)))
			for _, expert := range experts {
				buffer = binary.AppendUvarint(buffer, uint64(expert))
			}
		}
	}
	return xxhash.Sum64(buffer)
}

// InTurn returns the map that a group starts with: experts on ranks in turn.
func InTurn(layers, experts, ranks int) *Map {
	m := &Map{Experts: make([][][]int, layers)}
	for layer := range m.Experts {
		m.Experts[layer] = make([][]int, ranks)
		for expert := range experts {
			rank := expert % ranks
			m.Experts[layer][rank] = append(m.Experts[layer][rank], expert)
		}
	}
	return m
}

// DeltaOf returns the difference from a base map of the same shape, with experts
// by layer.
func DeltaOf(base, next *Map, experts int) Delta {
	delta := Delta{
		Number: next.ID.Number(), Base: base.ID.Number(), Layers: len(next.Experts),
		Experts: experts, Ranks: len(next.Experts[0]), Sum: next.Sum(),
	}
	for layer, ranks := range next.Experts {
		for rank, held := range ranks {
			if !slices.Equal(held, base.Experts[layer][rank]) {
				delta.Changes = append(delta.Changes, Change{Layer: layer, Rank: rank, Experts: held})
			}
		}
	}
	return delta
}

// Apply returns the map that a delta makes of its base, false if the base is
// another or the result is not what the planner has.
func (d *Delta) Apply(base *Map) (*Map, bool) {
	if d.Base == 0 && d.sane() {
		base = InTurn(d.Layers, d.Experts, d.Ranks)
	}
	if base == nil || base.ID.Number() != d.Base || len(base.Experts) != d.Layers {
		return nil, false
	}
	next := &Map{ID: expertmap.MapOf(d.Number), Experts: make([][][]int, d.Layers)}
	for layer, ranks := range base.Experts {
		next.Experts[layer] = slices.Clone(ranks)
	}
	for _, change := range d.Changes {
		if change.Layer < 0 || change.Layer >= d.Layers || change.Rank < 0 || change.Rank >= len(next.Experts[change.Layer]) {
			return nil, false
		}
		next.Experts[change.Layer][change.Rank] = change.Experts
	}
	return next, next.Sum() == d.Sum
}

// mostExperts bounds the experts of a layer and the ranks of a group.
const mostExperts = 1 << 16

func (d *Delta) sane() bool {
	return d.Layers > 0 && d.Layers <= mostLayers && d.Experts > 0 && d.Experts <= mostExperts && d.Ranks > 0 && d.Ranks <= mostExperts
}
