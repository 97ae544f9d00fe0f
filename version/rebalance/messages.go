package rebalance

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// maxDatagramSize is the size limit of a datagram in bytes. It is low enough that no
// link has to fragment a datagram; counts and maps are therefore sent in parts.
const maxDatagramSize = 1200

// Map is an expert map with its contents, by layer and rank.
type Map struct {
	ID      expertmap.MapID
	Experts [][][]int
}

// sort orders the experts of each rank, so that equal maps have equal contents.
func (m *Map) sort() {
	for _, ranks := range m.Experts {
		for _, experts := range ranks {
			slices.Sort(experts)
		}
	}
}

// Status is an agent's report to the planner on its rank.
type Status struct {
	Rank int `cbor:"3,keyasint"`
	Size int `cbor:"4,keyasint"`
	// AgentIncarnation is the incarnation of the agent.
	AgentIncarnation uint64 `cbor:"5,keyasint"`
	// Sequence increases with each status that an agent sends.
	Sequence uint64 `cbor:"6,keyasint"`
	// Running is the number of the map in use, Prepared that of the map that the
	// rank has copied, Armed that of the map that it is set to switch to; 0 for
	// none.
	Running  uint64 `cbor:"7,keyasint"`
	Prepared uint64 `cbor:"8,keyasint"`
	Armed    uint64 `cbor:"9,keyasint"`
	// Held holds the rank's experts by layer if the planner has asked for them.
	Held [][]int `cbor:"11,keyasint"`
	// Refused is the number of a map that the engine refuses to copy; 0 for none.
	Refused uint64 `cbor:"12,keyasint"`
	// Epoch is the highest map epoch known to the agent.
	Epoch uint64 `cbor:"14,keyasint,omitempty"`
	// Slowdown is the factor by which the rank is slower than usual; 1 is normal speed.
	Slowdown float64 `cbor:"13,keyasint,omitempty"`
}

// Counts is how often the requests of a rank have recently selected some of the
// experts. Lost counts are not sent again.
type Counts struct {
	Rank int `cbor:"3,keyasint"`
	// Offset is the index of the first of Levels among the experts of all layers,
	// layer after layer.
	Offset int `cbor:"4,keyasint"`
	// Levels holds the logarithms of the counts in steps of a twelfth of an octave.
	Levels []byte `cbor:"5,keyasint"`
}

// Directive is an instruction of the planner to the agents of its group.
type Directive struct {
	// Planner is the rank of the planner, AgentIncarnation the incarnation of its agent.
	Planner          int    `cbor:"3,keyasint"`
	AgentIncarnation uint64 `cbor:"4,keyasint"`
	// Hosts holds the IPv4 address of each rank's agent in four bytes, all zero if
	// the planner does not know it.
	Hosts []byte `cbor:"5,keyasint"`
	// Prepare is the number of the map to copy; 0 for none. The contents are sent
	// separately, as parts or as a delta.
	Prepare uint64 `cbor:"6,keyasint"`
	// RequestHeld requests Status.Held.
	RequestHeld bool `cbor:"7,keyasint"`
}

// MapPart holds consecutive layers of a map.
type MapPart struct {
	// Number is the number of the map, Layers the number of its layers.
	Number uint64 `cbor:"1,keyasint"`
	Layers int    `cbor:"2,keyasint"`
	// FirstLayer is the index of the first layer in Experts. Experts holds the experts
	// by layer and rank.
	FirstLayer int       `cbor:"3,keyasint"`
	Experts    [][][]int `cbor:"4,keyasint"`
}

