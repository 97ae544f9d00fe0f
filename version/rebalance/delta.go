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
	Layers  int `cbor:"3,keyasint"`
	Experts int `cbor:"4,keyasint"`
	Ranks   int `cbor:"5,keyasint"`
	// Changes holds four numbers a change: the layer, the rank, the expert that
	// leaves the rank and the one that comes to it, or -1 for none.
	Changes []int `cbor:"6,keyasint"`
	// Sum is the checksum of the map's contents.
	Sum uint64 `cbor:"7,keyasint"`
}

// size is the most bytes that the delta's changes take.
func (d *Delta) size() int { return expertBytes * len(d.Changes) }

const (
	// changeNumbers is how many numbers a change takes in a Delta.
	changeNumbers = 4
	// noExpert stands for none.
	noExpert = -1
)

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
			gone := missingFrom(held, base.Experts[layer][rank])
			come := missingFrom(base.Experts[layer][rank], held)
			for at := range max(len(gone), len(come)) {
				delta.Changes = append(delta.Changes, layer, rank, expertAt(gone, at), expertAt(come, at))
			}
		}
	}
	return delta
}

// missingFrom lists the experts of all that held lacks.
func missingFrom(held, all []int) []int {
	var missing []int
	for _, expert := range all {
		if !slices.Contains(held, expert) {
			missing = append(missing, expert)
		}
	}
	return missing
}

func expertAt(experts []int, at int) int {
	if at < len(experts) {
		return experts[at]
	}
	return noExpert
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
	for at := 0; at+changeNumbers <= len(d.Changes); at += changeNumbers {
		layer, rank, gone, come := d.Changes[at], d.Changes[at+1], d.Changes[at+2], d.Changes[at+3]
		if layer < 0 || layer >= d.Layers || rank < 0 || rank >= len(next.Experts[layer]) {
			return nil, false
		}
		held := slices.DeleteFunc(slices.Clone(next.Experts[layer][rank]), func(expert int) bool { return expert == gone })
		if come != noExpert {
			held = append(held, come)
		}
		slices.Sort(held)
		next.Experts[layer][rank] = held
	}
	return next, next.Sum() == d.Sum
}

// mostExperts bounds the experts of a layer and the ranks of a group.
const mostExperts = 1 << 16

func (d *Delta) sane() bool {
	return d.Layers > 0 && d.Layers <= mostLayers && d.Experts > 0 && d.Experts <= mostExperts && d.Ranks > 0 && d.Ranks <= mostExperts
}
