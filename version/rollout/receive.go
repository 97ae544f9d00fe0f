package rollout

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Receive handles an encoded message from a peer. A message that cannot be decoded
// is counted, logged and dropped.
func (s *Service) Receive(peer string, kind uint16, body []byte) {
	message, err := DecodeMessage(kind, body)
	if err != nil {
		s.metrics.undecoded.Inc()
		s.log.WithError(err).WithField("peer", peer).Warn("message cannot be decoded; dropped")
		return
	}
	s.step(func(now time.Time) []Action { return s.node.Receive(now, peer, message) })
}

// MessageError means that a message could not be decoded.
type MessageError struct {
	Kind uint16
	// Cause is the decoder's error, nil for an unknown kind.
	Cause error
}

// Error implements error.
func (e *MessageError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("unknown kind %d of rollout message", e.Kind)
	}
	return fmt.Sprintf("cannot decode rollout message of kind %d: %v", e.Kind, e.Cause)
}

// Unwrap returns the underlying error.
func (e *MessageError) Unwrap() error { return e.Cause }

// DecodeMessage decodes a message of this package. It fails with a MessageError.
func DecodeMessage(kind uint16, body []byte) (any, error) {
	switch kind {
	case KindPullRequest:
		return decodeAs[PullRequest](kind, body)
	case KindPullResponse:
		return decodeAs[PullResponse](kind, body)
	case KindPush:
		return decodeAs[Push](kind, body)
	case KindFetchPart:
		return decodeAs[FetchPart](kind, body)
	case KindPart:
		return decodeAs[Part](kind, body)
	case KindAdoptionRequest:
		return decodeAs[AdoptionRequest](kind, body)
	case KindAdoptionResponse:
		return decodeAs[AdoptionResponse](kind, body)
	case KindFetchHosts:
		return decodeAs[FetchHosts](kind, body)
	case KindHostsUpdate:
		return decodeAs[HostsUpdate](kind, body)
	default:
		return nil, &MessageError{Kind: kind}
	}
}

func decodeAs[T any](kind uint16, body []byte) (any, error) {
	var message T
	if err := cbor.Unmarshal(body, &message); err != nil {
		return nil, &MessageError{Kind: kind, Cause: err}
	}
	return message, nil
}
