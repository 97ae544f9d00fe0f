package expertmap

import (
	"slices"
	"time"
)

// An engine that cannot hold starts a step only with its agent's permission, so that a
// failed agent stops its rank. The agent's promises are lost with it. Its successor
// permits no step and casts no vote until every other agent has reported what it knows
// of them:
//
//   - a promise that another agent has counted is taken over;
//   - a promise that no agent has counted is void: every agent that has answered rejects
//     promises of the earlier incarnation from then on, and an agent restarted meanwhile
//     rejects promises that answer a poll of its predecessor;
//   - a commit by another agent shows in the map of that agent's engine or in that
//     agent's answer.

// recovery is the state of the queries for the promises of earlier incarnations.
type recovery struct {
	answered []bool
	known    []KnownProposal
	// maps contains the current map (see Agent.Current) of each agent that has answered.
	maps      []MapID
	nextQuery time.Time
}

func (a *Agent) beginRecovery(now time.Time, promisesLost bool, out *Output) {
	a.recovery = nil
	if !promisesLost {
		return
	}
	a.recovery = &recovery{answered: make([]bool, a.size), nextQuery: now}
	a.recovery.answered[a.rank] = true
	a.sendRecoveryQueries(now, out)
}

// sendRecoveryQueries queries the agents that have not answered.
func (a *Agent) sendRecoveryQueries(now time.Time, out *Output) {
	if a.recovery == nil || now.Before(a.recovery.nextQuery) {
		return
	}
	a.recovery.nextQuery = now.Add(a.config.PollInterval)
	for rank, answered := range a.recovery.answered {
		if !answered {
			out.Messages = append(out.Messages, a.message(KindRecoveryQuery, rank, ProposalID{}))
		}
	}
	a.finishRecovery(now, out)
}

// fenced reports whether the promise comes from an agent that was replaced.
func (a *Agent) fenced(message Message) bool {
	return message.Agent < a.fences[message.From]
}

// receiveRecoveryQuery fences off the sender's earlier incarnations, then reports the
// proposals that their promises may have affected.
func (a *Agent) receiveRecoveryQuery(message Message, out *Output) {
	a.fences[message.From] = max(a.fences[message.From], message.Agent)
	if message.Agent < a.fences[message.From] {
		return
	}
	answer := a.message(KindRecoveryReply, message.From, ProposalID{})
	answer.Peer, answer.Current = message.Agent, a.current
	for _, rec := range a.records {
		proposal := rec.proposal
		if rec.decision() == Commit && proposal.To != a.current {
			continue
		}
		if rec.decision() == Abort {
			proposal = Proposal{ID: proposal.ID, Group: proposal.Group}
		}
		answer.Known = append(answer.Known, KnownProposal{
			Proposal: proposal,
			Decision: rec.decision(),
			Promised: rec.decision() == Undecided && rec.promises[message.From],
		})
	}
	out.Messages = append(out.Messages, answer)
}

func (a *Agent) receiveRecoveryReply(now time.Time, message Message, out *Output) {
	if a.recovery == nil || message.Peer != a.config.Incarnation || a.recovery.answered[message.From] {
		return
	}
	a.recovery.answered[message.From] = true
	a.recovery.known = append(a.recovery.known, message.Known...)
	a.recovery.maps = append(a.recovery.maps, message.Current)
	a.finishRecovery(now, out)
}

// finishRecovery ends the recovery once all have answered: it takes over the promises of
// the earlier incarnation and permits steps again, but not beyond a hold. An agent has
// at most one undecided promise. If the others report two, one of them has been decided
// without the knowledge of those who answered, and the agent queries them again.
func (a *Agent) finishRecovery(now time.Time, out *Output) {
	round := a.recovery
	if round == nil || slices.Contains(round.answered, false) {
		return
	}
	proposals := round.unresolved(a)
	if len(proposals) > 1 {
		a.recovery = &recovery{answered: make([]bool, a.size), nextQuery: round.nextQuery}
		a.recovery.answered[a.rank] = true
		return
	}
	a.recovery = nil
	for _, proposal := range proposals {
		a.observeEpoch(proposal.ID)
		a.addRecord(proposal, awaitingHold).pollAt = now
		if round.committed(proposal) {
			a.decide(a.find(proposal.ID), committed, out)
			continue
		}
		out.Actions = append(out.Actions, Action{Kind: ActionHold, Proposal: proposal})
	}
	out.Actions = append(out.Actions, Action{Kind: ActionResume})
}

// unresolved returns the proposals that an earlier incarnation of the agent may have
// promised and whose decision its engine has not carried out.
func (r *recovery) unresolved(a *Agent) []Proposal {
	var proposals []Proposal
	for _, known := range r.known {
		id := known.Proposal.ID
		seen := slices.ContainsFunc(proposals, func(p Proposal) bool { return p.ID == id })
		if seen || known.Proposal.Group != a.group || known.Proposal.Proposer >= a.size || known.Proposal.From != a.current || r.aborted(id) {
			continue
		}
		if known.Promised || r.committed(known.Proposal) {
			proposals = append(proposals, known.Proposal)
		}
	}
	return proposals
}

func (r *recovery) aborted(id ProposalID) bool {
	return slices.ContainsFunc(r.known, func(known KnownProposal) bool {
		return known.Proposal.ID == id && known.Decision == Abort
	})
}

// committed reports whether an agent has reported the commit or uses the proposal's map.
func (r *recovery) committed(proposal Proposal) bool {
	return slices.Contains(r.maps, proposal.To) || slices.ContainsFunc(r.known, func(known KnownProposal) bool {
		return known.Proposal.ID == proposal.ID && known.Decision == Commit
	})
}
