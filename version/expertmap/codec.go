package expertmap

import "github.com/fxamacker/cbor/v2"

// DecodeError reports bytes that are not a valid message or proposal.
type DecodeError struct {
	// Cause is the codec's error; it is nil if the bytes decode but the message is
	// invalid.
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Cause == nil {
		return "expert map message has an unknown kind or lacks a required field"
	}
	return "cannot decode expert map message: " + e.Cause.Error()
}

// Unwrap returns the codec's error.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Encode returns the CBOR encoding of a message.
func Encode(message Message) ([]byte, error) { return cbor.Marshal(message) }

// Decode decodes a message and checks it; its errors are of type *DecodeError.
func Decode(data []byte) (Message, error) {
	var message Message
	if err := cbor.Unmarshal(data, &message); err != nil {
		return Message{}, &DecodeError{Cause: err}
	}
	if !message.valid() {
		return Message{}, &DecodeError{}
	}
	return message, nil
}

// valid reports whether the kind is known and the fields it requires are set.
func (m Message) valid() bool {
	switch m.Kind {
	case KindPoll:
		return m.Proposal != nil && m.Proposal.ID == m.ID
	case KindPromise, KindRecoveryQuery, KindRecoveryReply, KindReady, KindConfirmAbort, KindAbortConfirmed:
		return true
	case KindOutcome:
		return m.Decision == Commit || m.Decision == Abort
	default:
		return false
	}
}
