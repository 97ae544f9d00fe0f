// Package presence tracks which other processes of the same kind are alive, by
// the heartbeats that they send to each other. The caller passes in the time.
//
// Lock order: PeerTable.mu is a leaf lock.
package presence

import (
	"maps"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/process/release"
)

// Peer is the registration of a process. It is immutable.
type Peer struct {
	Name string
	// Incarnation identifies one start of the process.
	Incarnation uint64
	// CallerAddress accepts requests, PeerAddress heartbeats.
	CallerAddress, PeerAddress string
	FailureDomain              string
}

// Valid reports whether the peer has a name and an address for heartbeats, without which it
// would count among the processes that share limits but could never be heard of.
func (p Peer) Valid() bool {
	address, err := netip.ParseAddrPort(p.PeerAddress)
	return p.Name != "" && err == nil && address.Port() != 0
}

// Heartbeat is what a process sends to its peers several times a second.
type Heartbeat struct {
	Peer Peer `cbor:"1,keyasint,omitzero"`
	// Ready is set when callers may be directed to the process.
	Ready bool `cbor:"2,keyasint,omitzero"`
	// Leaving is set when the process is about to exit.
	Leaving bool `cbor:"3,keyasint,omitzero"`
	// Load is the number of requests of the process at each target, by target ID.
	Load map[string]int `cbor:"4,keyasint,omitzero"`
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64 `cbor:"5,keyasint"`
	// Store is what the process knows of the platform's store.
	Store StoreStatus `cbor:"8,keyasint,omitzero"`
	// Leavings are targets that told the process that they leave.
	Leavings []TargetLeaving `cbor:"9,keyasint,omitempty"`
	// Release is the build of the process and the versions of datagrams that it speaks.
	Release release.Info `cbor:"10,keyasint,omitzero"`
	// Limits are what targets told the process of how many requests they take.
	Limits []TargetLimit `cbor:"11,keyasint,omitempty"`
	// Demand is what the process has to serve, by service and urgency.
	Demand []ServiceDemand `cbor:"12,keyasint,omitempty"`
	// Tokens is by how many units of 1,024 tokens the requests of the process at each target,
	// by target ID, exceed their shares of its memory; see request/dispatch/tokens.go.
	Tokens map[string]int `cbor:"13,keyasint,omitempty"`
	// PackedLoad is the load as PackLoad encodes it, in place of Load.
	PackedLoad []byte `cbor:"15,keyasint,omitempty"`
	// Capacity is how much the process can serve.
	Capacity Capacity `cbor:"16,keyasint,omitzero"`
	// DomainsOut are failure domains that the process keeps out of service although the store, which was
	// restored from an older copy, does not say so.
	DomainsOut []string `cbor:"17,keyasint,omitempty"`
}

// ServiceDemand is what a process has to serve of one urgency of a service.
type ServiceDemand struct {
	Service string `cbor:"1,keyasint"`
	Urgency int    `cbor:"2,keyasint"`
	// PerSecond is the number of requests that arrive per second, Waiting how many wait for a
	// target that can still be served in time.
	PerSecond float32 `cbor:"3,keyasint"`
	Waiting   int     `cbor:"4,keyasint,omitempty"`
}

// Capacity is how much a process can serve and does; zero if it does not state it.
type Capacity struct {
	Millicores uint32 `cbor:"1,keyasint,omitempty"`
	// BusyPercent is the part of it that is in use, or BusyUnknown.
	BusyPercent uint8 `cbor:"2,keyasint,omitempty"`
}

// BusyUnknown is the value of Capacity.BusyPercent of a process that cannot measure it.
const BusyUnknown = 255

// Versions is the versions of the datagrams between entries that this build speaks. Version 2
// adds heartbeats without what peers know already.
var Versions = release.Range{Min: 1, Max: 2}

// TargetLeaving reports that an incarnation of a target said that it leaves.
type TargetLeaving struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// AgeMillis is how long ago it said so, by the sender's clock.
	AgeMillis int64 `cbor:"3,keyasint"`
}

// NewTargetLeaving returns the report of a target that said age ago that it leaves.
func NewTargetLeaving(target, incarnation string, age time.Duration) TargetLeaving {
	return TargetLeaving{Target: target, Incarnation: incarnation, AgeMillis: age.Milliseconds()}
}

