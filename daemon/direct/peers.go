package direct

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/daemon/follow"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/process/release"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/poison"
)

// peerObserver updates the peer table from the rows by which entries register
// themselves.
type peerObserver struct {
	entry *Entry
	log   *logrus.Entry
}

// OnSnapshot implements follow.Observer.
func (o *peerObserver) OnSnapshot(rows []platform.Row) { o.OnChanges(rows) }

// OnChanges implements follow.Observer.
func (o *peerObserver) OnChanges(rows []platform.Row) {
	for _, row := range rows {
		if row.Deleted {
			o.entry.peers.Remove(row.Key)
			o.entry.dispatcher.SetPeerLoad(row.Key, nil, o.entry.clock.Now())
			o.entry.dispatcher.DropPeerDemand(row.Key, o.entry.clock.Now())
			continue
		}
		peer, err := platform.DecodePeer(row)
		if err != nil {
			o.log.WithError(err).Warn("registration of an entry cannot be decoded")
			continue
		}
		o.entry.peers.Register(peer, o.entry.clock.Now())
	}
}

// OnStoreLost implements follow.Observer.
func (o *peerObserver) OnStoreLost() {}

// OnStoreRegained implements follow.Observer.
func (o *peerObserver) OnStoreRegained() {}

// heartbeater sends heartbeats to the other entries and receives theirs. It also
// receives the slowdown reports of agents.
type heartbeater struct {
	entry  *Entry
	socket *net.UDPConn
	log    *logrus.Entry

	// mu guards the fields below and makes heartbeats leave in the order of their
	// sequence numbers. Locks of the entry's parts are taken under it.
	mu sync.Mutex
	// sequence is the sequence number of the last heartbeat sent.
	sequence uint64
	// ticks counts the heartbeat intervals.
	ticks int
	// restrictedSent is when a heartbeat last reported the crashes of restricted requests.
	restrictedSent time.Time
}

// datagram is the format of all datagrams that entries receive.
type datagram struct {
	presence.Datagram
	// Evidence reports target crashes and clearances; nil for none.
	Evidence *poison.Evidence `cbor:"6,keyasint,omitempty"`
	// Changes are those of a table of the store that the sender follows for the receiver;
	// nil for none.
	Changes *follow.Batch `cbor:"14,keyasint,omitempty"`
	// ConfigurationRequest asks for the configuration in force, ConfigurationPart is a part of it; nil for none.
	ConfigurationRequest *configurationRequest `cbor:"18,keyasint,omitempty"`
	ConfigurationPart    *configurationPart    `cbor:"19,keyasint,omitempty"`
}

const (
	// maxEvidenceItems is the maximum number of crashes, and also of clearances, in a
	// heartbeat; it reports the newest ones.
	maxEvidenceItems = 3
	// evidenceSpan is how long after a crash or clearance every heartbeat reports it. Each
	// also reports one crash of all, in turn, for entries that have started since.
	evidenceSpan = 2 * time.Second
	// restrictedInterval is the time between two heartbeats that also report the older
	// crashes of requests that do not run freely. An entry that has started since must know
	// of them within settings.Bounds.Contact, though a few datagrams are lost.
	restrictedInterval = 500 * time.Millisecond
	// maxRestrictedCrashes is the maximum number of these crashes in one heartbeat.
	maxRestrictedCrashes = 32
)

// evidence returns the crashes and clearances to report in the next heartbeat; nil for
// none.
func (h *heartbeater) evidence(now time.Time) *poison.Evidence {
	evidence := h.entry.poison.Recent(maxEvidenceItems, evidenceSpan)
	evidence.Append(h.entry.poison.NextCrash())
	if now.Sub(h.restrictedSent) >= restrictedInterval {
		h.restrictedSent = now
		evidence.Append(h.entry.poison.Restricted(maxRestrictedCrashes))
	}
	if evidence.IsEmpty() {
		return nil
	}
	return &evidence
}

// tick sends heartbeats once per heartbeatInterval, or less often if there are many entries:
// their total number grows with the square of that of the entries.
func (h *heartbeater) tick() {
	h.mu.Lock()
	h.ticks++
	due := h.ticks%heartbeatIntervals(1+len(h.entry.peers.Names())) == 0
	h.mu.Unlock()
	if due {
		h.send()
	}
}

// sendOnChange sends a heartbeat whenever the entry has news for its peers, until ctx is done.
func (h *heartbeater) sendOnChange(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.entry.newsForPeers:
			h.send()
		}
	}
}

// heartbeatIntervals returns the number of heartbeat intervals between two heartbeats.
func heartbeatIntervals(entries int) int {
	return min((entries+entriesPerInterval-1)/entriesPerInterval, maxHeartbeatIntervals)
}

