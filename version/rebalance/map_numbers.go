package rebalance

import "verbenaseam.example/verbenaseam/version/expertmap"

// mapNumbers gives out the numbers of the maps of one planner. A number must never be given
// out twice in an incarnation of a group: agents and engines would take two maps for one.
//
// What ranks report is not enough for that: a planner that was restarted, and one that left
// planning and took it up again, may know of no rank that was told to copy a map. So before
// it numbers maps in an epoch, a planner claims the epoch: the engine of its own rank must
// accept the lowest number of the epoch. Engines accept only numbers above all that they
// have accepted before, and keep that over restarts of their agents, so that an epoch is
// claimed once. Epochs of different ranks differ in their rank bits.
type mapNumbers struct {
	rank int
	// epoch is the epoch that was claimed last, or is to be claimed; 0 for none.
	epoch uint64
	// sent is set once the engine may have been told to accept the claim, claimed once it
	// has.
	sent, claimed bool
	// version is that of the latest map of the epoch.
	version uint64
	// highest is the highest map number that is known of any rank.
	highest uint64
	// distance is how many epochs of a rank the next one lies above the highest known one,
	// less one.
	distance uint64
}

const (
	// rankBits is the number of low bits of an epoch that hold the planner's rank.
	rankBits = 12
	// claimVersion is the version of the map that claims an epoch. The versions below are
	// those of planners of releases that claim no epochs.
	claimVersion = 1<<19 + 1
	// maxVersion is the highest version of a map in an epoch.
	maxVersion = 1<<20 - 4
	// maxEpochCount is the highest number in the bits of an epoch above its rank bits that
	// planners come to. Ranks that report a higher one are not believed.
	maxEpochCount = 1 << 31
	// maxDistance bounds mapNumbers.distance.
	maxDistance = 1 << 12
)

// observe takes a map number that a rank knows of.
func (n *mapNumbers) observe(number uint64) {
	if expertmap.MapIDFromNumber(number).Epoch>>rankBits < maxEpochCount {
		n.highest = max(n.highest, number)
	}
}

// observeEpoch takes an epoch that a rank knows of.
func (n *mapNumbers) observeEpoch(epoch uint64) {
	if epoch>>rankBits < maxEpochCount {
		n.observe(expertmap.MapID{Epoch: epoch}.Number())
	}
}

// claimNumber returns the number that claims the epoch.
func (n *mapNumbers) claimNumber() uint64 {
	return expertmap.MapID{Epoch: n.epoch, Version: claimVersion}.Number()
}

// usable reports whether the epoch is claimed and all ranks accept its next number.
func (n *mapNumbers) usable() bool {
	return n.claimed && expertmap.MapIDFromNumber(n.highest).Epoch <= n.epoch && n.version < maxVersion
}

// claim returns the number that the engine of the planner's rank is to accept next; 0 for none.
// prepared is the number that this engine reports as prepared.
func (n *mapNumbers) claim(prepared uint64) uint64 {
	if n.sent && prepared == n.claimNumber() {
		n.claimed = true
	}
	if n.usable() {
		return 0
	}
	n.observe(prepared)
	highest := expertmap.MapIDFromNumber(n.highest).Epoch
	if n.epoch == 0 || n.claimed || highest > n.epoch || highest == n.epoch && !n.sent {
		n.chooseEpoch()
	}
	return n.claimNumber()
}

// chooseEpoch chooses an epoch above all known ones, which is not claimed yet.
func (n *mapNumbers) chooseEpoch() {
	highest := max(expertmap.MapIDFromNumber(n.highest).Epoch, n.epoch)
	n.epoch = (highest>>rankBits+1+n.distance)<<rankBits | uint64(n.rank)
	n.version = claimVersion
	n.sent, n.claimed = false, false
}

// claimSent records that the engine may accept the claim from now on.
func (n *mapNumbers) claimSent() { n.sent = true }

// refused records that a rank accepts no number of the epoch, because it has accepted higher
// ones that nobody reports. The next epoch lies further above.
func (n *mapNumbers) refused() {
	n.distance = min(2*n.distance+1, maxDistance)
	n.chooseEpoch()
}

// accepted records that all ranks have accepted a number.
func (n *mapNumbers) accepted() { n.distance = 0 }

// next returns the ID of the next map. The epoch must be usable.
func (n *mapNumbers) next() expertmap.MapID {
	n.version = expertmap.NextVersion(n.version)
	return expertmap.MapID{Epoch: n.epoch, Version: n.version}
}
