package rebalance

import (
	"github.com/fxamacker/cbor/v2"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// Map is an expert map with its contents.
type Map struct {
	ID expertmap.MapID `cbor:"1,keyasint"`
	// Experts holds the experts by layer and rank.
	Experts [][][]int `cbor:"2,keyasint"`
}

// Member is a rank's agent as the planner knows it.
type Member struct {
	Rank int `cbor:"1,keyasint"`
	// Address is the IP:port at which the agent takes datagrams.
	Address string `cbor:"2,keyasint"`
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
	// Chosen is how often the rank's requests chose each expert, layer after
	// layer, since the status before.
	Chosen []uint32 `cbor:"10,keyasint"`
	// Held holds the rank's experts by layer, when the planner asked for them.
	Held [][]int `cbor:"11,keyasint"`
	// Pace is how much slower than usual the rank is; 1 is as usual.
	Pace float64 `cbor:"13,keyasint,omitempty"`
	// Refused is the number of a map that the engine will not copy; 0 for none.
	Refused uint64 `cbor:"12,keyasint"`
}

// Directive is what the planner tells the agents of its group.
type Directive struct {
	Group       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Planner is the planner's rank, Agent the incarnation of its agent.
	Planner int    `cbor:"3,keyasint"`
	Agent   uint64 `cbor:"4,keyasint"`
	// Members are the agents that the planner knows.
	Members []Member `cbor:"5,keyasint"`
	// Prepare is the map to copy, nil for none.
	Prepare *Map `cbor:"6,keyasint"`
	// TellHeld asks for Status.Held.
	TellHeld bool `cbor:"7,keyasint"`
}

// Envelope is one datagram; one of its fields is set.
type Envelope struct {
	Status    *Status            `cbor:"1,keyasint,omitempty"`
	Directive *Directive         `cbor:"2,keyasint,omitempty"`
	Vote      *expertmap.Message `cbor:"3,keyasint,omitempty"`
}

// DecodeError means that a datagram is no envelope.
type DecodeError struct{ Cause error }

// Error implements error.
func (e *DecodeError) Error() string { return "datagram cannot be read: " + e.Cause.Error() }

// Unwrap returns the codec's error.
func (e *DecodeError) Unwrap() error { return e.Cause }

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
