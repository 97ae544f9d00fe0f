package direct

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/request/poison"
)

// datagramLimit is the longest datagram that is read.
const datagramLimit = 64 << 10

// registrations takes in the rows by which entries register themselves.
type registrations struct {
	entry *Entry
	log   *logrus.Entry
}

// Whole implements follow.Observer.
func (r *registrations) Whole(rows []platform.Row) { r.Changed(rows) }

// Changed implements follow.Observer.
func (r *registrations) Changed(rows []platform.Row) {
	for _, row := range rows {
		if row.Deleted {
			r.entry.peers.Remove(row.Key)
			continue
		}
		peer, err := platform.DecodePeer(row)
		if err != nil {
			r.log.WithError(err).Warn("registration cannot be read")
			continue
		}
		r.entry.peers.Register(peer, r.entry.clock.Now())
	}
}

// Lost implements follow.Observer.
func (r *registrations) Lost() {}

// Regained implements follow.Observer.
func (r *registrations) Regained() {}

const (
	// registerFirst and registerMost bound the pause between attempts to register.
	registerFirst = 200 * time.Millisecond
	registerMost  = 2 * time.Second
)

// register writes this entry's row until that succeeds.
func (e *Entry) register(ctx context.Context) {
	row, err := platform.EncodePeer(e.self)
	if err != nil {
		e.log.WithError(err).Error("cannot register")
		return
	}
	for pause := registerFirst; ctx.Err() == nil; pause = min(2*pause, registerMost) {
		if err = e.writeRow(ctx, row); err == nil {
			return
		}
		e.log.WithError(err).Warn("registration failed")
		select {
		case <-ctx.Done():
		case <-e.clock.After(pause):
		}
	}
}

// registerTimeout bounds one attempt to register.
const registerTimeout = time.Second

func (e *Entry) writeRow(ctx context.Context, row platform.Row) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	version, err := e.store.Apply(ctx, platform.Transaction{Writes: []platform.Row{row}})
	if err == nil {
		e.registered.Store(version)
	}
	return err
}

// unregister deletes this entry's row, unless a later start has written it anew.
func (e *Entry) unregister() {
	row, err := platform.EncodePeer(e.self)
	if err != nil || e.registered.Load() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	row.Value, row.Version = nil, e.registered.Load()
	_, err = e.store.Apply(ctx, platform.Transaction{Conditions: []platform.Row{row}, Deletes: []platform.Row{row}})
	if err != nil {
		e.log.WithError(err).Warn("registration not deleted")
	}
}

// heartbeats tells the other entries of this one, and takes in what they tell.
type heartbeats struct {
	entry  *Entry
	socket *net.UDPConn
	sent   uint64
	log    *logrus.Entry
}

// message is a datagram that entries take.
type message struct {
	presence.Datagram
	// Evidence is of crashes; nil for none.
	Evidence *poison.Evidence `cbor:"6,keyasint,omitempty"`
}

const (
	// evidenceMost is how many crashes a heartbeat tells of, the newest.
	evidenceMost = 3
	// evidenceSpan is how long each heartbeat tells of a crash. Each rareBeat-th
	// tells of older ones too, for entries that have started since.
	evidenceSpan = 2 * time.Second
	rareBeat     = 20
)

// evidence is what a heartbeat tells of crashes.
func (h *heartbeats) evidence() *poison.Evidence {
	span := evidenceSpan
	if h.sent%rareBeat == 0 {
		span = poison.DefaultRefuseFor
	}
	recent := h.entry.poison.Recent(evidenceMost, span)
	if len(recent.Crashes) == 0 && len(recent.Clearances) == 0 {
		return nil
	}
	return &recent
}

// send sends one heartbeat to each peer. A datagram that is lost is made up for
// by the next.
func (h *heartbeats) send() {
	e := h.entry
	h.sent++
	datagram, err := cbor.Marshal(message{
		Datagram: presence.Datagram{Heartbeat: presence.Heartbeat{
			Peer: e.self, Ready: e.ready(), Leaving: e.leaving.Load(), Load: e.dispatcher.Load(), Sequence: h.sent,
		}},
		Evidence: h.evidence(),
	})
	if err != nil {
		h.log.WithError(err).Error("heartbeat cannot be encoded")
		return
	}
	for _, address := range e.peers.Addresses() {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			h.log.WithError(err).WithField("peer", address).Debug("address cannot be read")
			continue
		}
		if _, err := h.socket.WriteToUDPAddrPort(datagram, to); err != nil {
			h.log.WithError(err).WithField("peer", address).Debug("heartbeat not sent")
		}
	}
	now := e.clock.Now()
	for _, name := range e.peers.NotAlive(now) {
		e.dispatcher.SetPeerLoad(name, nil, now)
	}
	e.dispatcher.SetProcesses(1 + e.peers.Count())
}

// receive takes heartbeats in until the socket is closed.
func (h *heartbeats) receive() {
	buffer := make([]byte, datagramLimit)
	for {
		n, _, err := h.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		var beat message
		if err := cbor.Unmarshal(buffer[:n], &beat); err != nil {
			h.log.WithError(err).Warn("heartbeat cannot be read")
			continue
		}
		now := h.entry.clock.Now()
		if beat.SlowdownReport != nil {
			h.slow(*beat.SlowdownReport, now)
			continue
		}
		if beat.Evidence != nil && h.entry.poison.Merge(*beat.Evidence) {
			h.log.WithField("peer", beat.Peer.Name).Info("crashes heard of")
		}
		if h.entry.peers.RecordHeartbeat(beat.Heartbeat, now) {
			h.entry.dispatcher.SetPeerLoad(beat.Peer.Name, beat.Load, now)
		}
	}
}

// slow takes in what an agent tells of the target beside it.
func (h *heartbeats) slow(slow presence.SlowdownReport, now time.Time) {
	if h.entry.dispatcher.SetSlowdown(slow.Address, slow.Slowdown, now) {
		h.log.WithFields(logrus.Fields{"address": slow.Address, "pace": slow.Slowdown}).Info("target's pace changed")
	}
}
