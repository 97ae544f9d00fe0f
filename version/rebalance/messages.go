package rebalance

import (
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// Datagrams stay below datagramSize bytes, so that no link has to split them:
// counts and maps go out in parts.
const datagramSize = 1200

// Map is an expert map with its contents, by layer and rank.
type Map struct {
	ID      expertmap.MapID
	Experts [][][]int
}

// sort puts each rank's experts in order, so that equal maps look alike.
func (m *Map) sort() {
	for _, ranks := range m.Experts {
		for _, experts := range ranks {
			slices.Sort(experts)
		}
	}
}

// Status is what an agent tells the planner of its rank.
type Status struct {
	// Group names the group, Incarnation its incarnation.
	Group       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Rank        int    `cbor:"3,keyasint"`
	Size        int    `cbor:"4,keyasint"`
	// Agent is the incarnation of the agent.
	Agent uint64 `cbor:"5,keyasint"`
	// Sent grows with each status of an agent.
	Sent uint64 `cbor:"6,keyasint"`
	// Running is the number of the map in use, Prepared that of the map that is
	// copied, Armed that of the map that is set to be used next; 0 for none.
	Running  uint64 `cbor:"7,keyasint"`
	Prepared uint64 `cbor:"8,keyasint"`
	Armed    uint64 `cbor:"9,keyasint"`
	// Held holds the rank's experts by layer, when the planner asked for them.
	Held [][]int `cbor:"11,keyasint"`
	// Refused is the number of a map that the engine will not copy; 0 for none.
	Refused uint64 `cbor:"12,keyasint"`
	// Epoch is the highest epoch of a map that the agent has heard of.
	Epoch uint64 `cbor:"14,keyasint,omitempty"`
	// Pace is how much slower than usual the rank is; 1 is as usual.
	Pace float64 `cbor:"13,keyasint,omitempty"`
}

// Counts is how often a rank's requests chose some experts lately. A part that is
// lost is not made up for.
type Counts struct {
	Group       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Rank        int    `cbor:"3,keyasint"`
	// First is the place of the first of Levels among all experts, layer after
	// layer.
	First int `cbor:"4,keyasint"`
	// Levels are the logarithms of the counts, in steps of a twelfth of the octave.
	Levels []byte `cbor:"5,keyasint"`
}

// Directive is what the planner tells the agents of its group.
type Directive struct {
	Group       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Planner is the planner's rank, Agent the incarnation of its agent.
	Planner int    `cbor:"3,keyasint"`
	Agent   uint64 `cbor:"4,keyasint"`
	// Hosts holds the IPv4 addresses of the ranks' agents, four bytes each; zeros
	// where the planner knows none.
	Hosts []byte `cbor:"5,keyasint"`
	// Prepare is the number of the map to copy, 0 for none; its contents come in
	// parts.
	Prepare uint64 `cbor:"6,keyasint"`
	// TellHeld asks for Status.Held.
	TellHeld bool `cbor:"7,keyasint"`
}

// Part is a part of a map: some of its layers.
type Part struct {
	// Number is the map's, Layers how many it has.
	Number uint64 `cbor:"1,keyasint"`
	Layers int    `cbor:"2,keyasint"`
	// First is the first layer of Experts, which holds the experts by layer and
	// rank.
	First   int       `cbor:"3,keyasint"`
	Experts [][][]int `cbor:"4,keyasint"`
}

// Envelope is one datagram. One of its fields is set, but that counts come with a
// status, and a delta with a directive, where both fit.
type Envelope struct {
	Status    *Status            `cbor:"1,keyasint,omitempty"`
	Directive *Directive         `cbor:"2,keyasint,omitempty"`
	Vote      *expertmap.Message `cbor:"3,keyasint,omitempty"`
	Counts    *Counts            `cbor:"4,keyasint,omitempty"`
	Part      *Part              `cbor:"5,keyasint,omitempty"`
	Delta     *Delta             `cbor:"6,keyasint,omitempty"`
}

// DecodeError means that a datagram is no envelope.
type DecodeError struct{ Cause error }

// Error implements error.
func (e *DecodeError) Error() string { return "datagram cannot be read: " + e.Cause.Error() }

// Unwrap returns the codec's error.
func (e *DecodeError) Unwrap() error { return e.Cause }

// WithStatus tells whether counts fit a datagram with the status.
func (c *Counts) WithStatus(status *Status) bool {
	return status.Held == nil && 2*partHead+len(c.Levels) <= datagramSize
}

// WithDirective tells whether a delta fits a datagram with the directive.
func (d *Delta) WithDirective(directive *Directive) bool {
	return 2*partHead+len(directive.Hosts)+d.size() <= datagramSize
}

// Encode writes an envelope as CBOR; it fails with the codec's error.
func Encode(envelope Envelope) ([]byte, error) { return cbor.Marshal(envelope) }

// Decode reads an envelope. It fails with DecodeError.
func Decode(data []byte) (Envelope, error) {
	var envelope Envelope
	if err := cbor.Unmarshal(data, &envelope); err != nil {
		return Envelope{}, &DecodeError{Cause: err}
	}
	return envelope, nil
}

const (
	hostBytes = 4
	// expertBytes is the most that an expert takes in a part, rankBytes what each
	// rank's list takes besides.
	expertBytes = 3
	rankBytes   = 2
	// partHead is kept free for the rest of a datagram.
	partHead = 100
	// countsAtOnce is how many counts one datagram holds.
	countsAtOnce = 1000
)

// SetHost writes a rank's host down; addresses that are not IPv4 are left out.
func (d *Directive) SetHost(rank int, host netip.Addr) {
	if !host.Is4() && !host.Is4In6() {
		return
	}
	four := host.As4()
	copy(d.Hosts[rank*hostBytes:], four[:])
}

// Host returns a rank's host, false if the planner knows none.
func (d *Directive) Host(rank int) (netip.Addr, bool) {
	at := rank * hostBytes
	if rank < 0 || at+hostBytes > len(d.Hosts) {
		return netip.Addr{}, false
	}
	host := netip.AddrFrom4([hostBytes]byte(d.Hosts[at : at+hostBytes]))
	return host, host != netip.IPv4Unspecified()
}

// Known returns how many hosts the planner knows.
func (d *Directive) Known() int {
	known := 0
	for rank := range len(d.Hosts) / hostBytes {
		if _, ok := d.Host(rank); ok {
			known++
		}
	}
	return known
}

// Parts splits a map up.
func (m *Map) Parts() []Part {
	var parts []Part
	size := datagramSize
	for layer, ranks := range m.Experts {
		bytes := 0
		for _, experts := range ranks {
			bytes += rankBytes + expertBytes*len(experts)
		}
		if size+bytes > datagramSize-partHead {
			parts = append(parts, Part{Number: m.ID.Number(), Layers: len(m.Experts), First: layer})
			size = 0
		}
		last := &parts[len(parts)-1]
		last.Experts = append(last.Experts, ranks)
		size += bytes
	}
	return parts
}

// Assembly puts the parts of one map together, or takes it from a delta.
type Assembly struct {
	number  uint64
	experts [][][]int
	missing int
	// base is the latest map that was whole.
	base *Map
}

// AddDelta takes a delta in; it changes nothing if its base is not known.
func (a *Assembly) AddDelta(delta Delta) {
	if delta.Number < a.number || delta.Number == a.number && a.missing == 0 {
		return
	}
	if next, ok := delta.Apply(a.base); ok {
		a.number, a.experts, a.missing, a.base = delta.Number, next.Experts, 0, next
	}
}

// Add takes a part in. A part of a newer map begins anew, one of an older map is
// passed over.
func (a *Assembly) Add(part Part) {
	if part.Number < a.number || part.Layers <= 0 || part.Layers > mostLayers || part.First < 0 || part.First+len(part.Experts) > part.Layers {
		return
	}
	if part.Number > a.number || len(a.experts) != part.Layers {
		*a = Assembly{number: part.Number, experts: make([][][]int, part.Layers), missing: part.Layers, base: a.base}
	}
	for at, ranks := range part.Experts {
		if a.experts[part.First+at] == nil && ranks != nil {
			a.experts[part.First+at] = ranks
			a.missing--
		}
	}
	if a.missing == 0 && (a.base == nil || a.base.ID.Number() < a.number) {
		a.base = &Map{ID: expertmap.MapOf(a.number), Experts: a.experts}
	}
}

// mostLayers bounds the layers of a map that is put together.
const mostLayers = 4096

// Map returns the map with the number once all its parts have come.
func (a *Assembly) Map(number uint64) (*Map, bool) {
	if number == 0 || a.number != number || a.missing > 0 {
		return nil, false
	}
	return &Map{ID: expertmap.MapOf(number), Experts: a.experts}, true
}

// CountsOf splits what was chosen up.
func CountsOf(status Status, chosen []uint64) []Counts {
	var all []Counts
	for first := 0; first < len(chosen); first += countsAtOnce {
		some := chosen[first:min(first+countsAtOnce, len(chosen))]
		counts := Counts{Group: status.Group, Incarnation: status.Incarnation, Rank: status.Rank, First: first, Levels: make([]byte, len(some))}
		for at, count := range some {
			counts.Levels[at] = levelOf(count)
		}
		all = append(all, counts)
	}
	return all
}
