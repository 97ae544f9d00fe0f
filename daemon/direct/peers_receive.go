package direct

import (
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/presence"
)

// maxDatagramBytes is the maximum size of a received datagram.
const maxDatagramBytes = 64 << 10

// receiveErrorPause is the pause after an error of the socket, which may last.
const receiveErrorPause = 100 * time.Millisecond

// receive processes datagrams until the socket is closed.
func (h *heartbeater) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := h.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			h.log.WithError(err).Warn("receiving datagrams failed; trying again")
			time.Sleep(receiveErrorPause)
			continue
		}
		h.handle(buffer[:n], h.entry.clock.Now())
	}
}

// handle processes a datagram. A panic drops the datagram: what it changes are reports that the
// next ones replace, and each part of the entry is consistent when its lock is free.
func (h *heartbeater) handle(data []byte, now time.Time) {
	defer func() {
		if cause := recover(); cause != nil {
			h.log.WithFields(logrus.Fields{"panic": fmt.Sprint(cause), "stack": string(debug.Stack())}).Error("datagram dropped: its handling panicked")
		}
	}()
	h.process(data, now)
}

func (h *heartbeater) process(data []byte, now time.Time) {
	received, err := h.entry.compact.decode(data, now)
	if errors.Is(err, errUnknownSender) {
		// The sender's next full heartbeat follows.
		return
	}
	if err != nil {
		h.log.WithError(err).Warn("datagram cannot be decoded; dropped")
		return
	}
	if received.TargetReport != nil {
		h.applyTargetReport(*received.TargetReport, now)
		return
	}
	if !received.Peer.Valid() {
		h.log.WithField("peer", received.Peer.Name).Warn("heartbeat without a name or an address; dropped")
		return
	}
	if received.Changes != nil {
		h.entry.storeWatch.offer(*received.Changes)
	}
	if received.Evidence != nil && h.entry.poison.Merge(*received.Evidence) {
		h.log.WithFields(logrus.Fields{
			"peer": received.Peer.Name, "crashes": len(received.Evidence.Crashes), "clearances": len(received.Evidence.Clearances),
		}).Info("crashes heard of")
	}
	h.mergeLeavings(received.Peer.Name, received.Leavings, now)
	h.mergeLimits(received.Peer.Name, received.Limits, now)
	h.entry.operator.mergeDomainsOut(received.DomainsOut, received.Peer.Name)
	if !h.entry.peers.HasHeard(received.Peer) && received.Peer.Name != h.entry.self.Name {
		h.sendLimits(received.Peer)
	}
	if h.entry.peers.RecordHeartbeat(received.Heartbeat, now) {
		h.entry.dispatcher.SetPeerDomain(received.Peer.Name, received.Peer.FailureDomain)
		h.entry.dispatcher.SetPeerTokens(received.Peer.Name, received.Tokens, now)
		h.entry.dispatcher.SetPeerLoad(received.Peer.Name, received.Load, now)
		h.entry.dispatcher.SetPeerDemand(received.Peer.Name, received.Demand, now)
		h.entry.storeWatch.handleStatus(received.Peer.Name, received.Store)
		if number := h.entry.configurations.heard(received.Store, now); number > 0 {
			h.sendMessage(received.Peer.PeerAddress, datagram{ConfigurationRequest: &configurationRequest{Number: number}})
		}
	}
	if received.ConfigurationRequest != nil {
		h.sendConfiguration(received.Peer, *received.ConfigurationRequest)
	}
	if received.ConfigurationPart != nil {
		h.takeConfiguration(received.Peer, *received.ConfigurationPart)
	}
}

// mergeLeavings records the targets that told another entry that they leave.
func (h *heartbeater) mergeLeavings(peer string, leavings []presence.TargetLeaving, now time.Time) {
	for _, added := range h.entry.dispatcher.MergeLeavings(leavings, now) {
		h.log.WithFields(logrus.Fields{
			"target": added.Target, "incarnation": added.Incarnation, "source": peer, "age_ms": added.AgeMillis,
		}).Info("target leaves")
	}
}

// mergeLimits records the limits that targets named to another entry.
func (h *heartbeater) mergeLimits(peer string, limits []presence.TargetLimit, now time.Time) {
	for _, changed := range h.entry.dispatcher.MergeLimits(limits, now) {
		log := h.log.WithFields(logrus.Fields{
			"target": changed.Target, "incarnation": changed.Incarnation, "source": peer, "age_ms": changed.AgeMillis,
		})
		if changed.Lifted {
			log.Info("target no longer limits its requests")
			continue
		}
		log.WithField("per_second", changed.PerSecond).Info("target limits its requests")
	}
}

// applyTargetReport applies what an agent reports of the target on its host.
func (h *heartbeater) applyTargetReport(report presence.TargetReport, now time.Time) {
	if h.entry.dispatcher.SetSlowdown(report.Address, report.Slowdown, now) {
		h.log.WithFields(logrus.Fields{"address": report.Address, "pace": report.Slowdown}).Info("target's pace changed")
	}
	if report.Leaving {
		leaving := h.entry.dispatcher.TargetsAt(report.Address, time.UnixMilli(report.StartedAtMillis))
		h.mergeLeavings("agent of "+report.Address, leaving, now)
	}
}
