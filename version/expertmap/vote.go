package expertmap

import (
	"slices"
	"time"
)

// voteOn casts the agent's only vote on a proposal it has not seen before: it asks the
// engine to hold, or refuses. The proposer of a proposal with a holder waits for the
// holder's poll instead.
//
// It returns nil and keeps no record for the proposal that introduced the current map,
// for earlier ones, and for proposals addressed to an earlier incarnation. Had that
// incarnation promised, the engine or the other agents would have reported it, so it can
// be regarded as having refused.
//
// A proposal without addressees comes from an agent that read it back from its engine.
// Its refusal is recorded, since the complete proposal may still arrive.
func (a *Agent) voteOn(now time.Time, proposal Proposal, coordinates bool, out *Output) *record {
	if !a.installed.Less(proposal.ID) || a.introducedCurrent(proposal) {
		return nil
	}
	addressed := a.namesThisIncarnation(proposal)
	if !addressed && len(proposal.Agents) > 0 {
		return nil
	}
	if !addressed || !a.mayPromise(proposal) {
		a.observeEpoch(proposal.ID)
		refused := a.addRecord(proposal, awaitingHold)
		refused.applied = true
		a.decide(refused, aborted, out)
		return refused
	}
	a.observeEpoch(proposal.ID)
	rec := a.addRecord(proposal, awaitingHold)
	if coordinates && proposal.GroupHeld {
		rec.state = awaitingHolder
		return rec
	}
	out.Actions = append(out.Actions, Action{Kind: ActionHold, Proposal: proposal})
	return rec
}

// introducedCurrent reports whether the proposal introduced the current map. An engine
// that does not hold retains only the map and not the proposal.
func (a *Agent) introducedCurrent(proposal Proposal) bool {
	if a.installed == (ProposalID{}) {
		return proposal.To == a.current
	}
	return proposal.ID == a.installed
}

// namesThisIncarnation reports whether the proposal is addressed to this incarnation of
// the agent.
func (a *Agent) namesThisIncarnation(proposal Proposal) bool {
	if len(proposal.Agents) != a.size {
		return false
	}
	return proposal.Agents[a.rank] == a.config.Incarnation
}

// mayPromise checks the conditions that do not depend on the engine. The engine adds its
// own: it holds only for a step it has not started.
func (a *Agent) mayPromise(proposal Proposal) bool {
	if proposal.ID.Epoch < a.epoch {
		return false
	}
	if !a.highestEvicted.Less(proposal.ID) {
		return false
	}
	if a.Undecided() != nil {
		return false
	}
	if a.hasUnapplied() {
		return false
	}
	return proposal.From == a.current
}

// hasUnapplied reports whether the engine has yet to carry out a decision. A promise
// made before that could share the hold of the decided proposal and would lose it when
// that hold is released.
func (a *Agent) hasUnapplied() bool {
	return slices.ContainsFunc(a.records, func(rec *record) bool {
		return rec.decision() != Undecided && !rec.applied
	})
}

// promise records that the engine's Hold has succeeded, and answers all pollers.
func (a *Agent) promise(now time.Time, rec *record, out *Output) {
	rec.state = promised
	rec.promises[a.rank] = true
	// The proposer waits for this answer, so that it precedes the polls: those of a large
	// group occupy the link for some time.
	for rank, poller := range rec.pollers {
		if poller != 0 {
			out.Messages = append(out.Messages, a.promiseTo(rank, poller, rec.proposal.ID))
		}
	}
	clear(rec.pollers)
	if rec.proposal.heldBy(a.rank) {
		rec.coordinates = true
		rec.abandonAt = now.Add(a.config.PollInterval)
		a.poll(rec, out)
	}
	if rec.pollAt.IsZero() {
		rec.pollAt = now.Add(a.pollDelay())
	}
	a.commitIfComplete(rec, out)
}

