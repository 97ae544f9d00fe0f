package expertmap

import (
	"slices"
	"time"
)

// consider casts the agent's one vote on a proposal it has not met: it asks the
// engine to hold, or refuses. It returns nil, and keeps no record, for the
// proposal that brought the current map, for those before it, and for those that
// ask an earlier incarnation: had that promised, the engine or the others would
// have told, so it can be counted on to have refused. A proposal that does not
// say whom it asks comes from an agent that found it in its engine; the refusal
// is kept, since the same proposal may yet come whole.
func (a *Agent) consider(now time.Time, proposal Proposal, leads bool, out *Output) *record {
	if !a.installed.Less(proposal.ID) || a.brought(proposal) {
		return nil
	}
	asks := a.asks(proposal)
	if !asks && len(proposal.Agents) > 0 {
		return nil
	}
	if !asks || !a.mayPromise(proposal) {
		a.see(proposal.ID)
		refused := a.remember(proposal, asking)
		refused.applied = true
		a.end(refused, aborted, out)
		return refused
	}
	a.see(proposal.ID)
	asked := a.remember(proposal, asking)
	if leads && proposal.Kept {
		asked.state = waiting
		return asked
	}
	out.Actions = append(out.Actions, Action{Kind: ActionHold, Proposal: proposal})
	return asked
}

// brought tells whether the proposal brought the current map. An engine without
// holds keeps the map alone.
func (a *Agent) brought(proposal Proposal) bool {
	if a.installed == (ProposalID{}) {
		return proposal.To == a.current
	}
	return proposal.ID == a.installed
}

// asks tells whether the proposal asks this incarnation of the agent.
func (a *Agent) asks(proposal Proposal) bool {
	if len(proposal.Agents) != a.size {
		return false
	}
	return proposal.Agents[a.rank] == a.config.Incarnation
}

// mayPromise applies the rules that need no engine. The engine adds its own: it
// holds only for a step it has not started.
func (a *Agent) mayPromise(proposal Proposal) bool {
	if proposal.ID.Epoch < a.epoch {
		return false
	}
	if !a.floor.Less(proposal.ID) {
		return false
	}
	if a.Undecided() != nil {
		return false
	}
	if a.unapplied() {
		return false
	}
	return proposal.From == a.current
}

// unapplied tells whether the engine has yet to take the end of a proposal. A
// promise made now might share its hold, which then goes with the earlier one.
func (a *Agent) unapplied() bool {
	return slices.ContainsFunc(a.records, func(known *record) bool {
		return known.decision() != Undecided && !known.applied
	})
}

// promise records that the engine holds, and tells all who asked.
func (a *Agent) promise(now time.Time, asked *record, out *Output) {
	asked.state = promised
	asked.promises[a.rank] = true
	if asked.proposal.keptBy(a.rank) {
		asked.leads = true
		asked.withdrawAt = now.Add(a.config.Patience)
		a.poll(asked, out)
	}
	if asked.pollAt.IsZero() {
		asked.pollAt = now.Add(a.patience())
	}
	for rank, poller := range asked.pollers {
		if poller != 0 {
			out.Messages = append(out.Messages, a.promiseTo(rank, poller, asked.proposal.ID))
		}
	}
	clear(asked.pollers)
	a.count(asked, out)
}

func (a *Agent) receivePoll(now time.Time, message Message, out *Output) {
	if message.Proposal == nil || !a.concerns(message.Proposal.Group) || a.recall != nil {
		return
	}
	proposal := *message.Proposal
	found := a.find(proposal.ID)
	if found == nil {
		found = a.consider(now, proposal, false, out)
	}
	if found != nil && found.state == waiting && found.proposal.keptBy(message.From) {
		found.state = asking
		out.Actions = append(out.Actions, Action{Kind: ActionHold, Proposal: found.proposal})
	}
	switch {
	case found == nil && a.brought(proposal):
		out.Messages = append(out.Messages, a.outcome(message.From, proposal.ID, Commit))
	case found == nil:
		out.Messages = append(out.Messages, a.outcome(message.From, proposal.ID, Abort))
	case found.state == asking || found.state == waiting:
		found.pollers[message.From] = message.Agent
	case found.state == promised:
		out.Messages = append(out.Messages, a.promiseTo(message.From, message.Agent, proposal.ID))
	default:
		out.Messages = append(out.Messages, a.outcome(message.From, proposal.ID, found.decision()))
	}
}