// Envelope is the contents of one datagram. Exactly one field besides Group is set,
// except that counts accompany a status, and a delta a directive, if both fit.
type Envelope struct {
	// Group is the sender's group. Agents of other groups ignore the datagram: maps,
	// steps and ranks have the same numbers in all groups.
	Group            expertmap.GroupID  `cbor:"7,keyasint"`
	Status           *Status            `cbor:"1,keyasint,omitempty"`
	Directive        *Directive         `cbor:"2,keyasint,omitempty"`
	ExpertMapMessage *expertmap.Message `cbor:"3,keyasint,omitempty"`
	Counts           *Counts            `cbor:"4,keyasint,omitempty"`
	Part             *MapPart           `cbor:"5,keyasint,omitempty"`
	Delta            *Delta             `cbor:"6,keyasint,omitempty"`
}

// DecodeError reports a datagram that is not a valid envelope.
type DecodeError struct{ Cause error }

// Error implements error.
func (e *DecodeError) Error() string { return "cannot decode datagram: " + e.Cause.Error() }

// Unwrap returns the codec's error.
func (e *DecodeError) Unwrap() error { return e.Cause }

// ErrNoGroup reports a datagram that does not name its sender's group; agents of releases
// without group names send them.
var ErrNoGroup = eris.New("datagram does not name a group")

// FitsWithStatus reports whether the counts fit into one datagram with the status.
func (c *Counts) FitsWithStatus(status *Status) bool {
	return status.Held == nil && 2*reservedBytes+len(c.Levels) <= maxDatagramSize
}

// FitsWithDirective reports whether the delta fits into one datagram with the directive.
func (d *Delta) FitsWithDirective(directive *Directive) bool {
	return 2*reservedBytes+len(directive.Hosts)+d.maxChangesSize() <= maxDatagramSize
}

// Encode encodes an envelope as CBOR. It fails with the codec's error.
func Encode(envelope Envelope) ([]byte, error) { return cbor.Marshal(envelope) }

// Decode decodes an envelope. It fails with DecodeError, whose cause is the codec's error
// or ErrNoGroup.
func Decode(data []byte) (Envelope, error) {
	var envelope Envelope
	if err := cbor.Unmarshal(data, &envelope); err != nil {
		return Envelope{}, &DecodeError{Cause: err}
	}
	if envelope.Group.Name == "" {
		return Envelope{}, &DecodeError{Cause: ErrNoGroup}
	}
	return envelope, nil
}

const (
	// hostBytes is the size of an IPv4 address.
	hostBytes = 4
	// expertBytes is the maximum encoded size of an expert in a part, and of a number
	// in Delta.Changes; rankBytes is the overhead of the list of each rank.
	expertBytes = 3
	rankBytes   = 2
	// reservedBytes is reserved for the group and the remaining fields of a message in a
	// datagram.
	reservedBytes = 100
	// countsPerDatagram is the maximum number of counts in a datagram.
	countsPerDatagram = 1000
)

// SetHost sets the host address of a rank. It ignores addresses that are not IPv4.
func (d *Directive) SetHost(rank int, host netip.Addr) {
	if !host.Is4() && !host.Is4In6() {
		return
	}
	octets := host.As4()
	copy(d.Hosts[rank*hostBytes:], octets[:])
}

// Host returns the host address of a rank, or false if the planner does not know it.
func (d *Directive) Host(rank int) (netip.Addr, bool) {
	offset := rank * hostBytes
	if rank < 0 || offset+hostBytes > len(d.Hosts) {
		return netip.Addr{}, false
	}
	host := netip.AddrFrom4([hostBytes]byte(d.Hosts[offset : offset+hostBytes]))
	return host, host != netip.IPv4Unspecified()
}

// KnownHosts returns the number of ranks whose host address the planner knows.
func (d *Directive) KnownHosts() int {
	known := 0
	for rank := range len(d.Hosts) / hostBytes {
		if _, ok := d.Host(rank); ok {
			known++
		}
	}
	return known
}

