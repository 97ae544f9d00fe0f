package expertmap

import (
	"slices"
	"time"
)

// An engine that cannot hold starts a step only with its agent's leave, so that
// a dead agent stops its rank. The agent's promises die with it. Its successor
// gives no leave and casts no vote until every other agent has told what it
// knows of them:
//
//   - a promise that somebody counted is taken over;
//   - one that nobody counted is void, since whoever answered takes no promise of
//     the earlier incarnation any more, and an agent restarted meanwhile takes
//     none that answers a poll of its predecessor;
//   - what somebody committed shows in that engine's map or in that agent's
//     answer.

// recall is the state of asking.
type recall struct {
	answered []bool
	known    []Known
	// maps holds the maps that the others use or are to use next.
	maps  []MapID
	askAt time.Time
}

func (a *Agent) beginRecall(now time.Time, forgetful bool, out *Output) {
	a.recall = nil
	if !forgetful {
		return
	}
	a.recall = &recall{answered: make([]bool, a.size), askAt: now}
	a.recall.answered[a.rank] = true
	a.repeatRecall(now, out)
}

// repeatRecall asks those who have not answered.
func (a *Agent) repeatRecall(now time.Time, out *Output) {
	if a.recall == nil || now.Before(a.recall.askAt) {
		return
	}
	a.recall.askAt = now.Add(a.config.Patience)
	for rank, answered := range a.recall.answered {
		if !answered {
			out.Messages = append(out.Messages, a.message(KindRecall, rank, ProposalID{}))
		}
	}
	a.finishRecall(now, out)
}

// fenced tells whether the promise comes from an agent that was replaced.
func (a *Agent) fenced(message Message) bool {
	return message.Agent < a.fences[message.From]
}

// receiveRecall fences the sender's earlier incarnations off, then tells what
// their promises may have led to.
func (a *Agent) receiveRecall(message Message, out *Output) {
	a.fences[message.From] = max(a.fences[message.From], message.Agent)
	if message.Agent < a.fences[message.From] {
		return
	}
	answer := a.message(KindRecalled, message.From, ProposalID{})
	answer.Peer, answer.Current = message.Agent, a.current
	for _, known := range a.records {
		proposal := known.proposal
		if known.decision() == Commit && proposal.To != a.current {
			continue
		}
		if known.decision() == Abort {
			proposal = Proposal{ID: proposal.ID, Group: proposal.Group}
		}
		answer.Known = append(answer.Known, Known{
			Proposal: proposal,
			Decision: known.decision(),
			Promised: known.decision() == Undecided && known.promises[message.From],
		})
	}
	out.Messages = append(out.Messages, answer)
}

func (a *Agent) receiveRecalled(now time.Time, message Message, out *Output) {
	if a.recall == nil || message.Peer != a.config.Incarnation || a.recall.answered[message.From] {
		return
	}
	a.recall.answered[message.From] = true
	a.recall.known = append(a.recall.known, message.Known...)
	a.recall.maps = append(a.recall.maps, message.Current)
	a.finishRecall(now, out)
}

// finishRecall goes on once all have answered: it takes over what the earlier
// incarnation promised and gives leave again, but not past a hold. An agent has
// one undecided promise at most; if the others know of two, one of them has ended
// unseen by those who answered, and the agent asks again.
func (a *Agent) finishRecall(now time.Time, out *Output) {
	asked := a.recall
	if asked == nil || slices.Contains(asked.answered, false) {
		return
	}
	open := asked.open(a)
	if len(open) > 1 {
		a.recall = &recall{answered: make([]bool, a.size), askAt: asked.askAt}
		a.recall.answered[a.rank] = true
		return
	}
	a.recall = nil
	for _, proposal := range open {
		a.see(proposal.ID)
		a.remember(proposal, asking).pollAt = now
		if asked.committed(proposal) {
			a.end(a.find(proposal.ID), committed, out)
			continue
		}
		out.Actions = append(out.Actions, Action{Kind: ActionHold, Proposal: proposal})
	}
	out.Actions = append(out.Actions, Action{Kind: ActionResume})
}

// open lists the proposals that the agent may have promised and that have not
// ended in its engine.
func (r *recall) open(a *Agent) []Proposal {
	var open []Proposal
	for _, known := range r.known {
		id := known.Proposal.ID
		seen := slices.ContainsFunc(open, func(p Proposal) bool { return p.ID == id })
		if seen || known.Proposal.Group != a.group || known.Proposal.From != a.current || r.aborted(id) {
			continue
		}
		if known.Promised || r.committed(known.Proposal) {
			open = append(open, known.Proposal)
		}
	}
	return open
}

func (r *recall) aborted(id ProposalID) bool {
	return slices.ContainsFunc(r.known, func(known Known) bool {
		return known.Proposal.ID == id && known.Decision == Abort
	})
}

// committed tells whether an agent says so, or uses the proposal's map.
func (r *recall) committed(proposal Proposal) bool {
	return slices.Contains(r.maps, proposal.To) || slices.ContainsFunc(r.known, func(known Known) bool {
		return known.Proposal.ID == proposal.ID && known.Decision == Commit
	})
}
