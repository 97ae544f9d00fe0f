package rebalance

import (
	"time"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// awaitPrepared proposes the switch once all ranks have copied the map.
func (p *Planner) awaitPrepared(step uint64, now time.Time) (*Decision, *expertmap.Proposal) {
	number := p.next.ID.Number()
	if p.all(func(s Status) bool { return s.Prepared == number }) && p.complete(now) && p.mayPropose(step, now) {
		took := p.enter(proposed, now)
		return &Decision{What: Propose, Map: p.next.ID, Plan: p.plan, Took: took}, p.proposal(step)
	}
	// A rank that was told to copy a later map refuses this one.
	refused := !p.all(func(s Status) bool { return s.Refused != number && s.Prepared <= number })
	if refused || now.Sub(p.since) > prepareLimit {
		failed := p.next.ID
		p.next = nil
		return &Decision{What: GivenUp, Map: failed, Took: p.enter(idle, now)}, nil
	}
	return nil, nil
}

// mayPropose tells whether a map may be proposed, or proposed again: the hold of an
// aborted proposal takes a while to go, and no step may lie too far ahead.
func (p *Planner) mayPropose(step uint64, now time.Time) bool {
	return !now.Before(p.retryAt) && p.proposedFor < step+leadMost
}

// steps is how far ahead a switch is proposed: the vote must end before its step
// is due, or the group stands still for the rest of it.
func (p *Planner) steps() uint64 {
	if p.pace.took <= 0 {
		return p.lead
	}
	during := uint64((p.voteTime + p.pace.took - 1) / p.pace.took)
	return min(max(p.lead, during+1), leadMost)
}

func (p *Planner) proposal(step uint64) *expertmap.Proposal {
	// The same map is never proposed twice for the same step.
	at := max(step+p.steps(), p.proposedFor+1)
	p.proposedFor = at
	agents := make([]uint64, p.size)
	for rank, one := range p.members {
		agents[rank] = one.status.Agent
	}
	return &expertmap.Proposal{
		ID: expertmap.ProposalOf(p.next.ID, at), Group: p.incarnation,
		From: p.current.ID, To: p.next.ID, Step: at, Agents: agents,
	}
}

// Ended takes in how the planner's proposal ended.
func (p *Planner) Ended(ended expertmap.Ended, now time.Time) *Decision {
	to, _ := ended.ID.Target()
	if p.phase != proposed || p.next == nil || to != p.next.ID {
		return nil
	}
	p.voteTime = now.Sub(p.since)
	if ended.Decision == expertmap.Commit {
		p.lead = max(p.policy.Lead, p.lead-1)
		return &Decision{What: Agreed, Map: to, Plan: p.plan, Took: p.enter(switching, now)}
	}
	// The same map is proposed again for a later step.
	p.retryAt = now.Add(retryPause)
	p.lead = min(2*p.lead, leadMost)
	return &Decision{What: Aborted, Map: to, Took: p.enter(preparing, now)}
}

// awaitEnd gives up on a proposal whose end is not known; the ranks end it
// without the planner.
func (p *Planner) awaitEnd(now time.Time) *Decision {
	if now.Sub(p.since) < prepareLimit {
		return nil
	}
	lost := p.next.ID
	p.current, p.next = nil, nil
	return &Decision{What: EndUnknown, Map: lost, Took: p.enter(idle, now)}
}

// awaitSwitch waits until all ranks use the new map.
func (p *Planner) awaitSwitch(now time.Time) *Decision {
	number := p.next.ID.Number()
	if !p.all(func(s Status) bool { return s.Running == number }) {
		return nil
	}
	p.current, p.next = p.next, nil
	return &Decision{What: InUse, Map: p.current.ID, Plan: p.plan, Took: p.enter(idle, now)}
}
