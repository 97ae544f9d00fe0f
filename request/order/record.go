package order

import (
	"fmt"
	"net/url"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// RowPrefix is the prefix of the keys of all order rows.
const RowPrefix = "order/"

// State is the state of a record.
type State uint8

// States of a record. StatePending is never stored: it stands for the absence of
// a record.
const (
	// StatePending means that no record exists, so the order may be inserted.
	StatePending State = iota
	// StateDispatched means that the attempt may run in its agent incarnation.
	StateDispatched
	// StateDone means that the order ran; the record holds its result.
	StateDone
	// StateNotRun means that the attempt did not run and never will.
	StateNotRun
	// StateUnknown means that it cannot be determined any more whether the
	// attempt ran.
	StateUnknown
)

var stateNames = []string{"pending", "dispatched", "done", "not-run", "unknown"}

// String returns the state's name as shown to operators.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state-%d", uint8(s))
}

// Result is the target's response to an order that ran.
type Result struct {
	// Status is the HTTP status code.
	Status int `cbor:"1,keyasint"`
	// ContentType is the body's media type.
	ContentType string `cbor:"2,keyasint,omitempty"`
	// Body is the response body.
	Body []byte `cbor:"3,keyasint,omitempty"`
	// Omitted is set if the body was too large to be recorded.
	Omitted bool `cbor:"4,keyasint,omitempty"`
}

// Record is the state of an order as stored in the platform's table.
type Record struct {
	Organisation string `cbor:"1,keyasint"`
	Key          string `cbor:"2,keyasint"`
	State        State  `cbor:"3,keyasint"`
	// Attempt is the number of the record's current attempt, starting at 1.
	Attempt int `cbor:"4,keyasint"`
	// Nonce uniquely identifies the attempt.
	Nonce string `cbor:"5,keyasint"`
	// Target and Incarnation identify the only agent that may run the attempt.
	Target      string `cbor:"6,keyasint"`
	Incarnation string `cbor:"7,keyasint"`
	// NotAfter is the latest start time of the attempt on the agent's own clock.
	NotAfter time.Duration `cbor:"8,keyasint"`
	// Fingerprint identifies the request; the same key with another fingerprint
	// is a conflict.
	Fingerprint [32]byte `cbor:"9,keyasint"`
	// Result is set in StateDone only.
	Result *Result `cbor:"10,keyasint,omitempty"`
	// Created and Expires delimit the record's lifetime on the entries' clocks.
	Created time.Time `cbor:"11,keyasint"`
	Expires time.Time `cbor:"12,keyasint"`
}

// attempt returns the record's current attempt as sent to agents.
func (r Record) attempt() Attempt {
	return Attempt{
		Organisation: r.Organisation,
		Key:          r.Key,
		Number:       r.Attempt,
		Nonce:        r.Nonce,
		Target:       r.Target,
		Incarnation:  r.Incarnation,
		NotAfter:     r.NotAfter,
	}
}

// RowKey returns the key of an order's row.
func RowKey(organisation, key string) string {
	return RowPrefix + url.PathEscape(organisation) + "/" + url.PathEscape(key)
}

var recordEncoding = newRecordEncoding()

func newRecordEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Encode returns the row content of the record.
func (r Record) Encode() ([]byte, error) {
	content, err := recordEncoding.Marshal(r)
	if err != nil {
		return nil, &CorruptRecordError{Organisation: r.Organisation, Key: r.Key, Cause: err}
	}
	return content, nil
}

// Decode reads the row content of a record.
func Decode(content []byte) (Record, error) {
	var record Record
	if err := cbor.Unmarshal(content, &record); err != nil {
		return Record{}, &CorruptRecordError{Cause: err}
	}
	if record.State == StatePending || record.State > StateUnknown || (record.State == StateDone) != (record.Result != nil) {
		return Record{}, &CorruptRecordError{Organisation: record.Organisation, Key: record.Key}
	}
	record.Created = record.Created.UTC()
	record.Expires = record.Expires.UTC()
	return record, nil
}
