package expertmap

import "time"

// state is the progress of an agent with one proposal.
type state uint8

const (
	// awaitingHold means that the engine was asked to hold (see Engine.Hold) and has not
	// replied.
	awaitingHold state = iota + 1
	// promised means that the agent has promised and the decision is not known.
	promised
	committed
	aborted
	// awaitingHolder means that this agent has proposed, and the holder has not polled
	// it.
	awaitingHolder
)

// record is an agent's state of one proposal.
type record struct {
	proposal Proposal
	state    state
	// promises is indexed by rank and tells whose promise was received.
	promises []bool
	// pollers is indexed by rank and contains the incarnation of the agent that waits
	// for this agent's vote; 0 means none.
	pollers []uint64
	// coordinates tells that this agent collects the votes and announces the decision.
	coordinates bool
	// pollAt is when this agent next polls the others.
	pollAt time.Time
	// abandonAt is when the proposer stops waiting for the holder, or the holder for the
	// proposer.
	abandonAt time.Time
	// proposerReady tells the holder that the proposer may be polled.
	proposerReady bool
	// abortConfirmed is indexed by rank and tells which ranks have confirmed that they
	// will never switch. It is set only on the holder of an aborted proposal.
	abortConfirmed []bool
	// applied tells that the engine has carried out the decision.
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

// maxRecords bounds the proposals an agent keeps. Evicted ones are refused if they
// arrive again.
const maxRecords = 32

// Config holds the parameters of an agent.
type Config struct {
	// Incarnation is unique to this run of the agent and increases with each restart.
	Incarnation uint64
	// EpochFloor is the lowest lease epoch whose proposals are accepted.
	EpochFloor uint64
	// PollInterval is how long a promise stays undecided before the agent polls the others
	// itself, and the interval between polls.
	PollInterval time.Duration
	// PollStagger is the additional delay of each rank's polls relative to the preceding
	// rank's, so that the first agent to learn the decision can tell the others before
	// they poll.
	PollStagger time.Duration
}

// Agent is the commit protocol's state machine for one rank. It is not safe for
// concurrent use.
type Agent struct {
	config Config

	group GroupID
	rank  int
	size  int
	// current is the map in use, or the next one once its switch is decided.
	current MapID
	// installed identifies the proposal that introduced current.
	installed ProposalID
	// epoch is the highest lease epoch seen.
	epoch uint64
	// highestEvicted is the highest proposal whose record was evicted.
	highestEvicted ProposalID
	records        []*record
	// fences contains, by rank, the lowest agent incarnation whose promises are accepted.
	fences []uint64
	// recovery is set while the agent queries the others for the promises of its earlier
	// incarnations.
	recovery *recovery
}

// NewAgent returns an agent that continues from its engine's retained state. The output
// releases a hold left from an earlier group incarnation.
func NewAgent(now time.Time, config Config, engineState EngineState) (*Agent, Output) {
	agent := &Agent{config: config, epoch: config.EpochFloor}
	out := agent.Formed(now, engineState)
	return agent, out
}

// Formed resets the agent to the state of its engine after the group was formed anew or
// after the agent's own start. Proposals of other group incarnations are void.
func (a *Agent) Formed(now time.Time, engineState EngineState) Output {
	var out Output
	a.records = nil
	a.group, a.rank, a.size = engineState.Group, engineState.Rank, engineState.Size
	a.fences = make([]uint64, a.size)
	a.current, a.installed = engineState.Running, engineState.Installed
	if engineState.Pending != nil {
		a.current, a.installed = engineState.Pending.To, engineState.Pending.ID
	}
	a.adoptHeld(now, engineState.Held, &out)
	a.beginRecovery(now, engineState.PromisesLost, &out)
	return out
}

// adoptHeld resumes the proposal for which the engine holds.
func (a *Agent) adoptHeld(now time.Time, held *Proposal, out *Output) {
	if held == nil {
		return
	}
	if held.Group != a.group {
		out.Actions = append(out.Actions, Action{Kind: ActionRelease, Proposal: *held})
		return
	}
	adopted := a.addRecord(*held, promised)
	adopted.promises[a.rank] = true
	adopted.pollAt = now
	a.observeEpoch(held.ID)
}

// Propose starts a proposal of this agent's host. The agent polls the other ranks or, if
// the proposal has a holder, the holder, whose agent then polls the others.
func (a *Agent) Propose(now time.Time, proposal Proposal) Output {
	var out Output
	if !a.inGroup(proposal.Group) || a.find(proposal.ID) != nil || a.recovery != nil {
		return out
	}
	found := a.voteOn(now, proposal, true, &out)
	if found == nil && !a.introducedCurrent(proposal) {
		out.Outcomes = append(out.Outcomes, Outcome{ID: proposal.ID, Decision: Abort})
	}
	if found == nil || found.decision() != Undecided {
		return out
	}
	found.coordinates = true
	found.pollAt = now.Add(a.config.PollInterval)
	found.abandonAt = now.Add(holderTimeoutFactor * a.config.PollInterval)
	a.poll(found, &out)
	return out
}

// Receive handles a message from another agent.
func (a *Agent) Receive(now time.Time, message Message) Output {
	var out Output
	if !a.inGroup(message.Group) || message.From < 0 || message.From >= a.size {
		return out
	}
	switch message.Kind {
	case KindPoll:
		a.receivePoll(now, message, &out)
	case KindPromise:
		a.receivePromise(message, &out)
	case KindOutcome:
		a.receiveOutcome(message, &out)
	case KindRecoveryQuery:
		a.receiveRecoveryQuery(message, &out)
	case KindRecoveryReply:
		a.receiveRecoveryReply(now, message, &out)
	case KindReady:
		a.receiveReady(message, &out)
	case KindConfirmAbort:
		a.receiveConfirmAbort(message, &out)
	case KindAbortConfirmed:
		a.receiveAbortConfirmed(message, &out)
	}
	return out
}

// Held handles the engine's reply to ActionHold.
func (a *Agent) Held(now time.Time, id ProposalID, held bool) Output {
	var out Output
	found := a.find(id)
	if found == nil || found.state != awaitingHold {
		return out
	}
	if !held {
		found.applied = true
		a.decide(found, aborted, &out)
		if found.coordinates {
			a.broadcastOutcome(found, &out)
		}
		return out
	}
	a.promise(now, found, &out)
	return out
}

// Applied records that the engine has carried out ActionRelease or ActionSwitch.
func (a *Agent) Applied(id ProposalID) {
	if found := a.find(id); found != nil && found.decision() != Undecided {
		found.applied = true
	}
}

// Tick repeats polls that were not answered and actions that the engine has not carried
// out.
func (a *Agent) Tick(now time.Time) Output {
	var out Output
	a.sendRecoveryQueries(now, &out)
	for _, rec := range a.records {
		switch {
		case rec.state == awaitingHolder:
			a.awaitHolder(now, rec, &out)
		case rec.abortConfirmed != nil && !rec.applied:
			a.continueAbortConfirmation(now, rec, &out)
		case rec.state == awaitingHold:
			out.Actions = append(out.Actions, Action{Kind: ActionHold, Proposal: rec.proposal})
		case rec.state == promised && a.awaitsProposer(rec) && !now.Before(rec.abandonAt):
			a.abandon(rec, &out)
		case rec.state == promised && !now.Before(rec.pollAt):
			rec.coordinates = true
			rec.pollAt = now.Add(a.pollDelay())
			a.poll(rec, &out)
		case rec.state == committed && !rec.applied:
			out.Actions = append(out.Actions, Action{Kind: ActionSwitch, Proposal: rec.proposal})
		case rec.state == aborted && !rec.applied:
			out.Actions = append(out.Actions, Action{Kind: ActionRelease, Proposal: rec.proposal})
		}
	}
	return out
}

// Undecided returns the proposal whose decision the agent waits for, nil if there is
// none.
func (a *Agent) Undecided() *Proposal {
	for _, rec := range a.records {
		if rec.decision() == Undecided {
			proposal := rec.proposal
			return &proposal
		}
	}
	return nil
}

// Idle reports whether no proposal is undecided and the engine has carried out all
// decisions.
func (a *Agent) Idle() bool { return a.Undecided() == nil && !a.hasUnapplied() }

// Recovering reports whether the agent is still recovering its earlier promises. Its
// engine gets no permission for further steps until all agents have answered or the
// group is formed anew.
func (a *Agent) Recovering() bool { return a.recovery != nil }

// Current returns the map in use, or the next one once its switch is decided.
func (a *Agent) Current() MapID { return a.current }

// Epoch returns the highest lease epoch seen; proposals of lower epochs are refused.
func (a *Agent) Epoch() uint64 { return a.epoch }

// Group returns the agent's group, its rank in it and the number of ranks.
func (a *Agent) Group() (group GroupID, rank, size int) {
	return a.group, a.rank, a.size
}

func (a *Agent) inGroup(group GroupID) bool {
	return group == a.group
}

func (a *Agent) pollDelay() time.Duration {
	return a.config.PollInterval + time.Duration(a.rank)*a.config.PollStagger
}
