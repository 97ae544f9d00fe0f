package table

import "github.com/fxamacker/cbor/v2"

// CodecError reports a delta that could not be encoded or decoded.
type CodecError struct {
	// Cause is the CBOR codec's error.
	Cause error
}

// Error implements error.
func (e *CodecError) Error() string { return "cannot encode or decode delta: " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *CodecError) Unwrap() error { return e.Cause }

// EncodeDelta encodes a delta as CBOR. It fails with CodecError.
func EncodeDelta(delta Delta) ([]byte, error) {
	body, err := cbor.Marshal(delta)
	if err != nil {
		return nil, &CodecError{Cause: err}
	}
	return body, nil
}

// DecodeDelta decodes the output of EncodeDelta. It fails with CodecError.
func DecodeDelta(body []byte) (Delta, error) {
	var delta Delta
	if err := cbor.Unmarshal(body, &delta); err != nil {
		return Delta{}, &CodecError{Cause: err}
	}
	return delta, nil
}