// send sends one heartbeat to each peer. A lost heartbeat is not sent again: the next
// one replaces it.
func (h *heartbeater) send() {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entry
	now := e.clock.Now()
	h.sendToAll(datagram{Evidence: h.evidence(now)}, e.dispatcher.Limits(now), nil)
	for _, name := range e.peers.Dead(now) {
		e.dispatcher.SetPeerLoad(name, nil, now)
		e.dispatcher.SetPeerTokens(name, nil, now)
		e.dispatcher.DropPeerDemand(name, now)
	}
	e.setProcesses()
	census := release.NewCensus(append(e.peers.Releases(now), e.release))
	e.builds.Update(census)
	e.storeWatch.update(e.peers.Ready(now))
	e.compact.update(census, e.storeWatch.liveEntries())
}

// heartbeat returns the next heartbeat. The caller holds mu.
func (h *heartbeater) heartbeat(limits []presence.TargetLimit) presence.Heartbeat {
	e := h.entry
	h.sequence++
	return presence.Heartbeat{
		Peer: e.self, Ready: e.ready(), Leaving: e.leaving.Load(), Load: e.dispatcher.Load(), Sequence: h.sequence, Store: e.storeWatch.status(),
		Leavings: e.dispatcher.Leavings(e.clock.Now()), Limits: limits, Release: e.release,
		Capacity: e.steering.capacity(), Tokens: e.dispatcher.Tokens(), Demand: e.dispatcher.Demand(e.clock.Now()),
		DomainsOut: e.operator.missing(),
	}
}

// sendToAll sends a heartbeat with the given limits, and with the other parts of the datagram,
// to all peers but some: in compact form to those that are alive, if that is due. The caller
// holds mu.
func (h *heartbeater) sendToAll(message datagram, limits []presence.TargetLimit, except []string) {
	now := h.entry.clock.Now()
	message.Heartbeat = h.heartbeat(limits)
	alive, others := h.entry.peers.SplitAddresses(now, except)
	if !h.entry.compact.next() {
		alive, others = nil, append(alive, others...)
	}
	if len(alive) > 0 {
		encoded, err := h.entry.compact.encode(message, now)
		h.write(encoded, err, alive, "compact")
	}
	if len(others) > 0 {
		encoded, err := cbor.Marshal(message)
		h.write(encoded, err, others, "full")
	}
}

// sendMessage sends a message to a peer, with a heartbeat: releases that do not know it take every datagram
// for one.
func (h *heartbeater) sendMessage(address string, message datagram) {
	h.mu.Lock()
	defer h.mu.Unlock()
	message.Heartbeat = h.heartbeat(nil)
	encoded, err := cbor.Marshal(message)
	h.write(encoded, err, []string{address}, "full")
}

// sendTo sends a heartbeat with the given limits to a peer. The caller holds mu.
func (h *heartbeater) sendTo(address string, limits []presence.TargetLimit) {
	encoded, err := cbor.Marshal(datagram{Datagram: presence.Datagram{Heartbeat: h.heartbeat(limits)}})
	h.write(encoded, err, []string{address}, "full")
}

// write sends an encoded datagram, unless encoding it failed.
func (h *heartbeater) write(encoded []byte, err error, addresses []string, form string) {
	if err != nil {
		h.log.WithError(err).Error("heartbeat cannot be encoded")
		return
	}
	h.entry.compact.sentBytes.WithLabelValues(form).Add(float64(len(encoded) * len(addresses)))
	for _, address := range addresses {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			h.log.WithError(err).WithField("peer", address).Debug("peer address cannot be parsed")
			continue
		}
		if _, err := h.socket.WriteToUDPAddrPort(encoded, to); err != nil {
			h.log.WithError(err).WithField("peer", address).Debug("sending the heartbeat failed")
		}
	}
}

// maxLimitsAtStart is the maximum number of limits in a datagram to an entry that has started.
const maxLimitsAtStart = 32

// sendLimits sends all limits that targets have told this entry to a peer that has started. It
// sends a full heartbeat in any case if the next ones are compact.
func (h *heartbeater) sendLimits(peer presence.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	limits := h.entry.dispatcher.AllLimits(h.entry.clock.Now())
	for chunk := range slices.Chunk(limits, maxLimitsAtStart) {
		h.sendTo(peer.PeerAddress, chunk)
	}
	if len(limits) == 0 && h.entry.compact.allowed {
		h.sendTo(peer.PeerAddress, nil)
	}
}

// forwardChanges sends changes of a table to the entries that do not follow it, each batch
// with a heartbeat, since releases without changes take every datagram for one.
func (h *heartbeater) forwardChanges(changes []follow.Batch, pollers []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range changes {
		h.sendToAll(datagram{Changes: &changes[i]}, nil, pollers)
	}
}

// setProcesses updates the parts of this entry in the limits that apply to all entries
// together.
func (e *Entry) setProcesses() {
	processes := dispatch.NewProcesses(e.self.Name, e.peers.Names())
	e.processes.Store(&processes)
	e.dispatcher.SetProcesses(processes)
	e.budgets.setEntries(processes.Count())
	e.targets.setProcesses(processes.Count())
}
