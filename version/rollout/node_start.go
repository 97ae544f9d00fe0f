package rollout

import "time"

const (
	// peerGatherTime is how long reads of the log must have failed before a
	// starting node takes the highest version among its peers.
	peerGatherTime = time.Second
	// peerOfferWait is how long a starting node waits for a peer that has the head
	// before it loads the full table from the log.
	peerOfferWait = 500 * time.Millisecond
	// startFanOut is the number of peers that a starting node pulls from at once.
	startFanOut = 16
)

// startState is the state of a node that is not ready yet.
type startState struct {
	// offers holds the versions of ready peers by name.
	offers   map[string]uint64
	nextPull time.Time
}

// becomeReadyAtHead makes the node ready if it has the head of the log, which
// includes the case of an empty log.
func (n *Node) becomeReadyAtHead(now time.Time) {
	if !n.ready && n.read.headKnown && n.version >= n.read.head {
		n.becomeReady(now)
	}
}

func (n *Node) becomeReady(now time.Time) {
	n.ready = true
	n.pulls.next = now
	n.actions = append(n.actions, BecomeReady{})
}

// tickStart pulls from peers until the node is ready and selects the source of the
// first table: a peer that has the head, the log, or, if the log cannot be read,
// the peer with the highest version.
func (n *Node) tickStart(now time.Time) {
	if n.ready {
		return
	}
	if !now.Before(n.start.nextPull) {
		n.start.nextPull = now.Add(n.jitter(pullTimeout))
		for _, peer := range n.randomPeers(startFanOut, "") {
			n.pull(now, peer)
		}
	}
	if n.fullTable.peer != "" || n.fullTable.loading {
		return
	}
	peer, offered := n.bestOffer()
	switch {
	case n.read.headKnown:
		n.startFromHead(now, peer, offered)
	case n.logFailureDuration(now) >= peerGatherTime && peer != "":
		n.startFromPeers(now, peer, offered)
	}
}

// startFromHead gets the first table while the head of the log is known.
func (n *Node) startFromHead(now time.Time, peer string, offered uint64) {
	closeToHead := n.version > 0 && n.read.head-n.version <= maxCatchUpEntries
	switch {
	case n.version >= n.read.head:
		n.becomeReady(now)
	case closeToHead:
		// Reads of the log and responses of peers deliver the remaining entries.
	case peer != "" && offered >= n.read.head:
		n.fetchFullTable(now, peer)
	case now.Sub(n.startedAt) >= peerOfferWait:
		n.loadFullTable(now)
	}
}

// startFromPeers gets the first table from the peer with the highest version.
func (n *Node) startFromPeers(now time.Time, peer string, offered uint64) {
	if n.version >= offered {
		n.becomeReady(now)
		return
	}
	n.fetchFullTable(now, peer)
}

// logFailureDuration returns how long reads of the log have been failing, or 0.
func (n *Node) logFailureDuration(now time.Time) time.Duration {
	if n.read.failingSince.IsZero() {
		return 0
	}
	return now.Sub(n.read.failingSince)
}

// bestOffer returns the peer with the highest version, and among several the first
// by name. The peer is empty if there is no offer.
func (n *Node) bestOffer() (string, uint64) {
	best, version := "", uint64(0)
	for peer, offered := range n.start.offers {
		higher := best == "" || offered > version
		if higher || offered == version && peer < best {
			best, version = peer, offered
		}
	}
	return best, version
}