// maxAge bounds the ages in heartbeats, whose conversion would overflow otherwise. It is longer
// than anything is remembered.
const maxAge = 24 * time.Hour

// parseAge converts an age from the wire, which may be any number, to one from 0 to maxAge.
func parseAge(millis int64) time.Duration {
	return time.Duration(min(max(millis, 0), maxAge.Milliseconds())) * time.Millisecond
}

// Age returns how long ago the target said so; never negative.
func (l TargetLeaving) Age() time.Duration { return parseAge(l.AgeMillis) }

// TargetLimit reports how many requests a second an incarnation of a target said that it
// takes from all processes together.
type TargetLimit struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// PerSecond is the limit, unless Lifted says that the target names none any more.
	PerSecond float64 `cbor:"3,keyasint"`
	Lifted    bool    `cbor:"4,keyasint,omitempty"`
	// AgeMillis is how long ago it said so, by the sender's clock.
	AgeMillis int64 `cbor:"5,keyasint"`
}

// Age returns how long ago the target said so; never negative.
func (l TargetLimit) Age() time.Duration { return parseAge(l.AgeMillis) }

// StoreStatus is what a process knows of the platform's store.
type StoreStatus struct {
	// OperatorChange and TargetsChange are the store's versions at the latest changes of
	// the operator's table and of the table of targets that the process knows.
	OperatorChange uint64 `cbor:"1,keyasint"`
	TargetsChange  uint64 `cbor:"2,keyasint"`
	// OperatorEra and TargetsEra are the eras of these versions.
	OperatorEra uint64 `cbor:"4,keyasint,omitempty"`
	TargetsEra  uint64 `cbor:"5,keyasint,omitempty"`
	// Lost is set while the process cannot read the store.
	Lost bool `cbor:"3,keyasint,omitempty"`
	// EntriesChange is the same for the table of entries, EntriesEra its era.
	EntriesChange uint64 `cbor:"6,keyasint,omitempty"`
	EntriesEra    uint64 `cbor:"7,keyasint,omitempty"`
	// Configuration is the number of the configuration in force at the process, 0 for none.
	Configuration uint64 `cbor:"8,keyasint,omitempty"`
}

// SlowdownThreshold is the slowdown at and above which a target counts as slow.
const SlowdownThreshold = 1.2

// TargetReport is the report that a target's agent sends to entries while the target is
// slow or leaves, and again when it is neither.
type TargetReport struct {
	// Address is the address of the target.
	Address string `cbor:"1,keyasint"`
	// Slowdown is the time that the target takes divided by its usual time; 1 is usual.
	Slowdown float64 `cbor:"2,keyasint"`
	// Leaving is set if the target said that it leaves. StartedAtMillis, in milliseconds
	// since the Unix epoch, is when the incarnation that said so started.
	Leaving         bool  `cbor:"3,keyasint,omitempty"`
	StartedAtMillis int64 `cbor:"4,keyasint,omitempty"`
}

// Datagram is a message to an entry: the report of an agent if TargetReport is set,
// otherwise a heartbeat.
type Datagram struct {
	Heartbeat
	TargetReport *TargetReport `cbor:"7,keyasint,omitempty"`
}

// peerState is a peer and its last heartbeat.
type peerState struct {
	peer          Peer
	lastHeartbeat Heartbeat
	// heardAt is when the last heartbeat arrived; zero before the first one.
	heardAt time.Time
	// knownSince is when the peer became known.
	knownSince time.Time
}

// PeerTable holds the peers of a process and their state. It is safe for concurrent
// use.
type PeerTable struct {
	self string
	// timeout is how long after its last heartbeat a peer counts as alive.
	timeout time.Duration

	mu    sync.Mutex
	peers map[string]*peerState
}

// NewPeerTable returns a table for the process with the name self. A peer counts as
// dead when no heartbeat has arrived from it for longer than timeout.
func NewPeerTable(self string, timeout time.Duration) *PeerTable {
	return &PeerTable{self: self, timeout: timeout, peers: map[string]*peerState{}}
}

// Register adds or replaces the registration of a peer. A replaced peer loses its
// last heartbeat; it counts as alive again only after the next one.
func (t *PeerTable) Register(peer Peer, now time.Time) {
	if peer.Name == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.peers[peer.Name]
	if state != nil && state.peer == peer {
		return
	}
	t.peers[peer.Name] = &peerState{peer: peer, knownSince: now}
}

