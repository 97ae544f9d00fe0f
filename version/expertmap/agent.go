package expertmap

import "time"

// state is how far an agent is with one proposal.
type state uint8

const (
	// asking means that the engine was asked for its promise and has not answered.
	asking state = iota + 1
	// promised means that the engine keeps the promise and the end is not known.
	promised
	committed
	aborted
	// waiting means that this agent has proposed, and the keeper has not asked it.
	waiting
)

// record is what an agent knows of one proposal.
type record struct {
	proposal Proposal
	state    state
	// promises holds, by rank, whose promise was seen.
	promises []bool
	// pollers holds, by rank, the incarnation of the agent that waits for this
	// agent's vote; 0 for none.
	pollers []uint64
	// leads tells that this agent gathers the votes and owes the others the end.
	leads bool
	// pollAt is when this agent polls the others (again).
	pollAt time.Time
	// withdrawAt is when the proposer gives up waiting for the keeper, or the keeper
	// for the proposer.
	withdrawAt time.Time
	// ready tells the keeper that the proposer may be asked.
	ready bool
	// released holds, by rank, who is sure never to switch; it is nil but at the
	// keeper of an aborted proposal.
	released []bool
	// applied tells that the engine has taken the end.
	applied bool
}

func (r *record) decision() Decision {
	switch r.state {
	case committed:
		return Commit
	case aborted:
		return Abort
	default:
		return Undecided
	}
}

// maxRecords bounds the proposals an agent remembers; of the older ones it
// keeps only that it must refuse them.
const maxRecords = 32

// Config holds an agent's constants.
type Config struct {
	// Incarnation is unique to this run of the agent and grows with restarts.
	Incarnation uint64
	// EpochFloor is the lowest lease epoch whose proposals are taken.
	EpochFloor uint64
	// Patience is how long a promise stays undecided before the agent polls the
	// others itself, and the time between polls.
	Patience time.Duration
	// Stagger delays the polls of each rank behind those of the rank before it,
	// so that the first to finish can tell the rest.
	Stagger time.Duration
}

// Agent decides for one rank. It is not safe for concurrent use.
type Agent struct {
	config Config

	group uint64
	rank  int
	size  int
	// current is the map in use or set to be used next.
	current MapID
	// installed names the proposal that brought current.
	installed ProposalID
	// epoch is the highest lease epoch seen.
	epoch uint64
	// floor is the highest proposal that was forgotten.
	floor   ProposalID
	records []*record
	// fences holds, by rank, the lowest agent incarnation whose promises count.
	fences []uint64
	// recall is set while the agent asks the others what it promised.
	recall *recall
}

// NewAgent returns an agent that goes on from what its engine kept. The output
// drops a hold of an earlier group incarnation.
func NewAgent(now time.Time, config Config, facts Facts) (*Agent, Output) {
	agent := &Agent{config: config, epoch: config.EpochFloor}
	out := agent.Formed(now, facts)
	return agent, out
}

// Formed tells the agent the state of its engine after the group was formed
// anew or after the agent's own start. Proposals of other group incarnations
// are void.
func (a *Agent) Formed(now time.Time, facts Facts) Output {
	var out Output
	a.records = nil
	a.group, a.rank, a.size = facts.Group, facts.Rank, facts.Size
	a.fences = make([]uint64, a.size)
	a.current, a.installed = facts.Running, facts.Installed
	if facts.Pending != nil {
		a.current, a.installed = facts.Pending.To, facts.Pending.ID
	}
	a.adopt(now, facts.Held, &out)
	a.beginRecall(now, facts.Forgetful, &out)
	return out
}

// adopt goes on with the promise for which the engine holds.
func (a *Agent) adopt(now time.Time, held *Proposal, out *Output) {
	if held == nil {
		return
	}
	if held.Group != a.group {
		out.Actions = append(out.Actions, Action{Kind: ActionRelease, Proposal: *held})
		return
	}
	adopted := a.remember(*held, promised)
	adopted.promises[a.rank] = true
	adopted.pollAt = now
	a.see(held.ID)
}

