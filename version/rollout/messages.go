package rollout

import "verbenaseam.example/verbenaseam/process/platform"

// Message kinds between rollout nodes.
const (
	KindPullRequest uint16 = 100 + iota
	KindPullResponse
	KindPush
	KindFetchPart
	KindPart
	KindAdoptionRequest
	KindAdoptionResponse
	KindFetchHosts
	KindHostsUpdate
)

// PullRequest asks a peer for its version and for the entries after the sender's
// version.
type PullRequest struct {
	// Sequence is echoed in the PullResponse.
	Sequence uint64 `cbor:"1,keyasint"`
	// Version is the sender's version.
	Version uint64 `cbor:"2,keyasint"`
}

// PullResponse is the response to a PullRequest.
type PullResponse struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Version is the sender's version; Ready is false while it has none.
	Version uint64 `cbor:"2,keyasint"`
	Ready   bool   `cbor:"3,keyasint"`
	// AgeMillis is the time in milliseconds since Version was confirmed to be the
	// newest accepted version, or negative if it was never confirmed.
	AgeMillis int64 `cbor:"4,keyasint"`
	// FailureDomain is the sender's failure domain.
	FailureDomain string `cbor:"5,keyasint"`
	// Entries follow the version in the PullRequest; EntriesTrimmed means that the
	// sender no longer holds them.
	Entries        []Entry `cbor:"6,keyasint,omitempty"`
	EntriesTrimmed bool    `cbor:"7,keyasint,omitempty"`
	// HostsDigest is the digest of the sender's host list, or 0 if it has none.
	HostsDigest uint64 `cbor:"8,keyasint,omitempty"`
	// Reader means that the sender is a reader and has capacity for more pull
	// requests.
	Reader bool `cbor:"9,keyasint,omitempty"`
}

// Push sends a peer the entries that are new to the sender.
type Push struct {
	Entries []Entry `cbor:"1,keyasint"`
}

// FetchPart requests one part of an encoded full table. Version 0 lets the receiver
// choose a recent version.
type FetchPart struct {
	Version uint64 `cbor:"1,keyasint"`
	Part    int    `cbor:"2,keyasint"`
}

// Part is one part of an encoded full table. Parts is the total number of parts,
// or 0 if the sender no longer holds the version.
type Part struct {
	Version uint64 `cbor:"1,keyasint"`
	Part    int    `cbor:"2,keyasint"`
	Parts   int    `cbor:"3,keyasint"`
	Body    []byte `cbor:"4,keyasint,omitempty"`
}

// AdoptionRequest asks a peer which processes it knows to have adopted a version.
type AdoptionRequest struct {
	Version uint64 `cbor:"1,keyasint"`
}

// AdoptionResponse is the response to an AdoptionRequest: the names of processes
// that have adopted the version or a newer one.
type AdoptionResponse struct {
	Version uint64   `cbor:"1,keyasint"`
	Names   []string `cbor:"2,keyasint"`
}

// FetchHosts requests the changes to the host list since the list with the digest.
// Digest 0 requests the full list.
type FetchHosts struct {
	Digest uint64 `cbor:"1,keyasint"`
}

// HostsUpdate is the response to FetchHosts: the full host list, or the changes
// since the list with digest From.
type HostsUpdate struct {
	// From is 0 if Changed is the full list.
	From    uint64          `cbor:"1,keyasint,omitempty"`
	Digest  uint64          `cbor:"2,keyasint"`
	Changed []platform.Host `cbor:"3,keyasint,omitempty"`
	Removed []string        `cbor:"4,keyasint,omitempty"`
}
