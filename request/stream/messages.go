package stream

import (
	"net/http"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/headers"
	"verbenaseam.example/verbenaseam/request/order"
)

// Kinds of one-way messages between an entry and an agent.
const (
	// MessageLoad carries a LoadReport from an agent.
	MessageLoad uint16 = 1
	// MessageCrash carries a CrashReport, from an agent or forwarded by an entry.
	MessageCrash uint16 = 2
	// MessageEvidence carries a poison.Evidence, to entries and agents.
	MessageEvidence uint16 = 5
	// MessageFailures carries []health.Failure between entries.
	MessageFailures uint16 = 6
	// MessageDemand carries an admit.DemandReport between entries.
	MessageDemand uint16 = 7
	// MessageRelease carries the order.Attempt whose result is recorded.
	MessageRelease uint16 = 4
)

// Field is one header field.
type Field struct {
	_           struct{} `cbor:",toarray"`
	Name, Value string
}

// OrderOperation tells what an order's stream asks of the agent.
type OrderOperation uint8

// Order operations.
const (
	// OrderRun runs the attempt unless the agent knows better.
	OrderRun OrderOperation = iota
	// OrderTombstone makes sure that an attempt that has not started never will.
	OrderTombstone
	// OrderQuery asks what became of the attempt.
	OrderQuery
)

// OrderHead is the once-only part of a request.
type OrderHead struct {
	Operation OrderOperation `cbor:"1,keyasint"`
	Attempt   order.Attempt  `cbor:"2,keyasint"`
}

// RequestHead opens a request's stream from an entry to an agent.
type RequestHead struct {
	RequestID    string  `cbor:"1,keyasint"`
	Organisation string  `cbor:"2,keyasint"`
	Class        string  `cbor:"3,keyasint"`
	Method       string  `cbor:"4,keyasint"`
	Path         string  `cbor:"5,keyasint"`
	Header       []Field `cbor:"6,keyasint,omitempty"`
	// RemainingMillis is the time left until the caller's deadline.
	RemainingMillis int64 `cbor:"7,keyasint"`
	// Fingerprint names requests with the same effect on an engine.
	Fingerprint uint64 `cbor:"8,keyasint"`
	Pool        string `cbor:"9,keyasint"`
	// Target is the target the entry means; an agent with another name refuses.
	Target string `cbor:"10,keyasint"`
	// Order is set for a non-idempotent request.
	Order *OrderHead `cbor:"11,keyasint,omitempty"`
	// Probation tells that the request is suspected and must run alone.
	Probation bool `cbor:"12,keyasint,omitempty"`
}

// Refusal is a typed failure on the wire.
type Refusal struct {
	Kind             string `cbor:"1,keyasint"`
	Message          string `cbor:"2,keyasint"`
	Outcome          string `cbor:"3,keyasint"`
	RetryAfterMillis int64  `cbor:"4,keyasint,omitempty"`
	// FromGate tells that the agent's gate refused.
	FromGate bool `cbor:"5,keyasint,omitempty"`
}

// ResponseHead answers a RequestHead.
type ResponseHead struct {
	Status int     `cbor:"1,keyasint"`
	Header []Field `cbor:"2,keyasint,omitempty"`
	// EngineIncarnation is the engine incarnation that ran the request.
	EngineIncarnation string `cbor:"3,keyasint,omitempty"`
	// Refusal is set when there is no answer.
	Refusal *Refusal `cbor:"4,keyasint,omitempty"`
	// Credits is the agent's hint of how much more this entry may send.
	Credits int `cbor:"5,keyasint,omitempty"`
	// Order is the agent's word on an order; the body of its result is the body
	// of the stream.
	Order *order.Reply `cbor:"6,keyasint,omitempty"`
}

// LoadReport is what an agent tells its entries of its target.
type LoadReport struct {
	Target            string `cbor:"1,keyasint"`
	EngineIncarnation string `cbor:"2,keyasint"`
	// Limit and InFlight are the gate's, in requests.
	Limit    int `cbor:"3,keyasint"`
	InFlight int `cbor:"4,keyasint"`
	// Running and Waiting are the engine's own, as lagged as it reports them.
	Running int `cbor:"5,keyasint"`
	Waiting int `cbor:"6,keyasint"`
	// Open tells that the gate takes new work.
	Open    bool `cbor:"7,keyasint"`
	Warm    bool `cbor:"8,keyasint"`
	Credits int  `cbor:"9,keyasint"`
	// Version is the configuration version the agent serves under.
	Version uint64 `cbor:"10,keyasint"`
	// AgentTime is the time since the agent's start, on its own clock.
	AgentTime time.Duration `cbor:"11,keyasint"`
}

// CrashReport tells which requests were in flight when an engine ended.
type CrashReport struct {
	Target            string   `cbor:"1,keyasint"`
	EngineIncarnation string   `cbor:"2,keyasint"`
	Fingerprints      []uint64 `cbor:"3,keyasint"`
	// OnTrial are those of them that ran as suspects.
	OnTrial []uint64 `cbor:"5,keyasint,omitempty"`
	// AgeMillis is how long ago the engine ended, as the sender knows it.
	AgeMillis int64 `cbor:"4,keyasint"`
}

// RefusalOf puts a failure on the wire.
func RefusalOf(err *failure.Error) *Refusal {
	return &Refusal{
		Kind:             string(err.Kind),
		Message:          err.Message,
		Outcome:          string(err.Outcome),
		RetryAfterMillis: err.RetryAfter.Milliseconds(),
		FromGate:         err.FromGate,
	}
}

// Failure takes a failure off the wire.
func (r *Refusal) Failure() *failure.Error {
	err := failure.New(failure.Kind(r.Kind), failure.Outcome(r.Outcome), r.Message)
	err.RetryAfter = time.Duration(r.RetryAfterMillis) * time.Millisecond
	err.FromGate = r.FromGate
	return err
}

// travels tells whether a header goes on to the other end of a link. Targets
// never see callers' keys, and the host is that of the caller's connection.
func travels(name string) bool {
	return !headers.IsHopByHop(name) && name != "Authorization" && name != "Host"
}

// FieldsOf returns the header fields that travel on.
func FieldsOf(header http.Header) []Field {
	fields := make([]Field, 0, len(header))
	for name, values := range headers.EndToEnd(header) {
		if !travels(name) {
			continue
		}
		for _, value := range values {
			fields = append(fields, Field{Name: name, Value: value})
		}
	}
	return fields
}

// CopyFields adds the fields that may travel to a header.
func CopyFields(into http.Header, fields []Field) {
	for _, field := range fields {
		if travels(http.CanonicalHeaderKey(field.Name)) {
			into.Add(field.Name, field.Value)
		}
	}
}
