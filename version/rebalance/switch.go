package rebalance

import (
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// awaitPrepared proposes the switch once all ranks have copied the map. It gives
// the map up if a rank refuses to copy it or prepareTimeout passes.
func (p *Planner) awaitPrepared(step uint64, now time.Time) (*Decision, *expertmap.Proposal) {
	if p.allPrepared() && p.allStatusesRecent(now) && p.mayPropose(step, now) {
		p.numbers.accepted()
		took := p.enterPhase(proposed, now)
		return &Decision{Kind: Propose, Map: p.next.ID, Plan: p.plan, Took: took}, p.newProposal(step)
	}
	if p.anyRefused() {
		p.numbers.refused()
		return p.giveUp(now), nil
	}
	if now.Sub(p.phaseStart) > prepareTimeout {
		for rank, m := range p.members {
			m.needsFullMap = m.needsFullMap || !p.Prepared(rank)
		}
		return p.giveUp(now), nil
	}
	return nil, nil
}

// allPrepared reports whether all ranks have copied the next map.
func (p *Planner) allPrepared() bool {
	for rank := range p.members {
		if !p.Prepared(rank) {
			return false
		}
	}
	return true
}

// anyRefused reports whether a rank refuses to copy the next map, was told to copy a later one,
// or has copied other contents under its number.
func (p *Planner) anyRefused() bool {
	number := p.next.ID.Number()
	return slices.ContainsFunc(p.members, func(m *member) bool {
		otherContents := m.status.Prepared == number && !m.hasPrepared(number, p.nextSum)
		return m.status.Refused == number || m.status.Prepared > number || otherContents
	})
}

// giveUp abandons the next map.
func (p *Planner) giveUp(now time.Time) *Decision {
	failed := p.next.ID
	p.next = nil
	return &Decision{Kind: GivenUp, Map: failed, Took: p.enterPhase(idle, now)}
}

// mayPropose reports whether a map may be proposed, for the first time or again.
// After an abort it waits, since it takes a while until the hold of the aborted
// proposal is released. It also bounds how far ahead of the group the proposed
// steps get.
func (p *Planner) mayPropose(step uint64, now time.Time) bool {
	return !now.Before(p.retryAt) && p.proposedStep < step+maxLead
}

// stepsAhead returns how many steps ahead a switch is proposed. The vote must end
// before the proposed step is due; otherwise the group stands still until it ends.
func (p *Planner) stepsAhead() uint64 {
	if p.stepTimer.stepTime <= 0 {
		return p.lead
	}
	stepsInVote := uint64((p.voteTime + p.stepTimer.stepTime - 1) / p.stepTimer.stepTime)
	return min(max(p.lead, stepsInVote+1), maxLead)
}

func (p *Planner) newProposal(step uint64) *expertmap.Proposal {
	// A map is never proposed twice for the same step.
	switchStep := max(step+p.stepsAhead(), p.proposedStep+1)
	p.proposedStep = switchStep
	agents := make([]uint64, p.size)
	for rank, m := range p.members {
		agents[rank] = m.status.AgentIncarnation
	}
	return &expertmap.Proposal{
		ID: expertmap.NewProposalID(p.next.ID, switchStep), Group: p.group,
		From: p.current.ID, To: p.next.ID, ToSum: p.nextSum, Step: switchStep, Agents: agents,
	}
}

// HandleOutcome processes the outcome of the planner's proposal. It returns nil if the
// outcome is that of another proposal.
func (p *Planner) HandleOutcome(outcome expertmap.Outcome, now time.Time) *Decision {
	to, _ := outcome.ID.MapAndStep()
	if p.phase != proposed || p.next == nil || to != p.next.ID {
		return nil
	}
	p.voteTime = now.Sub(p.phaseStart)
	if outcome.Decision == expertmap.Commit {
		p.lead = max(p.policy.MinLead, p.lead-1)
		return &Decision{Kind: Agreed, Map: to, Plan: p.plan, Took: p.enterPhase(switching, now)}
	}
	// The same map is proposed again for a later step. If the group had not come close to
	// the step, the abort had another reason than a vote that ended too late, such as an
	// unanswered command, and a greater lead would only delay the switch.
	p.retryAt = now.Add(retryDelay)
	if p.latestStep+1 >= p.proposedStep {
		p.lead = min(2*p.lead, maxLead)
	}
	return &Decision{Kind: Aborted, Map: to, Took: p.enterPhase(preparing, now)}
}

// awaitOutcome abandons a proposal whose outcome stays unknown for prepareTimeout.
// The ranks end it without the planner.
func (p *Planner) awaitOutcome(now time.Time) *Decision {
	if now.Sub(p.phaseStart) < prepareTimeout {
		return nil
	}
	abandoned := p.next.ID
	p.current, p.next = nil, nil
	return &Decision{Kind: OutcomeUnknown, Map: abandoned, Took: p.enterPhase(idle, now)}
}

// awaitSwitch waits until all ranks use the new map.
func (p *Planner) awaitSwitch(now time.Time) *Decision {
	number := p.next.ID.Number()
	if !p.allRanks(func(s Status) bool { return s.Running == number }) {
		return nil
	}
	p.current, p.currentSum, p.currentMade = p.next, p.nextSum, true
	p.next = nil
	return &Decision{Kind: InUse, Map: p.current.ID, Plan: p.plan, Took: p.enterPhase(idle, now)}
}
