package expertmap

// An engine that numbers its maps keeps a map's number and a step, and no more;
// map and proposal are told from these, so that an agent finds its promise again
// after a restart.

const (
	// versionBits is the part of a map's number that holds its version.
	versionBits = 20
	// stepBits is the part of a proposal's sequence that holds its step.
	stepBits = 40
)

// Number returns the map's number, which grows with epoch and version.
func (m MapID) Number() uint64 { return m.Epoch<<versionBits | m.Version }

// MapOf returns the map with a number.
func MapOf(number uint64) MapID {
	return MapID{Epoch: number >> versionBits, Version: number & (1<<versionBits - 1)}
}

// ProposalOf names the proposal to switch to a map at a step.
func ProposalOf(to MapID, step uint64) ProposalID {
	return ProposalID{Epoch: to.Epoch, Sequence: to.Version<<stepBits | step}
}

// Target returns the map and the step of a proposal that ProposalOf named.
func (p ProposalID) Target() (to MapID, step uint64) {
	return MapID{Epoch: p.Epoch, Version: p.Sequence >> stepBits}, p.Sequence & (1<<stepBits - 1)
}

// versionStride is the distance between the versions that planners give: the one
// between belongs to the map that makes the earlier one void.
const versionStride = 2

// NextVersion returns the version of the map after one of the given version.
func NextVersion(version uint64) uint64 { return version - version%versionStride + versionStride }

// Void returns the map whose copying makes this one impossible to arm.
func (m MapID) Void() MapID { return MapID{Epoch: m.Epoch, Version: m.Version + 1} }

// IsVoid tells whether the map only makes another one impossible to arm.
func (m MapID) IsVoid() bool { return m.Version%versionStride != 0 }
