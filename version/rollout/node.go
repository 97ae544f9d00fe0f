package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/process/platform"
)

// Intervals and timeouts of the rollout.
const (
	// TickInterval is the interval at which the runtime calls Node.Tick.
	TickInterval = 100 * time.Millisecond
	// pollInterval is the interval at which a reader reads the log.
	pollInterval = 600 * time.Millisecond
	// maxReadBackoff bounds the backoff between reads while the platform fails.
	maxReadBackoff = 5 * time.Second
	// hostsInterval is the interval at which a reader reads the platform.LiveList.
	hostsInterval = 4 * time.Second
	// pullInterval is the interval between pulls from a reader.
	pullInterval = time.Second
	// relayPullInterval is the interval between pulls from a relay, which is an
	// entry host that is not a reader.
	relayPullInterval = 500 * time.Millisecond
	// pullTimeout is the time to wait for a response before trying another peer.
	pullTimeout = 400 * time.Millisecond
	// fallbackReadAfter is the confirmed age beyond which a node that is not a
	// reader reads the log itself. It is also the minimum interval of these reads,
	// and the time without a response from any peer after which a node counts as
	// isolated.
	fallbackReadAfter = 2 * time.Second
	// staleAfter is the confirmed age from which a version counts as stale. A node
	// whose version is stale probes the other failure domains and, if it is a
	// reader, pulls from peers. A node replaces an upstream whose version is stale.
	staleAfter = 1500 * time.Millisecond
	// avoidDuration is how long a peer that did not respond or is unsuitable as
	// upstream is avoided.
	avoidDuration = 5 * time.Second
	// behindGrace is the time allowed for fetching a higher version once it is
	// known.
	behindGrace = time.Second
)

const (
	// pushFanOut is the number of peers to which a node pushes a new version.
	pushFanOut = 4
	// isolatedReadsPerSecond bounds the total read rate of all isolated nodes.
	isolatedReadsPerSecond = 150
	// staleReadsPerSecond bounds the total read rate of all nodes whose peers
	// respond but are as stale as they are. The reads of the platform.LiveList by
	// all nodes that are not readers are bounded by the same rate.
	staleReadsPerSecond = 20
)

// Identity identifies a process.
type Identity struct {
	// Name is the host's name in the platform.LiveList.
	Name string
	// Role is the host's role, as in platform.Host.
	Role          string
	FailureDomain string
	// Incarnation is different at each start of the process.
	Incarnation string
}

// Node is the state machine by which one process follows the log of versions. It
// performs no I/O and reads no clock: the time is passed to each call, randomness
// comes from the given source, and side effects are returned as actions, to be
// performed in order. It is not safe for concurrent use.
type Node struct {
	self      Identity
	random    *rand.Rand
	startedAt time.Time

	version uint64
	ready   bool
	recent  recentEntries
	// confirmedAt is the latest time at which version is known to have been the
	// newest accepted one; zero if there is none.
	confirmedAt time.Time
	// observed is the highest version known to exist. observedAt is the time from
	// which behindGrace counts: when a version above the node's own was first
	// observed, or when the node's version last increased.
	observed   uint64
	observedAt time.Time

	hosts    hostList
	domainOf map[string]string
	// reader means that this node polls the log.
	reader bool
	// usesRelays means that this node prefers relays to readers as upstream.
	usesRelays bool
	// connected holds the names of the peers that messages can be sent to.
	connected []string
	// inService holds the failure domains that are not taken out of service.
	inService []string

	read      readState
	pulls     pullState
	shedder   loadShedder
	fullTable fullTableState
	start     startState
	adoption  adoptionState

	// actions collects the actions that the current call returns.
	actions []Action
}

// NewNode returns a node that has no version yet.
func NewNode(self Identity, random *rand.Rand, now time.Time) *Node {
	node := &Node{
		self:      self,
		random:    random,
		startedAt: now,
		domainOf:  map[string]string{},
		pulls:     newPullState(),
		start:     startState{offers: map[string]uint64{}},
		adoption:  newAdoptionState(),
	}
	node.read.nextHosts = now
	node.read.next = now
	return node
}

// Version returns the node's version, or 0 if it has none.
func (n *Node) Version() uint64 { return n.version }

// Ready reports whether the node has an initial version.
func (n *Node) Ready() bool { return n.ready }

// Hosts returns the newest host list.
func (n *Node) Hosts() []platform.Host { return n.hosts.hosts }

// SetConnected sets the names of the peers that messages can be sent to.
func (n *Node) SetConnected(peers []string) {
	n.connected = slices.DeleteFunc(slices.Clone(peers), func(name string) bool { return name == n.self.Name })
}

// SetInService sets the failure domains that are not taken out of service.
func (n *Node) SetInService(domains []string) { n.inService = slices.Clone(domains) }

// Tick performs periodic work. It must be called every TickInterval.
func (n *Node) Tick(now time.Time) []Action {
	n.tickHosts(now)
	n.tickStart(now)
	n.tickFullTable(now)
	n.tickRead(now)
	n.tickPull(now)
	n.tickReachability(now)
	n.tickAdoption(now)
	return n.takeActions()
}

