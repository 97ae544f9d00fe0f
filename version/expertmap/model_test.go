package expertmap

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// The model is a lock-step group of agents and engines with a network that loses,
// duplicates and reorders: a message, once sent, may be delivered at any later time, any
// number of times, or never, even to agents that it was not sent to. This allows more
// behaviours than a real network, so that the properties checked here also hold on one.
// Redelivered polls also stand for the polls that agents repeat after Config.PollInterval.

const (
	modelRanks     = 3
	modelProposals = 2
	modelGroups    = 2
	modelSteps     = 3
)

var farFuture = time.Unix(1<<40, 0)

// network is the set of all messages ever sent, except recovery queries and replies,
// with one bit per message.
type network uint64

// The bits of one proposal and group: a promise by each of the first two incarnations of
// each agent, a poll, and the announced outcomes.
const (
	bitPoll = 2*modelRanks + iota
	bitCommit
	bitAbort
	bitsPerProposal
)

// modelFault is a fault of engines or proposers that is needed for some broken rules to
// show.
type modelFault uint8

const (
	_ modelFault = iota // the zero value is no fault
	// engineIgnoresGroup makes engines accept calls for other group incarnations.
	engineIgnoresGroup
	// engineForgetsHolds makes engines replace a hold or pending switch by the next hold.
	engineForgetsHolds
	// proposerNamesInitialMap makes proposers name the initial map as the one to replace.
	proposerNamesInitialMap
)

type model struct {
	fault  modelFault
	agents [modelRanks]*Agent // nil while the agent is down
	ranks  [modelRanks]RankEngine
	// losesHolds selects engines whose holds do not outlive the agent. A rank is then
	// blocked while its agent is down or is recovering its earlier promises.
	losesHolds     bool
	blocked        [modelRanks]bool
	incarnations   [modelRanks]uint64 // agent incarnations so far
	proposals      [modelProposals]*Proposal
	sent           network
	stepMap        [modelGroups][modelSteps + 1]MapID
	decisions      [modelProposals][3]bool
	crashes        int
	singleProposer bool // only rank 0 proposes
	reforms        bool // the group may be formed anew
	violation      string
	// synchronous makes Send append messages to queue, for delivery to their receivers
	// only.
	synchronous bool
	queue       []Message
}

func newModel(c modelCase) *model {
	mod := &model{fault: c.fault, crashes: c.crashes, reforms: c.reforms, losesHolds: c.losesHolds, singleProposer: c.singleProposer}
	for rank := range mod.ranks {
		mod.ranks[rank] = NewRankEngine(EngineState{Group: GroupID{Incarnation: 1}, Rank: rank, Size: modelRanks})
		mod.start(rank)
	}
	return mod
}

func (mod *model) clone() *model {
	next := *mod
	return &next
}

// cloneAgent replaces an agent by a copy before it changes, since states share their
// agents.
func (mod *model) cloneAgent(rank int) *Agent {
	agent := *mod.agents[rank]
	agent.records = make([]*record, len(mod.agents[rank].records))
	for at, rec := range mod.agents[rank].records {
		fresh := *rec
		fresh.promises = slices.Clone(rec.promises)
		fresh.pollers = slices.Clone(rec.pollers)
		agent.records[at] = &fresh
	}
	agent.fences = slices.Clone(agent.fences)
	if agent.recovery != nil {
		fresh := *agent.recovery
		fresh.answered = slices.Clone(fresh.answered)
		fresh.known = slices.Clone(fresh.known)
		fresh.maps = slices.Clone(fresh.maps)
		agent.recovery = &fresh
	}
	mod.agents[rank] = &agent
	return &agent
}

func (mod *model) start(rank int) {
	mod.incarnations[rank]++
	config := Config{Incarnation: mod.incarnations[rank]}
	engineState, _ := mod.ranks[rank].Attach(config.Incarnation)
	if mod.losesHolds && mod.incarnations[rank] > 1 {
		mod.ranks[rank].engineState.Held = nil
		engineState.Held, engineState.Installed, engineState.PromisesLost = nil, ProposalID{}, true
	}
	agent := &Agent{config: config}
	mod.agents[rank] = agent
	mod.driver(rank).execute(farFuture, agent.Formed(farFuture, engineState))
}

