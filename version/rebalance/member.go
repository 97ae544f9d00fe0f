package rebalance

import (
	"net/netip"
	"time"
)

// member is the planner's view of a rank.
type member struct {
	status Status
	host   netip.Addr
	// receivedAt is when the status arrived.
	receivedAt time.Time
	// held lists, by layer, the experts that the map in use assigns to the rank; nil
	// if not known.
	held [][]int
	// needsFullMap is set if the rank did not copy a map in time. It gets the next one in
	// full: the map that it applies deltas to may be another one than the planner's.
	needsFullMap bool
}

// hasPrepared reports whether the rank has copied a map with these contents. Ranks of releases
// that do not state the contents are believed.
func (m *member) hasPrepared(number, sum uint64) bool {
	return m.status.Prepared == number && (m.status.PreparedSum == sum || m.status.PreparedSum == 0)
}

// contradicts reports whether the rank uses another map than the one with this number and
// these contents.
func (m *member) contradicts(number, sum uint64) bool {
	return m.status.Running != number || m.status.RunningSum != sum && m.status.RunningSum != 0
}
