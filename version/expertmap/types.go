package expertmap

// MapID identifies an expert map. Maps made under different leases never share an
// identifier, whatever their versions.
//
// Where engines do not hold, a map is proposed only once: if the proposal is aborted,
// the map gets a new version.
type MapID struct {
	// Epoch is the epoch of the lease under which the map was made. Planners without a
	// lease choose the epochs of their maps (see package rebalance).
	Epoch uint64
	// Version increases with each map of the epoch (see NextVersion).
	Version uint64
}

// ProposalID identifies a proposal; the zero value identifies none.
type ProposalID struct {
	// Epoch is the epoch of the proposer's lease.
	Epoch uint64
	// Sequence increases with each proposal of the epoch (see NewProposalID).
	Sequence uint64
}

// Less orders proposals by epoch, then by sequence.
func (p ProposalID) Less(other ProposalID) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Sequence < other.Sequence
}

// Proposal asks a group to use another map from a step on. It is immutable once sent.
type Proposal struct {
	ID ProposalID
	// Group is the group that is asked; the proposal is void in any other, and in any
	// other incarnation of it.
	Group GroupID
	// From is the map that the proposal replaces, To the one it introduces.
	From, To MapID
	// ToSum is a checksum of the contents of To; 0 if the proposer does not state it.
	ToSum uint64 `cbor:",omitempty"`
	// Step is the first step that runs on To.
	Step uint64
	// Agents holds, by rank, the incarnation of the agent that is asked. A later
	// incarnation cannot know how an earlier one voted, unless its engine holds.
	Agents []uint64
	// GroupHeld tells that the engine of the rank Holder holds the whole group,
	// so that the other agents promise without a hold. The holder promises first and
	// polls all other ranks. It polls the rank Proposer, whose host sent the hold
	// command, only after the proposer's agent has shown that it is alive (KindReady).
	// After an abort the holder releases the group when all ranks that were polled have
	// confirmed that they will not switch. Negative values stand for unknown ranks.
	GroupHeld bool `cbor:"Kept,omitempty"`
	Holder    int  `cbor:"Keeper,omitempty"`
	Proposer  int  `cbor:",omitempty"`
}

// Decision is the outcome of a proposal.
type Decision uint8

// Decisions.
const (
	// Undecided means that the outcome is not known.
	Undecided Decision = iota
	// Commit means that every agent promised: To is used from Step.
	Commit
	// Abort means that an agent refused: the proposal can never take effect.
	Abort
)

// String returns the decision's name.
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

// Kind is the type of a message.
type Kind uint8

// Kinds of message.
const (
	// KindPoll asks for the receiver's vote on Proposal, or for the outcome.
	KindPoll Kind = iota + 1
	// KindPromise tells that the sender's engine will not start the proposal's step on
	// the map that the proposal replaces.
	KindPromise
	// KindOutcome announces the outcome of the proposal. A refusing agent answers a poll
	// with Abort, since a single refusal is decisive.
	KindOutcome
	// KindRecoveryQuery asks what the receiver knows of the sender's promises. The
	// sender has been restarted and its engine does not hold.
	KindRecoveryQuery
	// KindRecoveryReply answers KindRecoveryQuery with Known and Current.
	KindRecoveryReply
	// KindReady tells the holder that the proposer is alive and may be polled.
	KindReady
	// KindConfirmAbort announces an abort and asks the receiver to confirm that it
	// will never make the switch; only the holder sends it.
	KindConfirmAbort
	// KindAbortConfirmed is the confirmation that answers KindConfirmAbort.
	KindAbortConfirmed
)

// KnownProposal is a proposal as another agent knows it.
type KnownProposal struct {
	Proposal Proposal
	Decision Decision
	// Promised tells that the promise of the querying rank was received and the proposal
	// is undecided.
	Promised bool
}

// Message is a message between agents of a group.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// Group is the sender's group.
	Group GroupID `cbor:"2,keyasint"`
	// From and To are ranks.
	From int `cbor:"3,keyasint"`
	To   int `cbor:"4,keyasint"`
	// ID identifies the proposal.
	ID ProposalID `cbor:"5,keyasint"`
	// Proposal is set only in polls.
	Proposal *Proposal `cbor:"6,keyasint,omitempty"`
	// Decision is set only in outcomes.
	Decision Decision `cbor:"7,keyasint,omitempty"`
	// Agent is the incarnation of the sending agent. Peer is the incarnation of the
	// agent that is answered: whose poll a promise answers, whose KindRecoveryQuery a
	// KindRecoveryReply, whose KindConfirmAbort a KindAbortConfirmed. In KindReady it
	// is that of the holder's agent.
	Agent uint64 `cbor:"8,keyasint,omitempty"`
	Peer  uint64 `cbor:"9,keyasint,omitempty"`
	// Known and Current are set only in KindRecoveryReply. Current is the map in use, or
	// the next one once its switch is decided.
	Known   []KnownProposal `cbor:"10,keyasint,omitempty"`
	Current MapID           `cbor:"11,keyasint"`
}

// ActionKind is the type of an action.
type ActionKind uint8

// Kinds of action.
const (
	// ActionHold calls Engine.Hold for the proposal; the reply is passed to Agent.Held.
	ActionHold ActionKind = iota + 1
	// ActionRelease drops the proposal's hold.
	ActionRelease
	// ActionSwitch drops the proposal's hold and makes the engine use To from Step on.
	ActionSwitch
	// ActionResume permits steps again, once the agent knows all promises of its earlier
	// incarnations. It is never issued to engines that hold.
	ActionResume
)

// Action is an operation for the agent's own engine to carry out. All are idempotent.
type Action struct {
	Kind     ActionKind
	Proposal Proposal
}

// Outcome is the outcome of a proposal as seen by this agent.
type Outcome struct {
	ID       ProposalID
	Decision Decision
}

// Output is the result of an Agent's state transition. No message may be sent before all
// the actions have taken effect.
type Output struct {
	Actions  []Action
	Messages []Message
	Outcomes []Outcome
}

// EngineState is the state that an engine retains across restarts of its agent.
type EngineState struct {
	// Group is the engine's group, Rank the engine's rank in it and Size the number of
	// ranks.
	Group GroupID
	Rank  int
	Size  int
	// Step is the last step the engine started.
	Step uint64
	// Running is the map in use; Installed identifies the proposal that introduced it.
	Running   MapID
	Installed ProposalID
	// Pending is the switch that is set and not yet in use, nil for none.
	Pending *Proposal
	// Held is the proposal for which the engine holds, nil for none.
	Held *Proposal
	// PromisesLost tells that an earlier agent may have made promises that neither the
	// engine nor this agent has a record of.
	PromisesLost bool
}