// Propose makes this agent the coordinator of a proposal from the lease holder.
func (a *Agent) Propose(now time.Time, proposal Proposal) Output {
	var out Output
	if !a.concerns(proposal.Group) || a.find(proposal.ID) != nil || a.recall != nil {
		return out
	}
	found := a.consider(now, proposal, true, &out)
	if found == nil && !a.brought(proposal) {
		out.Ended = append(out.Ended, Ended{ID: proposal.ID, Decision: Abort})
	}
	if found == nil || found.decision() != Undecided {
		return out
	}
	found.leads = true
	found.pollAt = now.Add(a.config.Patience)
	found.withdrawAt = now.Add(keeperPatience * a.config.Patience)
	a.poll(found, &out)
	return out
}

// Receive takes a message from another agent.
func (a *Agent) Receive(now time.Time, message Message) Output {
	var out Output
	if !a.concerns(message.Group) || message.From < 0 || message.From >= a.size {
		return out
	}
	switch message.Kind {
	case KindPoll:
		a.receivePoll(now, message, &out)
	case KindPromise:
		a.receivePromise(message, &out)
	case KindOutcome:
		a.receiveOutcome(message, &out)
	case KindRecall:
		a.receiveRecall(message, &out)
	case KindRecalled:
		a.receiveRecalled(now, message, &out)
	case KindReady:
		a.receiveReady(message, &out)
	case KindDismiss:
		a.receiveDismiss(message, &out)
	case KindReleased:
		a.receiveReleased(message, &out)
	}
	return out
}

// Held takes the engine's answer to ActionHold.
func (a *Agent) Held(now time.Time, id ProposalID, held bool) Output {
	var out Output
	found := a.find(id)
	if found == nil || found.state != asking {
		return out
	}
	if !held {
		found.applied = true
		a.end(found, aborted, &out)
		if found.leads {
			a.tellAll(found, &out)
		}
		return out
	}
	a.promise(now, found, &out)
	return out
}

// Applied tells that the engine has taken ActionRelease or ActionSwitch.
func (a *Agent) Applied(id ProposalID) {
	if found := a.find(id); found != nil && found.decision() != Undecided {
		found.applied = true
	}
}

// Tick repeats what got no answer: polls, and actions the engine did not take.
func (a *Agent) Tick(now time.Time) Output {
	var out Output
	a.repeatRecall(now, &out)
	for _, known := range a.records {
		switch {
		case known.state == waiting:
			a.awaitKeeper(now, known, &out)
		case known.released != nil && !known.applied:
			a.gather(now, known, &out)
		case known.state == asking:
			out.Actions = append(out.Actions, Action{Kind: ActionHold, Proposal: known.proposal})
		case known.state == promised && a.keepsUnready(known) && !now.Before(known.withdrawAt):
			a.abandon(known, &out)
		case known.state == promised && !now.Before(known.pollAt):
			known.leads = true
			known.pollAt = now.Add(a.patience())
			a.poll(known, &out)
		case known.state == committed && !known.applied:
			out.Actions = append(out.Actions, Action{Kind: ActionSwitch, Proposal: known.proposal})
		case known.state == aborted && !known.applied:
			out.Actions = append(out.Actions, Action{Kind: ActionRelease, Proposal: known.proposal})
		}
	}
	return out
}

// Undecided returns the proposal whose end the agent waits for, nil for none.
func (a *Agent) Undecided() *Proposal {
	for _, known := range a.records {
		if known.decision() == Undecided {
			proposal := known.proposal
			return &proposal
		}
	}
	return nil
}

// Idle tells whether no proposal is undecided and the engine has taken all ends.
func (a *Agent) Idle() bool { return a.Undecided() == nil && !a.unapplied() }

// Recalling tells whether the agent still asks the others what it promised; its
// engine gets no leave until all have answered or the group is formed anew.
func (a *Agent) Recalling() bool { return a.recall != nil }

// Current returns the map in use or set to be used next.
func (a *Agent) Current() MapID { return a.current }

// Epoch returns the highest lease epoch seen; proposals of lower ones are refused.
func (a *Agent) Epoch() uint64 { return a.epoch }

// Group returns the group incarnation, the agent's rank and the group's size.
func (a *Agent) Group() (incarnation uint64, rank, size int) {
	return a.group, a.rank, a.size
}

func (a *Agent) concerns(group uint64) bool {
	return group == a.group
}

func (a *Agent) patience() time.Duration {
	return a.config.Patience + time.Duration(a.rank)*a.config.Stagger
}
