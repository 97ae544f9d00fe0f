package entry

import (
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// messageAnnouncement is the link message kind of an announcement.
const messageAnnouncement uint16 = 3

const (
	// announceInterval is the time between two announcements of an entry.
	announceInterval = time.Second
	// announcementTTL is how long an entry is listed by /v1/entries after its last
	// announcement.
	announcementTTL = 3 * time.Second
)

// announcement is the message by which an entry makes itself known to other entries.
type announcement struct {
	Name          string `cbor:"1,keyasint"`
	CallerAddress string `cbor:"2,keyasint"`
	FailureDomain string `cbor:"3,keyasint"`
	Leaving       bool   `cbor:"4,keyasint"`
}

// peerEntries holds the last announcement of each of the other entries.
type peerEntries struct {
	clock clockwork.Clock

	// mu guards byName; no other lock is taken under it.
	mu     sync.Mutex
	byName map[string]peerEntry
}

type peerEntry struct {
	announced  announcement
	receivedAt time.Time
}

func newPeerEntries(clock clockwork.Clock) *peerEntries {
	return &peerEntries{clock: clock, byName: map[string]peerEntry{}}
}

func (m *peerEntries) record(announced announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.byName[announced.Name] = peerEntry{announced: announced, receivedAt: m.clock.Now()}
}

// live returns the announcements that are at most announcementTTL old, sorted by
// name, and removes all others.
func (m *peerEntries) live() []announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	found := make([]announcement, 0, len(m.byName))
	for name, known := range m.byName {
		if now.Sub(known.receivedAt) > announcementTTL {
			delete(m.byName, name)
			continue
		}
		found = append(found, known.announced)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}
