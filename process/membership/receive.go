package membership

import (
	"time"

	"verbenaseam.example/verbenaseam/process/platform"
)

// Receive handles a message from a peer and returns the messages to send.
func (p *Prober) Receive(now time.Time, peer string, body any) []OutgoingMessage {
	switch message := body.(type) {
	case Ping:
		p.applyUpdates(now, message.Updates)
		p.send(peer, KindAck, Ack{Sequence: message.Sequence, NoProgress: p.noProgress, Updates: p.updates.next(updatesPerMessage)})
	case Ack:
		p.applyUpdates(now, message.Updates)
		p.onAck(now, peer, message)
	case PingRequest:
		if p.members[message.Member] != nil {
			p.ping(now, message.Member, peer)
		}
	case IndirectAck:
		if known := p.members[message.Member]; known != nil && p.suspected[message.Member] {
			known.indirectAt = now
		}
	}
	return p.takeOutgoing()
}

// ConnectionRefused records that the address of a member refused or reset a connection
// and returns the messages to send.
func (p *Prober) ConnectionRefused(now time.Time, peer string) []OutgoingMessage {
	known := p.members[peer]
	if known == nil || known.State == Dead {
		return nil
	}
	known.refused = true
	p.suspect(now, known)
	return p.takeOutgoing()
}

// SetHosts sets the list of hosts from the settings or the live list. A host that is
// no longer listed is kept until it has been missing for unlistedTimeout and counts
// as dead.
func (p *Prober) SetHosts(now time.Time, hosts []platform.Host) {
	listed := map[string]bool{}
	for _, host := range hosts {
		listed[host.Name] = true
		if host.Name == p.self {
			continue
		}
		known := p.members[host.Name]
		if known == nil {
			known = &member{Member: Member{Name: host.Name}}
			p.members[host.Name] = known
		}
		known.unlistedSince = time.Time{}
		known.leaving = host.Leaving
		if known.State == Alive || known.State == Leaving {
			known.State = Classify(p.evidence(now, known, true, false))
		}
	}
	for name, known := range p.members {
		if listed[name] {
			continue
		}
		if known.unlistedSince.IsZero() {
			known.unlistedSince = now
		}
		p.expireUnlisted(now, known)
	}
}

// expireUnlisted marks a silent member dead, and removes a dead one, once it has been
// missing from the list for unlistedTimeout.
func (p *Prober) expireUnlisted(now time.Time, known *member) {
	if now.Sub(known.unlistedSince) < unlistedTimeout {
		return
	}
	if known.State == Dead {
		delete(p.members, known.Name)
		delete(p.suspected, known.Name)
		return
	}
	if known.State == Stalled && !known.noProgress {
		p.decide(now, known, false)
	}
}

// onAck handles an Ack that came directly from a member. It ends any suspicion of the
// member.
func (p *Prober) onAck(now time.Time, peer string, ack Ack) {
	sent, found := p.pings[ack.Sequence]
	if !found || sent.member != peer {
		return
	}
	delete(p.pings, ack.Sequence)
	known := p.members[peer]
	if sent.requestedBy != "" {
		p.send(sent.requestedBy, KindIndirectAck, IndirectAck{Member: peer})
	}
	if known == nil {
		return
	}
	p.endSuspicion(known)
	known.refused, known.noProgress = false, ack.NoProgress
	previous := known.State
	known.State = Classify(p.evidence(now, known, true, false))
	if previous != known.State && previous != CutOff {
		p.updates.add(Update{peer, known.State, known.Incarnation}, len(p.members))
	}
}

// applyUpdates applies the findings of other members. An update about this process
// is refuted.
func (p *Prober) applyUpdates(now time.Time, updates []Update) {
	for _, update := range updates {
		if update.Name == p.self {
			p.refute(update)
			continue
		}
		known := p.members[update.Name]
		if known == nil || !supersedes(update, known.Member) {
			continue
		}
		known.State, known.Incarnation = update.State, update.Incarnation
		if update.State == Leaving {
			known.leaving = true
		}
		if update.State == Alive {
			p.endSuspicion(known)
		}
		p.updates.add(update, len(p.members))
	}
}

// refute disseminates that this process is alive, under a later incarnation than that
// of the update, unless the update is accurate.
func (p *Prober) refute(update Update) {
	accurate := update.State == Alive || update.State == Leaving || update.State == Stalled && p.noProgress
	if accurate {
		return
	}
	if update.Incarnation >= p.incarnation {
		p.incarnation = update.Incarnation + 1
	}
	p.updates.add(Update{p.self, Alive, p.incarnation}, len(p.members))
}

// supersedes reports whether an update replaces the known state of a member: an update
// about a later incarnation always does, one about the same incarnation only if its
// state is more severe.
func supersedes(update Update, known Member) bool {
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	return severity(update.State) > severity(known.State)
}

// severity orders the states for supersedes; a higher value is more severe.
func severity(s State) int {
	switch s {
	case Alive, CutOff:
		return 0
	case Stalled:
		return 1
	case Leaving:
		return 2
	default:
		return 3
	}
}