// Receive handles a message from a peer.
func (n *Node) Receive(now time.Time, peer string, body any) []Action {
	switch message := body.(type) {
	case PullRequest:
		n.onPullRequest(now, peer, message)
	case PullResponse:
		n.onPullResponse(now, peer, message)
	case Push:
		n.onPush(now, peer, message)
	case FetchPart:
		n.actions = append(n.actions, SendPart{Peer: peer, Fetch: message})
	case Part:
		n.onPart(now, peer, message)
	case AdoptionRequest:
		n.onAdoptionRequest(now, peer, message)
	case AdoptionResponse:
		n.onAdoptionResponse(message)
	case FetchHosts:
		n.onFetchHosts(peer, message)
	case HostsUpdate:
		n.onHostsUpdate(message)
	}
	return n.takeActions()
}

// Observe handles a version that a frame from a peer carried. A version higher
// than the node's own is fetched at once.
func (n *Node) Observe(now time.Time, peer string, version uint64) []Action {
	n.noteObserved(now, version)
	if version > n.version && n.ready {
		n.pullMissing(now, peer)
	}
	return n.takeActions()
}

// HandleAccepted handles the acceptance of a version that this process itself
// appended to the log. A node that is at a lower version then reads the log at once.
func (n *Node) HandleAccepted(now time.Time, version uint64) []Action {
	n.noteObserved(now, version)
	n.read.immediate = n.version < version
	n.tickRead(now)
	return n.takeActions()
}

// ServeInput returns the input for MayServe.
func (n *Node) ServeInput(now time.Time) ServeInput {
	return ServeInput{
		Ready:         n.ready,
		Behind:        n.observed > n.version && now.Sub(n.observedAt) > behindGrace,
		ConfirmedAge:  n.confirmedAge(now),
		FailureDomain: n.self.FailureDomain,
		Reached:       n.pulls.reachedDomains(now),
		InService:     n.inService,
	}
}

// neverConfirmed is the confirmed age of a version that was never confirmed.
const neverConfirmed = 1 << 62 * time.Nanosecond

// confirmedAge returns the time since the node's version is known to have been the
// newest.
func (n *Node) confirmedAge(now time.Time) time.Duration {
	if n.confirmedAt.IsZero() {
		return neverConfirmed
	}
	return now.Sub(n.confirmedAt)
}

// noteObserved updates the highest version known to exist.
func (n *Node) noteObserved(now time.Time, version uint64) {
	if version > n.observed {
		if n.observed <= n.version {
			n.observedAt = now
		}
		n.observed = version
	}
}

// versionAdvanced records that the node's version increased. A node that is still
// behind gets a new grace period.
func (n *Node) versionAdvanced(now time.Time) {
	n.noteObserved(now, n.version)
	n.observedAt = now
}

// noteConfirmed records that a version was the newest at a given time, unless the
// node's version is lower.
func (n *Node) noteConfirmed(version uint64, at time.Time) {
	if n.version >= version && at.After(n.confirmedAt) {
		n.confirmedAt = at
	}
}

// apply applies those entries that directly follow the node's version. The
// version changes in no other way, except by a full table of a higher version.
// If push is set, the applied entries are pushed to peers other than from; this
// is for entries that are new to the sender too.
func (n *Node) apply(now time.Time, entries []Entry, from string, push bool) {
	var applied []Entry
	for _, entry := range entries {
		if entry.Version == n.version+1 {
			n.version = entry.Version
			n.recent.add(entry)
			applied = append(applied, entry)
		}
	}
	if len(applied) == 0 {
		return
	}
	n.versionAdvanced(now)
	n.actions = append(n.actions, Install{Entries: applied})
	if push {
		n.pushEntries(applied, from)
	}
}

// pushEntries sends new entries to a few random peers other than except.
func (n *Node) pushEntries(entries []Entry, except string) {
	for _, peer := range n.randomPeers(pushFanOut, except) {
		n.send(peer, KindPush, Push{Entries: entries})
	}
}

func (n *Node) onPush(now time.Time, peer string, message Push) {
	if len(message.Entries) == 0 {
		return
	}
	last := message.Entries[len(message.Entries)-1].Version
	n.noteObserved(now, last)
	n.apply(now, message.Entries, peer, true)
	if n.ready && last > n.version {
		n.pullMissing(now, peer)
	}
}

// randomPeers returns up to count random connected peers other than except, or all
// of those if at most count+1 peers are connected.
func (n *Node) randomPeers(count int, except string) []string {
	if len(n.connected) <= count+1 {
		return slices.DeleteFunc(slices.Clone(n.connected), func(name string) bool { return name == except })
	}
	picked := make([]string, 0, count)
	for attempts := 0; len(picked) < count && attempts < 4*count; attempts++ {
		peer := n.connected[n.random.IntN(len(n.connected))]
		if peer != except && !slices.Contains(picked, peer) {
			picked = append(picked, peer)
		}
	}
	return picked
}

func (n *Node) send(peer string, kind uint16, body any) {
	n.actions = append(n.actions, Send{Peer: peer, Kind: kind, Body: body})
}

// takeActions returns the collected actions and clears them.
func (n *Node) takeActions() []Action {
	actions := n.actions
	n.actions = nil
	return actions
}

// jitter returns a random duration between 0.5 and 1.5 times mean.
func (n *Node) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(n.random.Int64N(int64(mean)))
}

// smallJitter returns a random duration between 0.8 and 1.2 times mean, for
// periodic work where the longest interval matters.
func (n *Node) smallJitter(mean time.Duration) time.Duration {
	return mean*4/5 + time.Duration(n.random.Int64N(int64(mean*2/5)))
}
