package rebalance

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"verbenaseam.example/verbenaseam/process/release"
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
	// RunningKnown tells that the agent knows the contents of the map in use, so that it
	// can apply a delta from it.
	RunningKnown bool `cbor:"15,keyasint,omitempty"`
	// Held holds the rank's experts by layer if the planner has asked for them.
	Held [][]int `cbor:"11,keyasint"`
	// Refused is the number of a map that the engine refuses to copy; 0 for none.
	Refused uint64 `cbor:"12,keyasint"`
	// Epoch is the highest map epoch known to the agent, also that of a map that its engine
	// is copying.
	Epoch uint64 `cbor:"14,keyasint,omitempty"`
	// Slowdown is the factor by which the rank is slower than usual; 1 is normal speed.
	Slowdown float64 `cbor:"13,keyasint,omitempty"`
	// Release is the build of the agent and the versions of datagrams that it speaks.
	Release release.Info `cbor:"16,keyasint,omitempty"`
	// PreparedSum and RunningSum are the checksums of the contents of the prepared map and
	// of the one in use (see Map.Sum), as the agent told its engine; 0 if it has not.
	PreparedSum uint64 `cbor:"17,keyasint,omitempty"`
	RunningSum  uint64 `cbor:"18,keyasint,omitempty"`
}

// Versions is the versions of the datagrams between agents that this build speaks.
var Versions = release.Range{Min: 1, Max: 1}

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
	Relay            *Relay             `cbor:"8,keyasint,omitempty"`
	// Version is the version of the datagram, 0 for 1. Receivers drop those of versions
	// that they do not speak, which would have another meaning than they know.
	Version uint8 `cbor:"9,keyasint,omitempty"`
}

// Relay asks the receiver to process a datagram and to forward it to the agents of the
// ranks from First up to but excluding End. A planner of a large group sends through
// relays because its own link would take too long.
type Relay struct {
	First int `cbor:"1,keyasint"`
	End   int `cbor:"2,keyasint"`
	// Datagram is an encoded Envelope that is not a Relay itself.
	Datagram []byte `cbor:"3,keyasint"`
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

// VersionError reports a datagram of a version that this build does not speak.
type VersionError struct {
	Version uint8
	Spoken  release.Range
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("datagram has version %d, want %d to %d", e.Version, e.Spoken.Min, e.Spoken.Max)
}

// FitsWithStatus reports whether the counts fit into one datagram with the status.
func (c *Counts) FitsWithStatus(status *Status) bool {
	return status.Held == nil && 2*reservedBytes+len(c.Levels) <= maxDatagramSize
}

// FitsWithDirective reports whether the delta is whole and fits into one datagram with the
// directive.
func (d *Delta) FitsWithDirective(directive *Directive) bool {
	return d.Parts <= 1 && 2*reservedBytes+len(directive.Hosts)+d.maxChangesSize() <= maxDatagramSize
}

// Encode encodes an envelope as CBOR. It fails with the codec's error.
func Encode(envelope Envelope) ([]byte, error) { return cbor.Marshal(envelope) }

// Decode decodes an envelope. It fails with DecodeError, whose cause is the codec's error
// ErrNoGroup or VersionError.
func Decode(data []byte) (Envelope, error) {
	var envelope Envelope
	if err := cbor.Unmarshal(data, &envelope); err != nil {
		return Envelope{}, &DecodeError{Cause: err}
	}
	if version := max(envelope.Version, 1); !Versions.Contains(version) {
		return Envelope{}, &DecodeError{Cause: &VersionError{Version: version, Spoken: Versions}}
	}
	if envelope.Group.Name == "" {
		return Envelope{}, &DecodeError{Cause: ErrNoGroup}
	}
	return envelope, nil
}

const (
	// hostBytes is the size of an IPv4 address.
	hostBytes = 4
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
	if rank < 0 || rank >= len(d.Hosts)/hostBytes {
		return netip.Addr{}, false
	}
	offset := rank * hostBytes
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
