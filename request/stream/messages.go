package stream

import (
	"net/http"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/headers"
	"verbenaseam.example/verbenaseam/request/order"
)

// Types of one-way messages between entries and agents, and between entries.
const (
	// MessageLoad carries a LoadReport from an agent.
	MessageLoad uint16 = 1
	// MessageCrash carries a CrashReport from an agent, or forwarded by an
	// entry.
	MessageCrash uint16 = 2
	// MessageEvidence carries a poison.Evidence, to entries and agents.
	MessageEvidence uint16 = 5
	// MessageFailures carries []health.Failure between entries.
	MessageFailures uint16 = 6
	// MessageDemand carries an admit.DemandReport between entries.
	MessageDemand uint16 = 7
	// MessageRelease carries the order.Attempt whose result has been recorded.
	MessageRelease uint16 = 4
)

// Field is one HTTP header field.
type Field struct {
	_           struct{} `cbor:",toarray"`
	Name, Value string
}

// OrderOperation is the operation that an order's stream requests of the agent.
type OrderOperation uint8

// Order operations.
const (
	// OrderRun runs the attempt, unless the agent's record of the order rules
	// it out.
	OrderRun OrderOperation = iota
	// OrderTombstone ensures that an attempt that has not started never will.
	OrderTombstone
	// OrderQuery queries the state of the attempt.
	OrderQuery
)

// OrderHead is the part of a request head that is specific to non-idempotent
// requests.
type OrderHead struct {
	Operation OrderOperation `cbor:"1,keyasint"`
	Attempt   order.Attempt  `cbor:"2,keyasint"`
}

// RequestHead is the first message of a request's stream from an entry to an
// agent.
type RequestHead struct {
	RequestID    string  `cbor:"1,keyasint"`
	Organisation string  `cbor:"2,keyasint"`
	Class        string  `cbor:"3,keyasint"`
	Method       string  `cbor:"4,keyasint"`
	Path         string  `cbor:"5,keyasint"`
	Header       []Field `cbor:"6,keyasint,omitempty"`
	// RemainingMillis is the time left until the caller's deadline, in
	// milliseconds.
	RemainingMillis int64 `cbor:"7,keyasint"`
	// Fingerprint identifies requests that have the same effect on an engine.
	Fingerprint uint64 `cbor:"8,keyasint"`
	Pool        string `cbor:"9,keyasint"`
	// Target is the target that the entry addresses; an agent of another target
	// refuses the request.
	Target string `cbor:"10,keyasint"`
	// Order is set for a non-idempotent request.
	Order *OrderHead `cbor:"11,keyasint,omitempty"`
	// Trial marks a request that is suspected of crashing targets and therefore
	// must run alone.
	Trial bool `cbor:"12,keyasint,omitempty"`
}

// Refusal is the encoded form of a typed failure.
type Refusal struct {
	Kind             string `cbor:"1,keyasint"`
	Message          string `cbor:"2,keyasint"`
	Outcome          string `cbor:"3,keyasint"`
	RetryAfterMillis int64  `cbor:"4,keyasint,omitempty"`
	// RejectedByGate reports whether the agent's admission gate refused the
	// request.
	RejectedByGate bool `cbor:"5,keyasint,omitempty"`
}

// ResponseHead is the response to a RequestHead.
type ResponseHead struct {
	Status int     `cbor:"1,keyasint"`
	Header []Field `cbor:"2,keyasint,omitempty"`
	// EngineIncarnation is the engine incarnation that ran the request.
	EngineIncarnation string `cbor:"3,keyasint,omitempty"`
	// Refusal is set if the request was refused or failed; there is then no
	// response.
	Refusal *Refusal `cbor:"4,keyasint,omitempty"`
	// Credits is the agent's hint of how many more requests this entry may
	// send.
	Credits int `cbor:"5,keyasint,omitempty"`
	// Order is the agent's reply to an order operation; the body of its result
	// is the body of the stream.
	Order *order.Reply `cbor:"6,keyasint,omitempty"`
}

// LoadReport is an agent's report on the load of its target.
type LoadReport struct {
	Target            string `cbor:"1,keyasint"`
	EngineIncarnation string `cbor:"2,keyasint"`
	// Limit and InFlight are those of the agent's admission gate, in requests.
	Limit    int `cbor:"3,keyasint"`
	InFlight int `cbor:"4,keyasint"`
	// Running and Waiting are the engine's own counts, with the engine's
	// reporting lag.
	Running int `cbor:"5,keyasint"`
	Waiting int `cbor:"6,keyasint"`
	// Open reports whether the gate admits new requests.
	Open    bool `cbor:"7,keyasint"`
	Warm    bool `cbor:"8,keyasint"`
	Credits int  `cbor:"9,keyasint"`
	// Version is the configuration version under which the agent serves.
	Version uint64 `cbor:"10,keyasint"`
	// AgentTime is the time since the agent started, by its own clock.
	AgentTime time.Duration `cbor:"11,keyasint"`
}

// CrashReport lists the requests that were in flight when an engine ended.
type CrashReport struct {
	Target            string   `cbor:"1,keyasint"`
	EngineIncarnation string   `cbor:"2,keyasint"`
	Fingerprints      []uint64 `cbor:"3,keyasint"`
	// OnTrial is the subset of Fingerprints whose requests ran on trial; see
	// RequestHead.Trial.
	OnTrial []uint64 `cbor:"5,keyasint,omitempty"`
	// AgeMillis is the time since the engine ended, in milliseconds, as known
	// to the sender.
	AgeMillis int64 `cbor:"4,keyasint"`
}

// NewRefusal converts a failure to its encoded form.
func NewRefusal(err *failure.Error) *Refusal {
	return &Refusal{
		Kind:             string(err.Kind),
		Message:          err.Message,
		Outcome:          string(err.Outcome),
		RetryAfterMillis: err.RetryAfter.Milliseconds(),
		RejectedByGate:   err.RejectedByGate,
	}
}

// Failure converts the refusal back to a failure.
func (r *Refusal) Failure() *failure.Error {
	err := failure.New(failure.Kind(r.Kind), failure.Outcome(r.Outcome), r.Message)
	err.RetryAfter = time.Duration(r.RetryAfterMillis) * time.Millisecond
	err.RejectedByGate = r.RejectedByGate
	return err
}

// isForwarded reports whether a header field is forwarded over a link. Targets
// must never see callers' keys, and Host belongs to the caller's connection.
func isForwarded(name string) bool {
	return !headers.IsHopByHop(name) && name != "Authorization" && name != "Host"
}

// ForwardedFields returns the header fields that are forwarded.
func ForwardedFields(header http.Header) []Field {
	fields := make([]Field, 0, len(header))
	for name, values := range headers.EndToEnd(header) {
		if !isForwarded(name) {
			continue
		}
		for _, value := range values {
			fields = append(fields, Field{Name: name, Value: value})
		}
	}
	return fields
}

// AddForwardedFields adds to a header those of the fields that are forwarded.
func AddForwardedFields(into http.Header, fields []Field) {
	for _, field := range fields {
		if isForwarded(http.CanonicalHeaderKey(field.Name)) {
			into.Add(field.Name, field.Value)
		}
	}
}
