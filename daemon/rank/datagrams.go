package rank

import (
	"net/netip"
	"time"

	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// receive takes datagrams in until the socket is closed.
func (a *Agent) receive() {
	buffer := make([]byte, datagramLimit)
	for {
		n, from, err := a.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		envelope, err := rebalance.Decode(buffer[:n])
		if err != nil {
			a.log.WithError(err).WithField("from", from.String()).Warn("datagram refused")
			continue
		}
		select {
		case a.inbox <- datagram{from, envelope}:
		default:
			a.log.Warn("datagram dropped, too many wait")
		}
	}
}

// datagramLimit is the longest datagram.
const datagramLimit = 64 << 10

func (a *Agent) send(to netip.AddrPort, envelope rebalance.Envelope) {
	a.write(to, a.encode(envelope))
}

// encode returns a datagram, nil if there is none.
func (a *Agent) encode(envelope rebalance.Envelope) []byte {
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
		a.log.WithError(err).WithField("to", to.String()).Debug("message not sent")
	}
}

// take takes a datagram in.
func (a *Agent) take(received datagram) {
	now := a.clock.Now()
	envelope := received.envelope
	if envelope.Status != nil && a.planner != nil {
		a.planner.HandleStatus(*envelope.Status, received.from.Addr(), now)
	}
	if envelope.Counts != nil && a.planner != nil {
		a.planner.HandleCounts(*envelope.Counts, now)
	}
	if envelope.Directive != nil {
		a.follow(*envelope.Directive, received.from, now)
	}
	if envelope.Part != nil {
		a.assembly.Add(*envelope.Part)
	}
	if envelope.Delta != nil {
		a.assembly.AddDelta(*envelope.Delta)
	}
	if envelope.Vote != nil && a.driver != nil {
		a.driver.Receive(now, *envelope.Vote)
	}
}

// follow takes a directive in. That of a lower rank goes before that of a higher
// one while both plan.
func (a *Agent) follow(directive rebalance.Directive, from netip.AddrPort, now time.Time) {
	last := a.engine.LastReport()
	if directive.Group != last.Group || directive.Incarnation != last.Incarnation || directive.AgentIncarnation == a.incarnation {
		return
	}
	if a.planner != nil && directive.Planner > last.Rank {
		return
	}
	old := a.directive
	if old != nil && directive.Planner > old.Planner && now.Sub(a.directiveHeard) < plannerSilence {
		return
	}
	if a.planner != nil {
		a.log.WithField("planner", directive.Planner).Info("planning left to another rank")
		a.planner = nil
	}
	a.directive, a.plannerAddress, a.directiveHeard = &directive, from, now
}

// transport sends votes to the agents of other ranks.
type transport struct{ agent *Agent }

// Send implements expertmap.Transport.
func (t transport) Send(rank int, message expertmap.Message) {
	if address, known := t.agent.addressOf(rank); known {
		t.agent.send(address, rebalance.Envelope{Vote: &message})
	}
}

// addressOf returns where a rank's agent takes datagrams, false if that is not
// known.
func (a *Agent) addressOf(rank int) (netip.AddrPort, bool) {
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
