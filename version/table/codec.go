package table

import "github.com/fxamacker/cbor/v2"

// DecodeError reports a delta that could not be encoded or decoded.
type DecodeError struct {
	// Cause is the CBOR codec's error.
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return "encode or decode delta: " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Cause }

// EncodeDelta encodes a delta as CBOR. It fails with DecodeError.
func EncodeDelta(delta Delta) ([]byte, error) {
	body, err := cbor.Marshal(delta)
	if err != nil {
		return nil, &DecodeError{Cause: err}
	}
	return body, nil
}

// DecodeDelta decodes the output of EncodeDelta. It fails with DecodeError.
func DecodeDelta(body []byte) (Delta, error) {
	var delta Delta
	if err := cbor.Unmarshal(body, &delta); err != nil {
		return Delta{}, &DecodeError{Cause: err}
	}
	return delta, nil
}