// Remove removes a peer whose registration has been deleted.
func (t *PeerTable) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, name)
}

// RecordHeartbeat records a heartbeat. It returns false for a heartbeat of this process
// itself, and for one that is not newer than the last of the same incarnation. A
// heartbeat of a different incarnation, also of an earlier one, is recorded.
func (t *PeerTable) RecordHeartbeat(beat Heartbeat, now time.Time) bool {
	if beat.Peer.Name == t.self {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.peers[beat.Peer.Name]
	if state == nil {
		t.peers[beat.Peer.Name] = &peerState{peer: beat.Peer, lastHeartbeat: beat, heardAt: now, knownSince: now}
		return true
	}
	if beat.Peer.Incarnation == state.lastHeartbeat.Peer.Incarnation && beat.Sequence <= state.lastHeartbeat.Sequence {
		return false
	}
	state.peer, state.lastHeartbeat, state.heardAt = beat.Peer, beat, now
	return true
}

// HasHeard reports whether a heartbeat of this incarnation of a peer has been recorded.
func (t *PeerTable) HasHeard(peer Peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.peers[peer.Name]
	return state != nil && !state.heardAt.IsZero() && state.lastHeartbeat.Peer.Incarnation == peer.Incarnation
}

// FindIncarnation returns the last heartbeat of the peer with the given incarnation; one with
// only the peer if it is known but none has been heard. It returns false if it is not known.
func (t *PeerTable) FindIncarnation(incarnation uint64) (Heartbeat, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.peers {
		if state.peer.Incarnation != incarnation {
			continue
		}
		if state.heardAt.IsZero() {
			return Heartbeat{Peer: state.peer}, true
		}
		return state.lastHeartbeat, true
	}
	return Heartbeat{}, false
}

// Addresses returns the heartbeat addresses of all peers, sorted.
func (t *PeerTable) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []string
	for _, state := range t.peers {
		all = append(all, state.peer.PeerAddress)
	}
	sort.Strings(all)
	return all
}

// SplitAddresses returns the heartbeat addresses of the peers that are alive and of the others,
// without those of the given names, sorted.
func (t *PeerTable) SplitAddresses(now time.Time, except []string) (alive, others []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, state := range t.peers {
		switch {
		case slices.Contains(except, name):
		case t.alive(state, now):
			alive = append(alive, state.peer.PeerAddress)
		default:
			others = append(others, state.peer.PeerAddress)
		}
	}
	sort.Strings(alive)
	sort.Strings(others)
	return alive, others
}

// alive reports whether a heartbeat of the peer arrived within the timeout.
func (t *PeerTable) alive(state *peerState, now time.Time) bool {
	return !state.heardAt.IsZero() && now.Sub(state.heardAt) <= t.timeout
}

// Ready returns the live peers that are ready and not leaving, sorted by name.
func (t *PeerTable) Ready(now time.Time) []Peer {
	var ready []Peer
	for _, beat := range t.ReadyHeartbeats(now) {
		ready = append(ready, beat.Peer)
	}
	return ready
}

// ReadyHeartbeats returns the last heartbeats of the live peers that are ready and not leaving,
// sorted by name.
func (t *PeerTable) ReadyHeartbeats(now time.Time) []Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ready []Heartbeat
	for _, state := range t.peers {
		if t.alive(state, now) && state.lastHeartbeat.Ready && !state.lastHeartbeat.Leaving {
			ready = append(ready, state.lastHeartbeat)
		}
	}
	sort.Slice(ready, func(i, j int) bool { return ready[i].Peer.Name < ready[j].Peer.Name })
	return ready
}

// Dead returns the names of the peers that are not alive, in no particular order.
func (t *PeerTable) Dead(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, state := range t.peers {
		if !t.alive(state, now) {
			names = append(names, name)
		}
	}
	return names
}

// Releases returns what the live peers state of their releases, in no particular order.
func (t *PeerTable) Releases(now time.Time) []release.Info {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []release.Info
	for _, state := range t.peers {
		if t.alive(state, now) {
			all = append(all, state.lastHeartbeat.Release)
		}
	}
	return all
}

// Names returns the names of all known peers, including dead ones, sorted.
func (t *PeerTable) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.peers))
}
