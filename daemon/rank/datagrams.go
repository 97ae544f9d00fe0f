package rank

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// receiveErrorPause is the pause after an error of the socket, which may last.
const receiveErrorPause = 100 * time.Millisecond

// receiveDatagrams decodes and queues datagrams until the socket is closed.
func (a *Agent) receiveDatagrams() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := a.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.log.WithError(err).Warn("receiving datagrams failed; trying again")
			time.Sleep(receiveErrorPause)
			continue
		}
		envelope, err := rebalance.Decode(buffer[:n])
		if err != nil {
			a.dropped.record(dropReasonOf(err), from, err, a.clock.Now())
			continue
		}
		select {
		case a.inbox <- datagram{from, envelope}:
		default:
			a.dropped.record(dropQueueFull, from, nil, a.clock.Now())
		}
	}
}

// maxDatagramBytes is the maximum size of a received datagram.
const maxDatagramBytes = 64 << 10

func (a *Agent) send(to netip.AddrPort, envelope rebalance.Envelope) {
	a.write(to, a.encode(envelope))
}

// encode returns an encoded datagram of this agent's group, or nil if the encoding failed.
func (a *Agent) encode(envelope rebalance.Envelope) []byte {
	envelope.Group = a.identity.group
	message, err := rebalance.Encode(envelope)
	if err != nil {
		a.log.WithError(err).Error("message cannot be encoded")
		return nil
	}
	return message
}

func (a *Agent) write(to netip.AddrPort, message []byte) {
	if message == nil {
		return
	}
	if _, err := a.socket.WriteToUDPAddrPort(message, to); err != nil {
		a.log.WithError(err).WithField("to", to.String()).Debug("sending the message failed")
	}
}

// handleDatagram processes a datagram of this agent's group and drops all others.
func (a *Agent) handleDatagram(received datagram) {
	now := a.clock.Now()
	envelope := received.envelope
	if envelope.Group != a.identity.group {
		a.dropped.record(dropOtherGroup, received.from, nil, now)
		return
	}
	if envelope.Status != nil && a.planner != nil {
		a.handleStatus(*envelope.Status, received.from, now)
	}
	if envelope.Counts != nil && a.planner != nil {
		a.planner.HandleCounts(*envelope.Counts, now)
	}
	if envelope.Directive != nil {
		a.handleDirective(*envelope.Directive, received.from, now)
	}
	if envelope.Part != nil {
		a.recordMapError(a.assembly.AddPart(*envelope.Part), received.from, now)
	}
	if envelope.Delta != nil {
		a.recordMapError(a.assembly.AddDelta(*envelope.Delta), received.from, now)
	}
	if envelope.Relay != nil {
		a.handleRelay(*envelope.Relay, received.from)
	}
	if envelope.ExpertMapMessage != nil && a.driver != nil {
		a.driver.Receive(now, *envelope.ExpertMapMessage)
	}
}

// handleStatus passes the status of a rank of the group, possibly this one, to the planner.
func (a *Agent) handleStatus(status rebalance.Status, from netip.AddrPort, now time.Time) {
	a.recordInvalid(a.planner.HandleStatus(status, from.Addr(), now), from, now)
}

// recordInvalid records the error of a datagram's contents, if there is one.
func (a *Agent) recordInvalid(err error, from netip.AddrPort, now time.Time) {
	if err != nil {
		a.dropped.record(dropInvalid, from, err, now)
	}
}

// recordMapError records the error of a received map. A map whose number has two contents is
// refused, so that its planner gives it up.
func (a *Agent) recordMapError(err error, from netip.AddrPort, now time.Time) {
	a.recordInvalid(err, from, now)
	var conflict *rebalance.MapConflictError
	if !errors.As(err, &conflict) {
		return
	}
	a.preparing = preparation{mapNumber: conflict.Number, refusedMap: conflict.Number}
}

// handleDirective processes a directive of another agent of the group. While several agents plan,
// the directives of the lowest rank take precedence.
func (a *Agent) handleDirective(directive rebalance.Directive, from netip.AddrPort, now time.Time) {
	last := a.engine.LastReport()
	if directive.AgentIncarnation == a.incarnation {
		return
	}
	if a.planner != nil && directive.Planner > last.Rank {
		return
	}
	old := a.directive
	if old != nil && directive.Planner > old.Planner && now.Sub(a.directiveReceivedAt) < plannerTimeout {
		return
	}
	if a.planner != nil {
		a.log.WithField("planner", directive.Planner).Info("planning left to another rank")
		a.planner = nil
	}
	a.directive, a.plannerAddress, a.directiveReceivedAt = &directive, from, now
	a.observeMap(directive.Prepare)
	if host, known := directive.Host(directive.Planner); known {
		// The directive may have come through a relay.
		a.plannerAddress = netip.AddrPortFrom(host, a.port)
	}
}

// transport sends votes to the agents of other ranks.
type transport struct{ agent *Agent }

// Send implements expertmap.Transport.
func (t transport) Send(rank int, message expertmap.Message) {
	if address, known := t.agent.rankAddress(rank); known {
		t.agent.send(address, rebalance.Envelope{ExpertMapMessage: &message})
	}
}

// rankAddress returns the UDP address of a rank's agent, or false if it is not known.
func (a *Agent) rankAddress(rank int) (netip.AddrPort, bool) {
	directive := a.directive
	if a.planner != nil {
		own := a.planner.Directive()
		directive = &own
	}
	if directive == nil {
		return netip.AddrPort{}, false
	}
	host, known := directive.Host(rank)
	return netip.AddrPortFrom(host, a.port), known
}
