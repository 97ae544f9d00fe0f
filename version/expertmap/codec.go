package expertmap

import "github.com/fxamacker/cbor/v2"

// DecodeError means that bytes are no message of this package.
type DecodeError struct {
	// Cause is the codec's error, nil if the message makes no sense.
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Cause == nil {
		return "expert map message makes no sense"
	}
	return "expert map message: " + e.Cause.Error()
}

// Unwrap returns the codec's error.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Encode writes a message as CBOR.
func Encode(message Message) ([]byte, error) { return cbor.Marshal(message) }

// Decode reads a message; it fails with DecodeError.
func Decode(data []byte) (Message, error) {
	var message Message
	if err := cbor.Unmarshal(data, &message); err != nil {
		return Message{}, &DecodeError{Cause: err}
	}
	if !message.sensible() {
		return Message{}, &DecodeError{}
	}
	return message, nil
}

// sensible tells whether the message has what its kind needs.
func (m Message) sensible() bool {
	switch m.Kind {
	case KindPoll:
		return m.Proposal != nil && m.Proposal.ID == m.ID
	case KindPromise, KindRecall, KindRecalled, KindReady, KindDismiss, KindReleased:
		return true
	case KindOutcome:
		return m.Decision == Commit || m.Decision == Abort
	default:
		return false
	}
}
