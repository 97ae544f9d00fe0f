package expertmap

// MapID names an expert map. Maps made under different leases never share an
// id, whatever their versions.
//
// Where engines keep no holds, a map is proposed only once: if the proposal is
// aborted, the map gets a new version.
type MapID struct {
	// Epoch is the epoch of the lease under which the map was made.
	Epoch uint64
	// Version grows by one with each map of the epoch.
	Version uint64
}

// ProposalID names a proposal; the zero value names none.
type ProposalID struct {
	// Epoch is the epoch of the proposer's lease.
	Epoch uint64
	// Sequence grows by one with each proposal of the epoch.
	Sequence uint64
}

// Less orders proposals by epoch, then by sequence.
func (p ProposalID) Less(other ProposalID) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Sequence < other.Sequence
}

// Proposal asks a group to use another map from a step on. It never changes
// once sent.
type Proposal struct {
	ID ProposalID
	// Group is the incarnation of the group that is asked; the proposal means
	// nothing in any other.
	Group uint64
	// From is the map the proposal replaces, To the one it brings.
	From, To MapID
	// Step is the first step that runs on To.
	Step uint64
	// Agents holds, by rank, the incarnation of the agent that is asked. A later
	// incarnation cannot know how an earlier one voted, unless its engine holds.
	Agents []uint64
	// Kept tells that the engine of rank Keeper holds the whole group, so that the
	// others promise without a hold. The keeper promises first and asks all others;
	// the rank Proposer, whose host gave the order to hold, it asks only once that
	// has shown that it lives. After an abort it lets go when all who were asked have
	// confirmed that they will not switch. Ranks that are not known are negative.
	Kept     bool `cbor:",omitempty"`
	Keeper   int  `cbor:",omitempty"`
	Proposer int  `cbor:",omitempty"`
}

// Decision is how a proposal ended.
type Decision uint8

// Decisions.
const (
	// Undecided means that nobody known has seen the end yet.
	Undecided Decision = iota
	// Commit means that every agent promised: To is used from Step.
	Commit
	// Abort means that an agent refused: the proposal is dead for ever.
	Abort
)

// String names the decision.
func (d Decision) String() string {
	switch d {
	case Commit:
		return "commit"
	case Abort:
		return "abort"
	default:
		return "undecided"
	}
}

// Kind tells what a message says.
type Kind uint8

// Kinds of message.
const (
	// KindPoll asks for the receiver's vote on Proposal, or its end.
	KindPoll Kind = iota + 1
	// KindPromise says that the sender's engine holds at the proposal's step.
	KindPromise
	// KindOutcome tells how the proposal ended. A refusing agent answers with
	// Abort, since its refusal alone decides.
	KindOutcome
	// KindRecall asks what the receiver knows of the sender's promises. The sender
	// has been restarted and its engine keeps no holds.
	KindRecall
	// KindRecalled answers with Known and Current.
	KindRecalled
	// KindReady tells the keeper that the proposer lives and may be asked.
	KindReady
	// KindDismiss tells that a proposal was aborted and asks whether the receiver is
	// sure never to switch; the keeper sends it.
	KindDismiss
	// KindReleased answers that it is.
	KindReleased
)

// Known is a proposal as another agent knows it.
type Known struct {
	Proposal Proposal
	Decision Decision
	// Promised tells that the asking rank's promise was seen and the proposal is
	// undecided.
	Promised bool
}

// Message travels between the agents of a group.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// Group is the group incarnation of the sender.
	Group uint64 `cbor:"2,keyasint"`
	// From and To are ranks.
	From int `cbor:"3,keyasint"`
	To   int `cbor:"4,keyasint"`
	// ID names the proposal.
	ID ProposalID `cbor:"5,keyasint"`
	// Proposal is set in polls only.
	Proposal *Proposal `cbor:"6,keyasint,omitempty"`
	// Decision is set in outcomes only.
	Decision Decision `cbor:"7,keyasint,omitempty"`
	// Agent is the incarnation of the sending agent. Peer is that of the agent
	// whose poll a promise or whose recall a recalled message answers.
	Agent uint64 `cbor:"8,keyasint,omitempty"`
	Peer  uint64 `cbor:"9,keyasint,omitempty"`
	// Known and Current, the map in use or to be used next, are set in recalled
	// messages only.
	Known   []Known `cbor:"10,keyasint,omitempty"`
	Current MapID   `cbor:"11,keyasint"`
}

// ActionKind tells what an engine must do.
type ActionKind uint8

// Kinds of action.
const (
	// ActionHold asks the engine not to start the proposal's step; its answer
	// goes back through Agent.Held.
	ActionHold ActionKind = iota + 1
	// ActionRelease drops the proposal's hold.
	ActionRelease
	// ActionSwitch drops the proposal's hold and sets To from Step on.
	ActionSwitch
	// ActionResume gives leave for steps again, once the agent knows all promises
	// of its earlier incarnations. Engines that keep holds never get it.
	ActionResume
)

// Action is an order to the agent's own engine. All are idempotent.
type Action struct {
	Kind     ActionKind
	Proposal Proposal
}

// Ended tells how a proposal ended, as seen by this agent.
type Ended struct {
	ID       ProposalID
	Decision Decision
}

// Output is what an Agent wants done. Actions come before messages: a message
// must not be sent until the actions before it have taken effect.
type Output struct {
	Actions  []Action
	Messages []Message
	Ended    []Ended
}

// Facts is what an engine keeps, whatever happens to its agent.
type Facts struct {
	// Group is the incarnation of the engine's group, Rank the engine's place in
	// it and Size the number of ranks.
	Group uint64
	Rank  int
	Size  int
	// Step is the last step the engine started.
	Step uint64
	// Running is the map in use; Installed names the proposal that brought it.
	Running   MapID
	Installed ProposalID
	// Pending is the switch that is set and not yet in use, nil for none.
	Pending *Proposal
	// Held is the proposal for which the engine holds, nil for none.
	Held *Proposal
	// Forgetful tells that an earlier agent may have promised something that
	// neither the engine nor this agent remembers.
	Forgetful bool
}
