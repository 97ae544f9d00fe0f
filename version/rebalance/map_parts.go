package rebalance

import (
	"fmt"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// MapPart holds a part of a map: the experts of consecutive ranks of consecutive layers.
type MapPart struct {
	// Number is the number of the map, Layers the number of its layers and Ranks that of
	// its ranks.
	Number uint64 `cbor:"1,keyasint"`
	Layers int    `cbor:"2,keyasint"`
	Ranks  int    `cbor:"5,keyasint"`
	// FirstLayer is the index of the first layer in Experts, FirstRank that of the first
	// rank in each layer. Experts holds the experts by layer and rank.
	FirstLayer int       `cbor:"3,keyasint"`
	FirstRank  int       `cbor:"6,keyasint,omitempty"`
	Experts    [][][]int `cbor:"4,keyasint"`
	// Sum is the checksum of the contents of the map; 0 if the sender does not state it.
	Sum uint64 `cbor:"7,keyasint,omitempty"`
}

const (
	// expertBytes is the maximum encoded size of an expert in a part, and of a number
	// in Delta.Changes; rankBytes is the overhead of the list of each rank.
	expertBytes = 3
	rankBytes   = 2
	// maxPartSize bounds the encoded experts of a part, in bytes.
	maxPartSize = maxDatagramSize - 2*reservedBytes
)

// encodedSize returns the maximum encoded size of the experts of some ranks, in bytes.
func encodedSize(ranks [][]int) int {
	size := 0
	for _, experts := range ranks {
		size += rankBytes + expertBytes*len(experts)
	}
	return size
}

// Parts splits a map into parts that each fit into a datagram: of several layers if they
// are small, of some ranks of one layer otherwise.
func (m *Map) Parts() []MapPart {
	var parts []MapPart
	sum := m.Sum()
	size := maxPartSize // makes the first layer start a part
	for layer, ranks := range m.Experts {
		layerSize := encodedSize(ranks)
		if layerSize > maxPartSize {
			parts = append(parts, m.layerParts(layer, sum)...)
			size = maxPartSize
			continue
		}
		if size+layerSize > maxPartSize {
			parts = append(parts, m.newPart(layer, 0, sum))
			size = 0
		}
		last := &parts[len(parts)-1]
		last.Experts = append(last.Experts, ranks)
		size += layerSize
	}
	return parts
}

func (m *Map) newPart(layer, rank int, sum uint64) MapPart {
	return MapPart{
		Number: m.ID.Number(), Layers: len(m.Experts), Ranks: len(m.Experts[layer]), FirstLayer: layer, FirstRank: rank, Sum: sum,
	}
}

// layerParts splits one layer into parts of consecutive ranks. sum is the checksum of the map.
func (m *Map) layerParts(layer int, sum uint64) []MapPart {
	var parts []MapPart
	first, size := 0, 0
	ranks := m.Experts[layer]
	for rank := range ranks {
		rankSize := encodedSize(ranks[rank : rank+1])
		if size > 0 && size+rankSize > maxPartSize {
			part := m.newPart(layer, first, sum)
			part.Experts = [][][]int{ranks[first:rank]}
			parts = append(parts, part)
			first, size = rank, 0
		}
		size += rankSize
	}
	part := m.newPart(layer, first, sum)
	part.Experts = [][][]int{ranks[first:]}
	return append(parts, part)
}

// MapShapeError reports a part or a delta whose map has another number of ranks than the
// group.
type MapShapeError struct {
	// Number is the number of the map, Ranks its number of ranks, GroupSize that of the
	// group.
	Number           uint64
	Ranks, GroupSize int
}

// Error implements error.
func (e *MapShapeError) Error() string {
	return fmt.Sprintf("map %d has %d ranks, the group has %d", e.Number, e.Ranks, e.GroupSize)
}

// MapConflictError reports a map whose contents differ from those that were received under the
// same number before. No rank may use either.
type MapConflictError struct{ Number uint64 }

// Error implements error.
func (e *MapConflictError) Error() string {
	return fmt.Sprintf("two maps with different contents have the number %d", e.Number)
}

// MapAssembler reconstructs a map from its parts or from a delta.
type MapAssembler struct {
	// size is the number of ranks of the group.
	size    int
	number  uint64
	experts [][][]int
	// sum is the checksum of the contents as their sender states it, 0 if it does not.
	sum uint64
	// conflicting is set if maps with different contents were received under number.
	conflicting bool
	// missing is the number of ranks, over all layers, that have not been received.
	missing int
	// complete holds the latest complete maps, to which deltas are applied. A map that
	// was given up does not become the base of the next one, so that one is not enough.
	complete []*Map
	// delta holds the parts of the newest delta, by their index; deltaMissing is the
	// number of those that have not been received.
	delta        []*Delta
	deltaNumber  uint64
	deltaMissing int
}

// NewMapAssembler returns an assembler of the maps of a group with the given number of
// ranks.
func NewMapAssembler(size int) MapAssembler { return MapAssembler{size: size} }

// maxCompleteMaps is the number of complete maps that an assembler keeps.
const maxCompleteMaps = 4

// Knows reports whether deltas from the map with the given number can be applied. The
// initial map of a group is always known.
func (a *MapAssembler) Knows(number uint64) bool { return number == 0 || a.completeMap(number) != nil }

// completeMap returns the complete map with the given number; nil if it is not known.
func (a *MapAssembler) completeMap(number uint64) *Map {
	for _, m := range a.complete {
		if m.ID.Number() == number {
			return m
		}
	}
	return nil
}

// Remember adds a complete map that was not received, such as one that a planner of the
// same agent made.
func (a *MapAssembler) Remember(m *Map) {
	if a.Knows(m.ID.Number()) {
		return
	}
	if len(a.complete) == maxCompleteMaps {
		a.complete = a.complete[1:]
	}
	a.complete = append(a.complete, m)
}

// AddDelta processes a delta, or a part of one. It ignores deltas whose base it does not
// have, and those of older or already complete maps. It fails with MapShapeError or
// MapConflictError.
func (a *MapAssembler) AddDelta(delta Delta) error {
	if delta.Ranks != a.size {
		return &MapShapeError{Number: delta.Number, Ranks: delta.Ranks, GroupSize: a.size}
	}
	if delta.Number < a.number {
		return nil
	}
	if delta.Number == a.number {
		if err := a.checkSum(delta.Sum); err != nil || a.missing == 0 {
			return err
		}
	}
	whole, complete := a.joinDelta(delta)
	if !complete {
		return nil
	}
	if next, ok := whole.Apply(a.completeMap(whole.Base)); ok {
		a.number, a.experts, a.missing = whole.Number, next.Experts, 0
		a.sum, a.conflicting = whole.Sum, false
		a.Remember(next)
	}
	return nil
}

// checkSum compares the checksum of contents that were received under the current number with
// that of the contents before. It fails with MapConflictError.
func (a *MapAssembler) checkSum(sum uint64) error {
	if a.sum == 0 {
		a.sum = sum
	}
	if sum != 0 && sum != a.sum {
		a.conflicting = true
	}
	if a.conflicting {
		return &MapConflictError{Number: a.number}
	}
	return nil
}

// maxDeltaParts bounds the number of parts of a received delta.
const maxDeltaParts = 256

// joinDelta returns the whole delta once all of its parts have been received. It drops the
// parts of an older delta.
func (a *MapAssembler) joinDelta(part Delta) (whole Delta, complete bool) {
	if part.Parts <= 1 {
		return part, true
	}
	if part.Parts > maxDeltaParts || part.Part < 0 || part.Part >= part.Parts || part.Number < a.deltaNumber {
		return Delta{}, false
	}
	if part.Number > a.deltaNumber || len(a.delta) != part.Parts {
		a.deltaNumber, a.delta, a.deltaMissing = part.Number, make([]*Delta, part.Parts), part.Parts
	}
	if a.delta[part.Part] == nil {
		a.delta[part.Part] = &part
		a.deltaMissing--
	}
	if a.deltaMissing > 0 {
		return Delta{}, false
	}
	whole = part
	whole.Part, whole.Parts, whole.Changes = 0, 0, nil
	for _, received := range a.delta {
		whole.Changes = append(whole.Changes, received.Changes...)
	}
	return whole, true
}

// AddPart processes a part. A part of a newer map, or one with another number of layers,
// discards the parts received before. A part of an older map, or one that is out of
// range, is ignored. It fails with MapShapeError or MapConflictError.
func (a *MapAssembler) AddPart(part MapPart) error {
	if part.Ranks != a.size {
		return &MapShapeError{Number: part.Number, Ranks: part.Ranks, GroupSize: a.size}
	}
	if part.Number < a.number || !part.inRange() {
		return nil
	}
	if part.Number == a.number {
		if err := a.checkSum(part.Sum); err != nil || a.missing == 0 {
			return err
		}
	}
	if part.Number > a.number || len(a.experts) != part.Layers {
		a.number, a.experts, a.missing = part.Number, make([][][]int, part.Layers), part.Layers*a.size
		a.sum, a.conflicting = part.Sum, false
		for layer := range a.experts {
			a.experts[layer] = make([][]int, a.size)
		}
	}
	for at, ranks := range part.Experts {
		layer := a.experts[part.FirstLayer+at]
		for rank, experts := range ranks {
			if layer[part.FirstRank+rank] == nil {
				layer[part.FirstRank+rank] = append([]int{}, experts...)
				a.missing--
			}
		}
	}
	if a.missing > 0 {
		return nil
	}
	whole := &Map{ID: expertmap.MapIDFromNumber(a.number), Experts: a.experts}
	if err := a.checkSum(whole.Sum()); err != nil {
		return err
	}
	a.Remember(whole)
	return nil
}

// maxLayers bounds the number of layers of a received map.
const maxLayers = 4096

// inRange reports whether the part lies within its map. The differences cannot overflow, as the
// sums could.
func (p *MapPart) inRange() bool {
	if p.Layers <= 0 || p.Layers > maxLayers || p.FirstLayer < 0 || p.FirstLayer > p.Layers-len(p.Experts) || p.FirstRank < 0 {
		return false
	}
	for _, ranks := range p.Experts {
		if p.FirstRank > p.Ranks-len(ranks) {
			return false
		}
	}
	return true
}

// Map returns the map with the given number once it is complete.
func (a *MapAssembler) Map(number uint64) (*Map, bool) {
	if number == 0 || a.number != number || a.missing > 0 || a.conflicting {
		return nil, false
	}
	return &Map{ID: expertmap.MapIDFromNumber(number), Experts: a.experts}, true
}
