package membership

// Kinds of the messages between probers, as sent on a link.
const (
	KindPing uint16 = 130 + iota
	KindAck
	KindPingRequest
	KindIndirectAck
)

// Update is a finding of a process about a member, for dissemination.
type Update struct {
	Name  string `cbor:"1,keyasint"`
	State State  `cbor:"2,keyasint"`
	// Incarnation is that of the member. Only the member itself increments it, to
	// refute an update about an earlier incarnation.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Ping asks a member whether it is alive.
type Ping struct {
	Sequence uint64   `cbor:"1,keyasint"`
	Updates  []Update `cbor:"2,keyasint,omitempty"`
}

// Ack answers a Ping.
type Ack struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// NoProgress is set when the sender has work but completes none.
	NoProgress bool     `cbor:"2,keyasint,omitempty"`
	Updates    []Update `cbor:"3,keyasint,omitempty"`
}

// PingRequest asks a member to ping another member on behalf of the sender.
type PingRequest struct {
	// Member is the name of the member to ping.
	Member string `cbor:"1,keyasint"`
}

// IndirectAck reports that a member answered a ping sent on behalf of the receiver.
type IndirectAck struct {
	// Member is the name of the member that answered.
	Member string `cbor:"1,keyasint"`
}
