package expertmap

import (
	"slices"
	"time"
)

const (
	// holderTimeoutFactor times Config.PollInterval is how long a proposer waits for the
	// holder.
	holderTimeoutFactor = 3
	// Config.PollInterval divided by confirmIntervalDivisor is the interval at which the
	// holder repeats its requests to confirm an abort. It is short because the group
	// cannot step until all ranks have confirmed.
	confirmIntervalDivisor = 4
)

// heldBy reports whether the engine of the given rank holds the group for the proposal.
func (p *Proposal) heldBy(rank int) bool { return p.GroupHeld && p.Holder == rank }

// shouldPoll reports whether this agent polls a rank for its vote or for the decision.
// The holder polls every rank that has not promised, but polls the proposer only after
// the proposer has shown that it is alive; the other agents poll the holder. Without a
// known holder, an agent polls every rank that has not promised.
func (a *Agent) shouldPoll(rec *record, rank int) bool {
	proposal := &rec.proposal
	switch {
	case !proposal.GroupHeld || proposal.Holder < 0:
		return !rec.promises[rank]
	case proposal.heldBy(a.rank):
		return !rec.promises[rank] && (rank != proposal.Proposer || rec.proposerReady)
	default:
		return rank == proposal.Holder
	}
}

// receiveReady makes the holder poll the proposer, which has sent the message, too.
func (a *Agent) receiveReady(message Message, out *Output) {
	found := a.find(message.ID)
	if found == nil || found.state != promised || message.Peer != a.config.Incarnation {
		return
	}
	if found.proposerReady || found.promises[message.From] {
		return
	}
	found.proposerReady = true
	a.pollRank(found, message.From, out)
}

// addressedTo returns the proposal as the holder sends it to a rank: it names only that
// rank's agent, so that the polls of a large group stay short. The others poll nobody but
// the holder, which knows the whole proposal.
func (p Proposal) addressedTo(rank int) Proposal {
	if rank >= len(p.Agents) {
		return p
	}
	agents := make([]uint64, len(p.Agents))
	agents[rank] = p.Agents[rank]
	p.Agents = agents
	return p
}

// awaitsProposer reports whether this agent is the holder and has not polled the
// proposer yet, so that the proposal can still be abandoned.
func (a *Agent) awaitsProposer(rec *record) bool {
	return rec.proposal.heldBy(a.rank) && rec.proposal.Proposer >= 0 && !rec.proposerReady
}

// abandon aborts a proposal on which the proposer was never polled.
func (a *Agent) abandon(rec *record, out *Output) {
	a.decide(rec, aborted, out)
	a.broadcastOutcome(rec, out)
}

// awaitHolder polls the holder again, and abandons the proposal after the time-out.
func (a *Agent) awaitHolder(now time.Time, rec *record, out *Output) {
	if !now.Before(rec.abandonAt) {
		a.abandon(rec, out)
		return
	}
	if !now.Before(rec.pollAt) {
		rec.pollAt = now.Add(a.config.PollInterval)
		a.poll(rec, out)
	}
}

// beginAbortConfirmation asks all other ranks to confirm that they will never make the
// switch.
func (a *Agent) beginAbortConfirmation(rec *record, out *Output) {
	rec.abortConfirmed = make([]bool, a.size)
	rec.abortConfirmed[a.rank] = true
	if a.awaitsProposer(rec) {
		rec.abortConfirmed[rec.proposal.Proposer] = true
	}
	a.requestAbortConfirmations(rec, out)
}

// continueAbortConfirmation repeats the requests, and releases the group once all ranks
// have confirmed.
func (a *Agent) continueAbortConfirmation(now time.Time, rec *record, out *Output) {
	if !slices.Contains(rec.abortConfirmed, false) {
		out.Actions = append(out.Actions, Action{Kind: ActionRelease, Proposal: rec.proposal})
		return
	}
	if !now.Before(rec.pollAt) {
		rec.pollAt = now.Add(a.config.PollInterval / confirmIntervalDivisor)
		a.requestAbortConfirmations(rec, out)
	}
}

func (a *Agent) requestAbortConfirmations(rec *record, out *Output) {
	for rank, confirmed := range rec.abortConfirmed {
		if !confirmed {
			out.Messages = append(out.Messages, a.message(KindConfirmAbort, rank, rec.proposal.ID))
		}
	}
}

// receiveConfirmAbort aborts a proposal on this rank, even one not received yet, and
// confirms once the engine has carried out the abort.
func (a *Agent) receiveConfirmAbort(message Message, out *Output) {
	if message.ID == a.installed || a.recovery != nil {
		return
	}
	found := a.find(message.ID)
	if found == nil {
		a.observeEpoch(message.ID)
		found = a.addRecord(Proposal{ID: message.ID, Group: a.group}, aborted)
		found.applied = true
	}
	if found.decision() == Undecided {
		a.decide(found, aborted, out)
	}
	a.yieldHold(found, message.From, out)
	if found.state != aborted || !found.applied {
		return
	}
	answer := a.message(KindAbortConfirmed, message.From, message.ID)
	answer.Peer = message.Agent
	out.Messages = append(out.Messages, answer)
}

// yieldHold releases this engine's hold if a lower rank is confirming the same abort: a
// delayed command can make two engines hold for one proposal, and the hold of the lower
// rank is sufficient.
func (a *Agent) yieldHold(rec *record, rank int, out *Output) {
	if rec.abortConfirmed == nil || rec.applied || rank > a.rank {
		return
	}
	rec.abortConfirmed = nil
	out.Actions = append(out.Actions, Action{Kind: ActionRelease, Proposal: rec.proposal})
}

func (a *Agent) receiveAbortConfirmed(message Message, out *Output) {
	found := a.find(message.ID)
	if found == nil || found.abortConfirmed == nil || message.Peer != a.config.Incarnation {
		return
	}
	found.abortConfirmed[message.From] = true
	if !found.applied && !slices.Contains(found.abortConfirmed, false) {
		out.Actions = append(out.Actions, Action{Kind: ActionRelease, Proposal: found.proposal})
	}
}
