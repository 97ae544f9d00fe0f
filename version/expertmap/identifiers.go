package expertmap

// An engine that numbers its maps stores only a map's number and a step. Map and
// proposal identifiers are derived from these two, so that a restarted agent can
// reconstruct its promise.

const (
	// versionBits is the number of low bits of a map number that hold the version.
	versionBits = 20
	// stepBits is the number of low bits of a proposal's sequence that hold the step.
	stepBits = 40
)

// Number returns the map's number. Numbers are ordered by epoch, then by version.
func (m MapID) Number() uint64 { return m.Epoch<<versionBits | m.Version }

// MapIDFromNumber returns the identifier of the map with the given number.
func MapIDFromNumber(number uint64) MapID {
	return MapID{Epoch: number >> versionBits, Version: number & (1<<versionBits - 1)}
}

// NewProposalID returns the identifier of the proposal to switch to a map at a step.
func NewProposalID(to MapID, step uint64) ProposalID {
	return ProposalID{Epoch: to.Epoch, Sequence: to.Version<<stepBits | step}
}

// MapAndStep returns the map and the step of a proposal identified by NewProposalID.
func (p ProposalID) MapAndStep() (to MapID, step uint64) {
	return MapID{Epoch: p.Epoch, Version: p.Sequence >> stepBits}, p.Sequence & (1<<stepBits - 1)
}

// versionStride is the distance between the versions that planners assign. The version
// in between belongs to the map that invalidates the preceding one (see MapID.Invalidator).
const versionStride = 2

// NextVersion returns the version a planner assigns after the given one.
func NextVersion(version uint64) uint64 { return version - version%versionStride + versionStride }

// Invalidator returns the identifier of the map that invalidates this one: an engine that
// has copied it can no longer arm the switch to this one.
func (m MapID) Invalidator() MapID { return MapID{Epoch: m.Epoch, Version: m.Version + 1} }

// IsInvalidator reports whether the map serves only to invalidate another one.
func (m MapID) IsInvalidator() bool { return m.Version%versionStride != 0 }
