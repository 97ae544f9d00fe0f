// Package presence tells which other processes of the same kind are alive, from
// the heartbeats they send to each other. Time comes in as an argument.
//
// Lock order: Table.mu is a leaf.
package presence

import (
	"sort"
	"sync"
	"time"
)

// Peer is a process that registered itself. It never changes.
type Peer struct {
	Name string
	// Incarnation names one start of the process.
	Incarnation uint64
	// CallerAddress is where it takes requests, PeerAddress where it takes
	// heartbeats.
	CallerAddress, PeerAddress string
	FailureDomain              string
}

// Heartbeat is what a process tells the others, several times a second.
type Heartbeat struct {
	Peer Peer `cbor:"1,keyasint"`
	// Ready tells that callers may be sent to it.
	Ready bool `cbor:"2,keyasint"`
	// Leaving tells that the process is about to end.
	Leaving bool `cbor:"3,keyasint"`
	// Load holds its requests at each target, by the target's id.
	Load map[string]int `cbor:"4,keyasint"`
	// Sent grows with each heartbeat of an incarnation.
	Sent uint64 `cbor:"5,keyasint"`
}

// SlowPace is the pace from which on a target counts as slow.
const SlowPace = 1.2

// Slow is what the agent beside a target tells entries while the target is slow, and
// once it is not.
type Slow struct {
	// Address is the target's.
	Address string `cbor:"1,keyasint"`
	// Pace is how much longer than usual the target takes; 1 is as usual.
	Pace float64 `cbor:"2,keyasint"`
}

// Datagram is what entries take: a heartbeat, or what an agent tells.
type Datagram struct {
	Heartbeat
	Slow *Slow `cbor:"7,keyasint,omitempty"`
}

// known is what is known of one peer.
type known struct {
	peer  Peer
	last  Heartbeat
	heard time.Time
	// since is when the peer became known.
	since time.Time
}

// Table holds the peers of a process. It is safe for concurrent use.
type Table struct {
	own string
	// silence is how long a live peer may be silent.
	silence time.Duration

	mu    sync.Mutex
	peers map[string]*known
}

// NewTable returns a table for the process with the name; a peer that is silent
// for longer than silence counts as dead.
func NewTable(own string, silence time.Duration) *Table {
	return &Table{own: own, silence: silence, peers: map[string]*known{}}
}

// Registered takes in a peer's registration. One that was just written counts as
// a sign of life.
func (t *Table) Registered(peer Peer, now time.Time) {
	if peer.Name == t.own {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.peers[peer.Name]
	if old != nil && old.peer == peer {
		return
	}
	t.peers[peer.Name] = &known{peer: peer, since: now}
}

// Removed takes in that a peer's registration is gone.
func (t *Table) Removed(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, name)
}

// Heard takes in a heartbeat. It returns false for one that is older than the
// last, or comes from an earlier incarnation than the registered one.
func (t *Table) Heard(beat Heartbeat, now time.Time) bool {
	if beat.Peer.Name == t.own {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.peers[beat.Peer.Name]
	if old == nil {
		t.peers[beat.Peer.Name] = &known{peer: beat.Peer, last: beat, heard: now, since: now}
		return true
	}
	if beat.Peer.Incarnation == old.last.Peer.Incarnation && beat.Sent <= old.last.Sent {
		return false
	}
	old.peer, old.last, old.heard = beat.Peer, beat, now
	return true
}

// Addresses returns where heartbeats go, in order.
func (t *Table) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []string
	for _, one := range t.peers {
		all = append(all, one.peer.PeerAddress)
	}
	sort.Strings(all)
	return all
}

// alive tells whether the peer was heard of lately.
func (t *Table) alive(one *known, now time.Time) bool {
	return !one.heard.IsZero() && now.Sub(one.heard) <= t.silence
}

// Ready returns the live peers that take callers, in the order of their names.
func (t *Table) Ready(now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ready []Peer
	for _, one := range t.peers {
		if t.alive(one, now) && one.last.Ready && !one.last.Leaving {
			ready = append(ready, one.peer)
		}
	}
	sort.Slice(ready, func(i, j int) bool { return ready[i].Name < ready[j].Name })
	return ready
}

// Silent returns the names of the peers that are not alive.
func (t *Table) Silent(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, one := range t.peers {
		if !t.alive(one, now) {
			names = append(names, name)
		}
	}
	return names
}

// Count returns how many peers are registered, dead ones too.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}
