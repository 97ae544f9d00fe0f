package follow

import (
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/platform"
)

// hintInterval is the shortest time between two polls that hints cause.
const hintInterval = 500 * time.Millisecond

// Position is how far a table is known. Processes tell each other their positions, so that
// it is enough that a few of them poll often: the others abandon a poll that the store
// has lost when they hear of a change that they do not know. It is safe for concurrent use.
type Position struct {
	// hinted is sent when a peer knows of changes that are not known here.
	hinted *broadcast

	// mu guards the fields below. The lock of hinted is acquired while it is held.
	mu sync.Mutex
	// change is the store's version at the latest known change of the table, known the
	// version up to which all changes are known. Both are of the same era.
	change, known platform.Version
	hintedAt      time.Time
}

// NewPosition returns the position before the table is read.
func NewPosition() *Position { return &Position{hinted: newBroadcast()} }

// Change returns the store's version at the latest known change of the table.
func (p *Position) Change() platform.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.change
}

// Covers reports whether the table is known up to a version. One of an earlier era no longer counts.
func (p *Position) Covers(version platform.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.covers(version)
}

// covers is Covers. The caller holds mu.
func (p *Position) covers(version platform.Version) bool {
	return version.Era < p.known.Era || version.Era == p.known.Era && version.Number <= p.known.Number
}

// Hint tells that a peer knows of a change of the table at the given version. A peer in an
// earlier era knows nothing that matters, one in a later era knows that the store was
// restored.
func (p *Position) Hint(change platform.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.covers(change) || time.Since(p.hintedAt) < hintInterval {
		return
	}
	p.hintedAt = time.Now()
	p.hinted.send()
}

// PollAgain makes the follower abandon its long poll and poll again.
func (p *Position) PollAgain() { p.hinted.send() }

// read records the rows of the whole table at a version of the store. Versions may be
// lower than before.
func (p *Position) read(rows []platform.Row, version platform.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.change, p.known = platform.Version{Era: version.Era, Number: latestChange(rows)}, version
}

// fed records changed rows and the version up to which all changes are known.
func (p *Position) fed(rows []platform.Row, version platform.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.change.Number, p.known = max(p.change.Number, latestChange(rows)), version
}

func latestChange(rows []platform.Row) uint64 {
	latest := uint64(0)
	for _, row := range rows {
		latest = max(latest, row.Version)
	}
	return latest
}