func (mod *model) driver(rank int) *Driver {
	return &Driver{agent: mod.agents[rank], engine: modelEngine{mod, rank}, transport: mod, observer: mod}
}

// modelEngine is a rank's engine with the model's fault.
type modelEngine struct {
	mod  *model
	rank int
}

func (e modelEngine) withCurrentGroup(p Proposal) Proposal {
	if e.mod.fault == engineIgnoresGroup {
		p.Group = e.mod.ranks[e.rank].engineState.Group
	}
	return p
}

func (e modelEngine) Attach(incarnation uint64) (EngineState, error) {
	return e.mod.ranks[e.rank].Attach(incarnation)
}

func (e modelEngine) Hold(p Proposal) (bool, error) {
	if e.mod.fault == engineForgetsHolds {
		e.mod.ranks[e.rank].engineState.Held, e.mod.ranks[e.rank].engineState.Pending = nil, nil
	}
	return e.mod.ranks[e.rank].Hold(e.withCurrentGroup(p))
}

func (e modelEngine) Release(id ProposalID) error { return e.mod.ranks[e.rank].Release(id) }

func (e modelEngine) Switch(p Proposal) error {
	return e.mod.ranks[e.rank].Switch(e.withCurrentGroup(p))
}

func (e modelEngine) Resume() error {
	e.mod.blocked[e.rank] = false
	return nil
}

func (mod *model) EngineFailed(_ ActionKind, err error) {
	mod.fail("a step runs on maps old and new: %v", err)
}

func (mod *model) ProposalEnded(ended Outcome) {
	at := ended.ID.Epoch - 1
	mod.decisions[at][ended.Decision] = true
	if mod.decisions[at][Commit] && mod.decisions[at][Abort] {
		mod.fail("proposal %d both committed and aborted", ended.ID.Epoch)
	}
}

func (mod *model) fail(format string, args ...any) {
	if mod.violation == "" {
		mod.violation = fmt.Sprintf(format, args...)
	}
}

func (mod *model) Send(_ int, m Message) {
	if mod.synchronous {
		mod.queue = append(mod.queue, m)
		return
	}
	if m.Kind == KindRecoveryQuery {
		return // see deliverRecovery
	}
	if m.Kind == KindRecoveryReply {
		mod.cloneAgent(m.To)
		mod.driver(m.To).Receive(farFuture, m)
		return
	}
	bit := m.From + modelRanks*int(m.Agent-1)
	switch {
	case m.Kind == KindPoll:
		bit = bitPoll
	case m.Kind == KindOutcome && m.Decision == Commit:
		bit = bitCommit
	case m.Kind == KindOutcome:
		bit = bitAbort
	}
	mod.sent |= 1 << (bit + bitsPerProposal*(int(m.ID.Epoch-1)+modelProposals*int(m.Group.Incarnation-1)))
}

// message returns the message that a bit stands for, addressed to a rank.
func (mod *model) message(bit, to int) Message {
	kind := bit % bitsPerProposal
	bit /= bitsPerProposal
	proposal := mod.proposals[bit%modelProposals]
	m := Message{
		Group: GroupID{Incarnation: uint64(bit/modelProposals) + 1},
		From:  (to + 1) % modelRanks,
		To:    to,
		ID:    proposal.ID,
		Agent: 1,
		Peer:  mod.incarnations[to],
	}
	switch kind {
	case bitPoll:
		m.Kind, m.Proposal = KindPoll, proposal
	case bitCommit:
		m.Kind, m.Decision = KindOutcome, Commit
	case bitAbort:
		m.Kind, m.Decision = KindOutcome, Abort
	default:
		m.Kind, m.From, m.Agent = KindPromise, kind%modelRanks, uint64(kind/modelRanks)+1
	}
	return m
}

// canStep reports whether the rank's engine can start its next step: every rank has
// finished the preceding one, and the engine does not hold.
func (mod *model) canStep(rank int) bool {
	engineState := mod.ranks[rank].engineState
	if engineState.Step >= modelSteps || mod.blocked[rank] {
		return false
	}
	for other := range mod.ranks {
		peer := mod.ranks[other].engineState
		if peer.Group != engineState.Group || peer.Step < engineState.Step {
			return false
		}
	}
	_, may := mod.ranks[rank].MayStart()
	return may
}