// Parts splits a map into parts, each of which fits into a datagram unless a single
// layer exceeds it.
func (m *Map) Parts() []MapPart {
	var parts []MapPart
	size := maxDatagramSize // makes the first layer start a part
	for layer, ranks := range m.Experts {
		layerBytes := 0
		for _, experts := range ranks {
			layerBytes += rankBytes + expertBytes*len(experts)
		}
		if size+layerBytes > maxDatagramSize-reservedBytes {
			parts = append(parts, MapPart{Number: m.ID.Number(), Layers: len(m.Experts), FirstLayer: layer})
			size = 0
		}
		last := &parts[len(parts)-1]
		last.Experts = append(last.Experts, ranks)
		size += layerBytes
	}
	return parts
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

// MapAssembler reconstructs a map from its parts or from a delta.
type MapAssembler struct {
	// size is the number of ranks of the group.
	size    int
	number  uint64
	experts [][][]int
	// missing is the number of layers that have not been received.
	missing int
	// base is the latest complete map, to which deltas are applied.
	base *Map
}

// NewMapAssembler returns an assembler of the maps of a group with the given number of
// ranks.
func NewMapAssembler(size int) MapAssembler { return MapAssembler{size: size} }

// AddDelta processes a delta. It ignores deltas whose base it does not have, and
// those of older or already complete maps. It fails with MapShapeError.
func (a *MapAssembler) AddDelta(delta Delta) error {
	if delta.Ranks != a.size {
		return &MapShapeError{Number: delta.Number, Ranks: delta.Ranks, GroupSize: a.size}
	}
	if delta.Number < a.number || delta.Number == a.number && a.missing == 0 {
		return nil
	}
	if next, ok := delta.Apply(a.base); ok {
		a.number, a.experts, a.missing, a.base = delta.Number, next.Experts, 0, next
	}
	return nil
}

// AddPart processes a part. A part of a newer map, or one with another number of layers,
// discards the parts received before. A part of an older map, or one that is out of
// range, is ignored. It fails with MapShapeError.
func (a *MapAssembler) AddPart(part MapPart) error {
	for _, ranks := range part.Experts {
		if len(ranks) != a.size {
			return &MapShapeError{Number: part.Number, Ranks: len(ranks), GroupSize: a.size}
		}
	}
	if part.Number < a.number || part.Layers <= 0 || part.Layers > maxLayers || part.FirstLayer < 0 || part.FirstLayer+len(part.Experts) > part.Layers {
		return nil
	}
	if part.Number > a.number || len(a.experts) != part.Layers {
		*a = MapAssembler{size: a.size, number: part.Number, experts: make([][][]int, part.Layers), missing: part.Layers, base: a.base}
	}
	for i, ranks := range part.Experts {
		if a.experts[part.FirstLayer+i] == nil && ranks != nil {
			a.experts[part.FirstLayer+i] = ranks
			a.missing--
		}
	}
	if a.missing == 0 && (a.base == nil || a.base.ID.Number() < a.number) {
		a.base = &Map{ID: expertmap.MapIDFromNumber(a.number), Experts: a.experts}
	}
	return nil
}

// maxLayers bounds the number of layers of a received map.
const maxLayers = 4096

// Map returns the map with the given number once it is complete.
func (a *MapAssembler) Map(number uint64) (*Map, bool) {
	if number == 0 || a.number != number || a.missing > 0 {
		return nil, false
	}
	return &Map{ID: expertmap.MapIDFromNumber(number), Experts: a.experts}, true
}

// SplitCounts splits the expert selections of a rank into counts that each fit into a
// datagram. selections holds the selections of each expert, layer after layer.
func SplitCounts(rank int, selections []uint64) []Counts {
	var all []Counts
	for first := 0; first < len(selections); first += countsPerDatagram {
		chunk := selections[first:min(first+countsPerDatagram, len(selections))]
		counts := Counts{Rank: rank, Offset: first, Levels: make([]byte, len(chunk))}
		for i, count := range chunk {
			counts.Levels[i] = levelOfCount(count)
		}
		all = append(all, counts)
	}
	return all
}
