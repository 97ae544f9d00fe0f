package rebalance

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// Delta encodes a map as the difference from another map. Its size depends on the
// number of changes, whereas that of Parts depends on the size of the map.
type Delta struct {
	// Number is the number of the map, Base that of the map to which the changes
	// apply; 0 is the initial map of a group.
	Number uint64 `cbor:"1,keyasint"`
	Base   uint64 `cbor:"2,keyasint"`
	// Layers, Experts (per layer) and Ranks are the shape of both maps.
	Layers  int `cbor:"3,keyasint"`
	Experts int `cbor:"4,keyasint"`
	Ranks   int `cbor:"5,keyasint"`
	// Changes holds four numbers per change: the layer, the rank, the expert
	// removed from the rank and the expert added to it, or -1 for none.
	Changes []int `cbor:"6,keyasint"`
	// Sum is the checksum of the contents of the map.
	Sum uint64 `cbor:"7,keyasint"`
	// Parts is the number of datagrams that the changes are split into, Part the index of
	// this one; 0 parts mean that the delta is whole.
	Part  int `cbor:"8,keyasint,omitempty"`
	Parts int `cbor:"9,keyasint,omitempty"`
}

// maxChangesPerPart is the number of changes that fit into one datagram.
const maxChangesPerPart = maxPartSize / (expertBytes * numbersPerChange)

// Split returns the parts of a whole delta, each of which fits into a datagram.
func (d *Delta) Split() []Delta {
	const numbersPerPart = maxChangesPerPart * numbersPerChange
	count := (len(d.Changes) + numbersPerPart - 1) / numbersPerPart
	if count <= 1 {
		return []Delta{*d}
	}
	parts := make([]Delta, count)
	for at := range parts {
		first := at * numbersPerPart
		parts[at] = *d
		parts[at].Part, parts[at].Parts = at, count
		parts[at].Changes = d.Changes[first:min(first+numbersPerPart, len(d.Changes))]
	}
	return parts
}

// maxChangesSize returns the maximum encoded size of the delta's changes in bytes.
func (d *Delta) maxChangesSize() int { return expertBytes * len(d.Changes) }

const (
	// numbersPerChange is how many numbers of Delta.Changes describe one change.
	numbersPerChange = 4
	// noExpert marks a change that only removes or only adds an expert.
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

// InitialMap returns the initial map of a group: the experts of each layer assigned to
// the ranks round robin.
func InitialMap(layers, experts, ranks int) *Map {
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

// NewDelta returns the difference between base and next, two maps of the same
// shape. experts is the number of experts per layer.
func NewDelta(base, next *Map, experts int) Delta {
	delta := Delta{
		Number: next.ID.Number(), Base: base.ID.Number(), Layers: len(next.Experts),
		Experts: experts, Ranks: len(next.Experts[0]), Sum: next.Sum(),
	}
	for layer, ranks := range next.Experts {
		for rank, held := range ranks {
			removed := difference(base.Experts[layer][rank], held)
			added := difference(held, base.Experts[layer][rank])
			for i := range max(len(removed), len(added)) {
				delta.Changes = append(delta.Changes, layer, rank, expertAt(removed, i), expertAt(added, i))
			}
		}
	}
	return delta
}

// difference returns the experts of a that are not in b.
func difference(a, b []int) []int {
	var only []int
	for _, expert := range a {
		if !slices.Contains(b, expert) {
			only = append(only, expert)
		}
	}
	return only
}

// expertAt returns the expert at index i, or noExpert past the end.
func expertAt(experts []int, i int) int {
	if i < len(experts) {
		return experts[i]
	}
	return noExpert
}

// Apply returns the map that results from applying the delta to base. It returns
// false if base is not the delta's base, if a change is out of range, or if the
// checksum shows that the result differs from the planner's map; the map must not
// be used then. If the delta's base is the initial map, base may be nil.
func (d *Delta) Apply(base *Map) (*Map, bool) {
	if d.Base == 0 && d.hasValidShape() {
		base = InitialMap(d.Layers, d.Experts, d.Ranks)
	}
	if base == nil || base.ID.Number() != d.Base || len(base.Experts) != d.Layers {
		return nil, false
	}
	next := &Map{ID: expertmap.MapIDFromNumber(d.Number), Experts: make([][][]int, d.Layers)}
	for layer, ranks := range base.Experts {
		next.Experts[layer] = slices.Clone(ranks)
	}
	for i := 0; i+numbersPerChange <= len(d.Changes); i += numbersPerChange {
		layer, rank, removed, added := d.Changes[i], d.Changes[i+1], d.Changes[i+2], d.Changes[i+3]
		if layer < 0 || layer >= d.Layers || rank < 0 || rank >= len(next.Experts[layer]) {
			return nil, false
		}
		held := slices.DeleteFunc(slices.Clone(next.Experts[layer][rank]), func(expert int) bool { return expert == removed })
		if added != noExpert {
			held = append(held, added)
		}
		slices.Sort(held)
		next.Experts[layer][rank] = held
	}
	return next, next.Sum() == d.Sum
}

const (
	// maxExpertsOrRanks is the maximum number of experts per layer, and of ranks, in a
	// received delta.
	maxExpertsOrRanks = 1 << 16
	// maxExpertsOfMap and maxListsOfMap are the maximum numbers of experts and of lists of
	// experts in a received delta. Both maxima per layer together would take gigabytes.
	maxExpertsOfMap = 1 << 20
	maxListsOfMap   = 1 << 20
)

func (d *Delta) hasValidShape() bool {
	return d.Layers > 0 && d.Layers <= maxLayers && d.Experts > 0 && d.Experts <= maxExpertsOrRanks && d.Ranks > 0 && d.Ranks <= maxExpertsOrRanks &&
		d.Layers*d.Experts <= maxExpertsOfMap && d.Layers*d.Ranks <= maxListsOfMap
}