func (mod *model) propose(rank int) {
	agent := mod.agents[rank]
	proposal := &Proposal{
		ID:     ProposalID{Epoch: uint64(rank + 1), Sequence: 1},
		Group:  agent.group,
		From:   agent.Current(),
		To:     MapID{Epoch: uint64(rank + 1), Version: 1},
		Step:   uint64(2 + rank),
		Agents: slices.Clone(mod.incarnations[:]),
	}
	if mod.fault == proposerNamesInitialMap {
		proposal.From = MapID{}
	}
	if mod.fault == engineForgetsHolds {
		proposal.Step = 2
	}
	mod.proposals[rank] = proposal
	mod.driver(rank).Propose(farFuture, *proposal)
}

func (mod *model) step(rank int) {
	before := mod.ranks[rank].engineState
	used := mod.ranks[rank].Start()
	engineState := mod.ranks[rank].engineState
	slot := &mod.stepMap[engineState.Group.Incarnation-1][engineState.Step]
	first := true
	for other := range mod.ranks {
		peer := mod.ranks[other].engineState
		if other != rank && peer.Group == engineState.Group && peer.Step >= engineState.Step {
			first = false
		}
	}
	if first {
		*slot = used
	}
	if *slot != used {
		mod.fail("group %d step %d runs on maps %v and %v", engineState.Group.Incarnation, engineState.Step, *slot, used)
	}
	if before.Pending != nil && engineState.Pending == nil && before.Pending.From != before.Running {
		mod.fail("proposal %d replaced map %v, not the %v it names", engineState.Installed.Epoch, before.Running, before.Pending.From)
	}
}

func (mod *model) reform(rank int) {
	engineState := EngineState{Group: GroupID{Incarnation: 2}, Rank: rank, Size: modelRanks}
	mod.ranks[rank] = RankEngine{engineState: engineState, attached: mod.ranks[rank].attached}
	if mod.agents[rank] != nil {
		mod.cloneAgent(rank)
		mod.driver(rank).Formed(farFuture, engineState)
	}
}

// encode appends everything that determines the model's further behaviour.
func (mod *model) encode(into []byte) []byte {
	put := func(values ...uint64) {
		for _, value := range values {
			into = append(into, byte(value))
		}
	}
	flag := func(set bool) uint64 {
		if set {
			return 1
		}
		return 0
	}
	into = binary.LittleEndian.AppendUint64(into, uint64(mod.sent))
	put(uint64(mod.crashes))
	for at, proposal := range mod.proposals {
		put(flag(mod.decisions[at][Commit])<<1 | flag(mod.decisions[at][Abort]))
		if proposal != nil {
			put(proposal.Group.Incarnation, proposal.From.Epoch, proposal.Step)
			put(proposal.Agents...)
		}
		put(255)
	}
	for _, group := range mod.stepMap {
		for _, used := range group {
			put(used.Epoch)
		}
	}
	for rank, agent := range mod.agents {
		engineState := mod.ranks[rank].engineState
		put(engineState.Group.Incarnation, engineState.Step, engineState.Running.Epoch, engineState.Installed.Epoch, epochOf(engineState.Pending), epochOf(engineState.Held))
		put(mod.incarnations[rank], flag(agent != nil), flag(mod.blocked[rank]))
		if agent == nil {
			continue
		}
		put(agent.group.Incarnation, agent.current.Epoch, agent.installed.Epoch, agent.epoch)
		for _, rec := range agent.records {
			put(rec.proposal.ID.Epoch, uint64(rec.state), flag(rec.applied))
			if rec.decision() != Undecided {
				continue // the votes no longer matter
			}
			put(flag(rec.coordinates))
			for at := range rec.promises {
				put(flag(rec.promises[at]))
			}
		}
		put(agent.fences...)
		if agent.recovery != nil {
			for _, answered := range agent.recovery.answered {
				put(flag(answered))
			}
			put(uint64(len(agent.recovery.maps)))
			for _, m := range agent.recovery.maps {
				put(m.Epoch)
			}
			for _, known := range agent.recovery.known {
				put(known.Proposal.ID.Epoch, uint64(known.Decision), flag(known.Promised))
			}
		}
		put(255)
	}
	return into
}

func epochOf(proposal *Proposal) uint64 {
	if proposal == nil {
		return 0
	}
	return proposal.ID.Epoch
}
