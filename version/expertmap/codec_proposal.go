package expertmap

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"
)

// EncodeProposal encodes a proposal as text (base64 of CBOR) for an engine to store.
// Equal proposals have equal encodings.
func EncodeProposal(proposal Proposal) (string, error) {
	data, err := cbor.Marshal(proposal)
	if err != nil {
		return "", &DecodeError{Cause: err}
	}
	return base64.StdEncoding.EncodeToString(data), nil
}

// DecodeProposal decodes the output of EncodeProposal; its errors are of type
// *DecodeError.
func DecodeProposal(text string) (Proposal, error) {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return Proposal{}, &DecodeError{Cause: err}
	}
	var proposal Proposal
	if err := cbor.Unmarshal(data, &proposal); err != nil {
		return Proposal{}, &DecodeError{Cause: err}
	}
	return proposal, nil
}
