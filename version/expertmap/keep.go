package expertmap

import (
	"slices"
	"time"
)

const (
	// keeperPatience is how often the patience a proposer waits for the keeper.
	keeperPatience = 3
	// gatherShare is the part of the patience after which the keeper asks again who
	// will not switch: the group stands still until all have told.
	gatherShare = 4
)

// keptBy tells whether the engine of a rank holds the group for the proposal.
func (p *Proposal) keptBy(rank int) bool { return p.Kept && p.Keeper == rank }

// asksFor tells whether this agent asks a rank for its vote or for the end: the
// keeper asks whoever has not promised, the proposer only once that lives, and the
// others ask the keeper.
func (a *Agent) asksFor(known *record, rank int) bool {
	proposal := &known.proposal
	switch {
	case !proposal.Kept || proposal.Keeper < 0:
		return !known.promises[rank]
	case proposal.keptBy(a.rank):
		return !known.promises[rank] && (rank != proposal.Proposer || known.ready)
	default:
		return rank == proposal.Keeper
	}
}

// receiveReady lets the keeper ask the proposer.
func (a *Agent) receiveReady(message Message, out *Output) {
	found := a.find(message.ID)
	if found == nil || found.state != promised || message.Peer != a.config.Incarnation {
		return
	}
	found.ready = true
	a.poll(found, out)
}

// keepsUnready tells whether this agent is the keeper and has not asked the
// proposer, so that the proposal can still be abandoned.
func (a *Agent) keepsUnready(known *record) bool {
	return known.proposal.keptBy(a.rank) && known.proposal.Proposer >= 0 && !known.ready
}

// abandon aborts a proposal whose proposer was never asked.
func (a *Agent) abandon(known *record, out *Output) {
	a.end(known, aborted, out)
	a.tellAll(known, out)
}

// awaitKeeper asks the keeper again, and gives up when it does not answer.
func (a *Agent) awaitKeeper(now time.Time, known *record, out *Output) {
	if !now.Before(known.withdrawAt) {
		a.abandon(known, out)
		return
	}
	if !now.Before(known.pollAt) {
		known.pollAt = now.Add(a.config.Patience)
		a.poll(known, out)
	}
}

// beginGather asks all others whether they are sure never to switch.
func (a *Agent) beginGather(known *record, out *Output) {
	known.released = make([]bool, a.size)
	known.released[a.rank] = true
	if a.keepsUnready(known) {
		known.released[known.proposal.Proposer] = true
	}
	a.dismiss(known, out)
}

// gather asks again, and lets the group go once all have confirmed.
func (a *Agent) gather(now time.Time, known *record, out *Output) {
	if !slices.Contains(known.released, false) {
		out.Actions = append(out.Actions, Action{Kind: ActionRelease, Proposal: known.proposal})
		return
	}
	if !now.Before(known.pollAt) {
		known.pollAt = now.Add(a.config.Patience / gatherShare)
		a.dismiss(known, out)
	}
}

func (a *Agent) dismiss(known *record, out *Output) {
	for rank, done := range known.released {
		if !done {
			out.Messages = append(out.Messages, a.message(KindDismiss, rank, known.proposal.ID))
		}
	}
}

// receiveDismiss ends a proposal here, also one that has not come yet, and confirms
// once the engine has taken the end.
func (a *Agent) receiveDismiss(message Message, out *Output) {
	if message.ID == a.installed || a.recall != nil {
		return
	}
	found := a.find(message.ID)
	if found == nil {
		a.see(message.ID)
		found = a.remember(Proposal{ID: message.ID, Group: a.group}, aborted)
		found.applied = true
	}
	if found.decision() == Undecided {
		a.end(found, aborted, out)
	}
	a.yield(found, message.From, out)
	if found.state != aborted || !found.applied {
		return
	}
	answer := a.message(KindReleased, message.From, message.ID)
	answer.Peer = message.Agent
	out.Messages = append(out.Messages, answer)
}

// yield gives up gathering where another rank does too: a late order can make two
// engines hold for one proposal, and the hold of the lower rank is enough.
func (a *Agent) yield(known *record, to int, out *Output) {
	if known.released == nil || known.applied || to > a.rank {
		return
	}
	known.released = nil
	out.Actions = append(out.Actions, Action{Kind: ActionRelease, Proposal: known.proposal})
}

func (a *Agent) receiveReleased(message Message, out *Output) {
	found := a.find(message.ID)
	if found == nil || found.released == nil || message.Peer != a.config.Incarnation {
		return
	}
	found.released[message.From] = true
	if !found.applied && !slices.Contains(found.released, false) {
		out.Actions = append(out.Actions, Action{Kind: ActionRelease, Proposal: found.proposal})
	}
}