func (a *Agent) receivePromise(message Message, out *Output) {
	found := a.find(message.ID)
	if found == nil || found.decision() != Undecided {
		return
	}
	if message.Peer != a.config.Incarnation || a.fenced(message) {
		return
	}
	found.promises[message.From] = true
	if found.state == waiting && found.proposal.keptBy(message.From) {
		ready := a.message(KindReady, message.From, message.ID)
		ready.Peer = message.Agent
		out.Messages = append(out.Messages, ready)
	}
	a.count(found, out)
}

// count commits once every rank has promised, and tells the others.
func (a *Agent) count(known *record, out *Output) {
	if known.state != promised {
		return
	}
	missing := 0
	for _, seen := range known.promises {
		if !seen {
			missing++
		}
	}
	if missing > 0 {
		return
	}
	a.end(known, committed, out)
	a.tellAll(known, out)
}

func (a *Agent) receiveOutcome(message Message, out *Output) {
	found := a.find(message.ID)
	if found == nil || found.decision() != Undecided {
		return
	}
	switch {
	case message.Decision == Abort:
		a.end(found, aborted, out)
		if found.leads {
			a.tellAll(found, out)
		}
	case message.Decision == Commit && found.state == promised:
		a.end(found, committed, out)
	}
}

// end makes the end known to the engine and to those who wait for the vote.
func (a *Agent) end(known *record, ending state, out *Output) {
	promisedBefore := known.state == promised
	known.applied = known.applied || known.state == waiting
	known.state = ending
	id := known.proposal.ID
	out.Ended = append(out.Ended, Ended{ID: id, Decision: known.decision()})
	if ending == committed {
		a.current, a.installed = known.proposal.To, id
		out.Actions = append(out.Actions, Action{Kind: ActionSwitch, Proposal: known.proposal})
	} else if promisedBefore && known.proposal.keptBy(a.rank) {
		a.beginGather(known, out)
	} else if !known.applied {
		out.Actions = append(out.Actions, Action{Kind: ActionRelease, Proposal: known.proposal})
	}
	for rank, poller := range known.pollers {
		if poller != 0 {
			out.Messages = append(out.Messages, a.outcome(rank, id, known.decision()))
		}
	}
	clear(known.pollers)
}

// poll asks every rank whose promise was not seen.
func (a *Agent) poll(known *record, out *Output) {
	for rank := range a.size {
		if rank == a.rank || !a.asksFor(known, rank) {
			continue
		}
		message := a.message(KindPoll, rank, known.proposal.ID)
		proposal := known.proposal
		message.Proposal = &proposal
		out.Messages = append(out.Messages, message)
	}
}

func (a *Agent) tellAll(known *record, out *Output) {
	for rank := range a.size {
		if rank != a.rank {
			out.Messages = append(out.Messages, a.outcome(rank, known.proposal.ID, known.decision()))
		}
	}
}

func (a *Agent) message(kind Kind, to int, id ProposalID) Message {
	return Message{
		Kind: kind, Group: a.group, From: a.rank, To: to, ID: id,
		Agent: a.config.Incarnation,
	}
}

// promiseTo answers the poll of one incarnation of a rank's agent.
func (a *Agent) promiseTo(to int, peer uint64, id ProposalID) Message {
	message := a.message(KindPromise, to, id)
	message.Peer = peer
	return message
}

func (a *Agent) outcome(to int, id ProposalID, decision Decision) Message {
	message := a.message(KindOutcome, to, id)
	message.Decision = decision
	return message
}

func (a *Agent) find(id ProposalID) *record {
	for _, known := range a.records {
		if known.proposal.ID == id {
			return known
		}
	}
	return nil
}

func (a *Agent) see(id ProposalID) {
	a.epoch = max(a.epoch, id.Epoch)
}

// remember adds a record and forgets the oldest decided one when there are too
// many; what is forgotten can only be refused from then on.
func (a *Agent) remember(proposal Proposal, begins state) *record {
	added := &record{
		proposal: proposal,
		state:    begins,
		promises: make([]bool, a.size),
		pollers:  make([]uint64, a.size),
	}
	if old := a.find(proposal.ID); old != nil {
		*old = *added
		return old
	}
	a.records = append(a.records, added)
	if len(a.records) > maxRecords {
		a.forgetOldest()
	}
	return added
}

func (a *Agent) forgetOldest() {
	for at, known := range a.records {
		if known.decision() == Undecided || !known.applied {
			continue
		}
		if a.floor.Less(known.proposal.ID) {
			a.floor = known.proposal.ID
		}
		a.records = append(a.records[:at], a.records[at+1:]...)
		return
	}
}