func (a *Agent) receivePoll(now time.Time, message Message, out *Output) {
	if message.Proposal == nil || !a.inGroup(message.Proposal.Group) || a.recovery != nil {
		return
	}
	if message.Proposal.Holder >= a.size || message.Proposal.Proposer >= a.size {
		return
	}
	proposal := *message.Proposal
	found := a.find(proposal.ID)
	if found == nil {
		found = a.voteOn(now, proposal, false, out)
	}
	if found != nil && found.state == awaitingHolder && found.proposal.heldBy(message.From) {
		found.state = awaitingHold
		out.Actions = append(out.Actions, Action{Kind: ActionHold, Proposal: found.proposal})
	}
	switch {
	case found == nil && a.introducedCurrent(proposal):
		out.Messages = append(out.Messages, a.outcome(message.From, proposal.ID, Commit))
	case found == nil:
		out.Messages = append(out.Messages, a.outcome(message.From, proposal.ID, Abort))
	case found.state == awaitingHold || found.state == awaitingHolder:
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
	if found.state == awaitingHolder && found.proposal.heldBy(message.From) {
		ready := a.message(KindReady, message.From, message.ID)
		ready.Peer = message.Agent
		out.Messages = append(out.Messages, ready)
	}
	a.commitIfComplete(found, out)
}

// commitIfComplete commits once every rank has promised, and informs the others.
func (a *Agent) commitIfComplete(rec *record, out *Output) {
	if rec.state != promised {
		return
	}
	missing := 0
	for _, received := range rec.promises {
		if !received {
			missing++
		}
	}
	if missing > 0 {
		return
	}
	a.decide(rec, committed, out)
	a.broadcastOutcome(rec, out)
}

func (a *Agent) receiveOutcome(message Message, out *Output) {
	found := a.find(message.ID)
	if found == nil || found.decision() != Undecided {
		return
	}
	switch {
	case message.Decision == Abort:
		a.decide(found, aborted, out)
		if found.coordinates {
			a.broadcastOutcome(found, out)
		}
	case message.Decision == Commit && found.state == promised:
		a.decide(found, committed, out)
	}
}

// decide records the decision, passes it to the engine and answers the pollers.
func (a *Agent) decide(rec *record, outcome state, out *Output) {
	promisedBefore := rec.state == promised
	rec.applied = rec.applied || rec.state == awaitingHolder
	rec.state = outcome
	id := rec.proposal.ID
	out.Outcomes = append(out.Outcomes, Outcome{ID: id, Decision: rec.decision()})
	if outcome == committed {
		a.current, a.installed = rec.proposal.To, id
		out.Actions = append(out.Actions, Action{Kind: ActionSwitch, Proposal: rec.proposal})
	} else if promisedBefore && rec.proposal.heldBy(a.rank) {
		a.beginAbortConfirmation(rec, out)
	} else if !rec.applied {
		out.Actions = append(out.Actions, Action{Kind: ActionRelease, Proposal: rec.proposal})
	}
	for rank, poller := range rec.pollers {
		if poller != 0 {
			out.Messages = append(out.Messages, a.outcome(rank, id, rec.decision()))
		}
	}
	clear(rec.pollers)
}

// poll polls the ranks that shouldPoll selects.
func (a *Agent) poll(rec *record, out *Output) {
	for rank := range a.size {
		if rank != a.rank && a.shouldPoll(rec, rank) {
			a.pollRank(rec, rank, out)
		}
	}
}

func (a *Agent) pollRank(rec *record, rank int, out *Output) {
	proposal := rec.proposal
	if proposal.heldBy(a.rank) {
		proposal = proposal.addressedTo(rank)
	}
	message := a.message(KindPoll, rank, proposal.ID)
	message.Proposal = &proposal
	out.Messages = append(out.Messages, message)
}

func (a *Agent) broadcastOutcome(rec *record, out *Output) {
	for rank := range a.size {
		if rank != a.rank {
			out.Messages = append(out.Messages, a.outcome(rank, rec.proposal.ID, rec.decision()))
		}
	}
}

func (a *Agent) message(kind Kind, to int, id ProposalID) Message {
	return Message{
		Kind: kind, Group: a.group, From: a.rank, To: to, ID: id,
		Agent: a.config.Incarnation,
	}
}

// promiseTo returns the promise that answers the poll of one incarnation of a rank's
// agent.
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
	for _, rec := range a.records {
		if rec.proposal.ID == id {
			return rec
		}
	}
	return nil
}

func (a *Agent) observeEpoch(id ProposalID) {
	a.epoch = max(a.epoch, id.Epoch)
}

// addRecord adds a record and evicts the oldest decided one if there are more than
// maxRecords; an evicted proposal can only be refused from then on.
func (a *Agent) addRecord(proposal Proposal, initial state) *record {
	added := &record{
		proposal: proposal,
		state:    initial,
		promises: make([]bool, a.size),
		pollers:  make([]uint64, a.size),
	}
	if old := a.find(proposal.ID); old != nil {
		*old = *added
		return old
	}
	a.records = append(a.records, added)
	if len(a.records) > maxRecords {
		a.evictOldest()
	}
	return added
}

func (a *Agent) evictOldest() {
	for at, rec := range a.records {
		if rec.decision() == Undecided || !rec.applied {
			continue
		}
		if a.highestEvicted.Less(rec.proposal.ID) {
			a.highestEvicted = rec.proposal.ID
		}
		a.records = append(a.records[:at], a.records[at+1:]...)
		return
	}
}
