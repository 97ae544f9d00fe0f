package expertmap

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// The world is a lock-step group of agents and engines with a network that
// loses, repeats and reorders: a message, once sent, may be delivered at any
// later time, any number of times, or never. It even reaches agents that it was
// not sent to. That is more than can really happen, so what holds here holds;
// it also stands for the polls that agents send when their patience ends.

const (
	worldRanks     = 3
	worldProposals = 2
	worldGroups    = 2
	worldSteps     = 3
)

var farAhead = time.Unix(1<<40, 0)

// network holds one bit for each message ever sent, but for recalls.
type network uint64

// The bits of one proposal and group: which of the first two incarnations of
// which agent promised, whether it was polled, and how it is said to have ended.
const (
	bitPoll = 2*worldRanks + iota
	bitCommit
	bitAbort
	bitsEach
)

// worldFault is what engines or proposers do wrong besides a broken rule, without
// which that would not show.
type worldFault uint8

const (
	_ worldFault = iota // the zero value does nothing wrong
	// engineIgnoresGroup takes calls for other incarnations of the group.
	engineIgnoresGroup
	// engineForgetsHolds keeps the last hold only.
	engineForgetsHolds
	// proposerNamesNoMap names the first map as the one to replace.
	proposerNamesNoMap
)

type world struct {
	broken worldFault
	agents [worldRanks]*Agent // nil while the agent is dead
	ranks  [worldRanks]Rank
	// forgetful engines keep no holds; a rank is silent while its agent is dead or
	// does not know what it promised.
	forgetful bool
	silent    [worldRanks]bool
	runs      [worldRanks]uint64 // agent incarnations so far
	proposals [worldProposals]*Proposal
	net       network
	used      [worldGroups][worldSteps + 1]MapID
	ends      [worldProposals][3]bool
	crashes   int
	lone      bool // whether only one proposer is at work
	reforms   bool // whether the group may be formed anew
	bad       string
	// draining sends messages to queue, each to its receiver alone.
	draining bool
	queue    []Message
}

func newWorld(c modelCase) *world {
	w := &world{broken: c.world, crashes: c.crashes, reforms: c.reforms, forgetful: c.forgetful, lone: c.lone}
	for rank := range w.ranks {
		w.ranks[rank] = NewRank(Facts{Group: 1, Rank: rank, Size: worldRanks})
		w.start(rank)
	}
	return w
}

func (w *world) clone() *world {
	next := *w
	return &next
}

// own gives the world its own copy of an agent before it changes.
func (w *world) own(rank int) *Agent {
	agent := *w.agents[rank]
	agent.records = make([]*record, len(w.agents[rank].records))
	for at, known := range w.agents[rank].records {
		fresh := *known
		fresh.promises = slices.Clone(known.promises)
		fresh.pollers = slices.Clone(known.pollers)
		agent.records[at] = &fresh
	}
	agent.fences = slices.Clone(agent.fences)
	if agent.recall != nil {
		fresh := *agent.recall
		fresh.answered = slices.Clone(fresh.answered)
		fresh.known = slices.Clone(fresh.known)
		fresh.maps = slices.Clone(fresh.maps)
		agent.recall = &fresh
	}
	w.agents[rank] = &agent
	return &agent
}

func (w *world) start(rank int) {
	w.runs[rank]++
	config := Config{Incarnation: w.runs[rank]}
	facts, _ := w.ranks[rank].Attach(config.Incarnation)
	if w.forgetful && w.runs[rank] > 1 {
		w.ranks[rank].facts.Held = nil
		facts.Held, facts.Installed, facts.Forgetful = nil, ProposalID{}, true
	}
	agent := &Agent{config: config}
	w.agents[rank] = agent
	w.driver(rank).do(farAhead, agent.Formed(farAhead, facts))
}

func (w *world) driver(rank int) *Driver {
	return &Driver{agent: w.agents[rank], engine: engineOf{w, rank}, transport: w, observer: w}
}

// engineOf is a rank's engine; it may be faulty.
type engineOf struct {
	w    *world
	rank int
}

func (e engineOf) relabel(p Proposal) Proposal {
	if e.w.broken == engineIgnoresGroup {
		p.Group = e.w.ranks[e.rank].facts.Group
	}
	return p
}

func (e engineOf) Attach(incarnation uint64) (Facts, error) {
	return e.w.ranks[e.rank].Attach(incarnation)
}

func (e engineOf) Hold(p Proposal) (bool, error) {
	if e.w.broken == engineForgetsHolds {
		e.w.ranks[e.rank].facts.Held, e.w.ranks[e.rank].facts.Pending = nil, nil
	}
	return e.w.ranks[e.rank].Hold(e.relabel(p))
}

func (e engineOf) Release(id ProposalID) error { return e.w.ranks[e.rank].Release(id) }

func (e engineOf) Switch(p Proposal) error { return e.w.ranks[e.rank].Switch(e.relabel(p)) }

func (e engineOf) Resume() error {
	e.w.silent[e.rank] = false
	return nil
}

func (w *world) EngineFailed(_ ActionKind, err error) {
	w.fail("a step runs on maps old and new: %v", err)
}

func (w *world) ProposalEnded(ended Ended) {
	at := ended.ID.Epoch - 1
	w.ends[at][ended.Decision] = true
	if w.ends[at][Commit] && w.ends[at][Abort] {
		w.fail("proposal %d ended both ways", ended.ID.Epoch)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.bad == "" {
		w.bad = fmt.Sprintf(format, args...)
	}
}

func (w *world) Send(_ int, m Message) {
	if w.draining {
		w.queue = append(w.queue, m)
		return
	}
	if m.Kind == KindRecall {
		return // see deliverRecall
	}
	if m.Kind == KindRecalled {
		w.own(m.To)
		w.driver(m.To).Receive(farAhead, m)
		return
	}
	bit := m.From + worldRanks*int(m.Agent-1)
	switch {
	case m.Kind == KindPoll:
		bit = bitPoll
	case m.Kind == KindOutcome && m.Decision == Commit:
		bit = bitCommit
	case m.Kind == KindOutcome:
		bit = bitAbort
	}
	w.net |= 1 << (bit + bitsEach*(int(m.ID.Epoch-1)+worldProposals*int(m.Group-1)))
}

// message is what the bit says to a rank.
func (w *world) message(bit, to int) Message {
	says := bit % bitsEach
	bit /= bitsEach
	proposal := w.proposals[bit%worldProposals]
	m := Message{
		Group: uint64(bit/worldProposals) + 1,
		From:  (to + 1) % worldRanks,
		To:    to,
		ID:    proposal.ID,
		Agent: 1,
		Peer:  w.runs[to],
	}
	switch says {
	case bitPoll:
		m.Kind, m.Proposal = KindPoll, proposal
	case bitCommit:
		m.Kind, m.Decision = KindOutcome, Commit
	case bitAbort:
		m.Kind, m.Decision = KindOutcome, Abort
	default:
		m.Kind, m.From, m.Agent = KindPromise, says%worldRanks, uint64(says/worldRanks)+1
	}
	return m
}

// canStep tells whether the rank's engine can start its next step: every rank
// has finished the one before, and the engine does not hold.
func (w *world) canStep(rank int) bool {
	facts := w.ranks[rank].facts
	if facts.Step >= worldSteps || w.silent[rank] {
		return false
	}
	for other := range w.ranks {
		peer := w.ranks[other].facts
		if peer.Group != facts.Group || peer.Step < facts.Step {
			return false
		}
	}
	_, may := w.ranks[rank].MayStart()
	return may
}

func (w *world) propose(rank int) {
	agent := w.agents[rank]
	proposal := &Proposal{
		ID:     ProposalID{Epoch: uint64(rank + 1), Sequence: 1},
		Group:  agent.group,
		From:   agent.Current(),
		To:     MapID{Epoch: uint64(rank + 1), Version: 1},
		Step:   uint64(2 + rank),
		Agents: slices.Clone(w.runs[:]),
	}
	if w.broken == proposerNamesNoMap {
		proposal.From = MapID{}
	}
	if w.broken == engineForgetsHolds {
		proposal.Step = 2
	}
	w.proposals[rank] = proposal
	w.driver(rank).Propose(farAhead, *proposal)
}

func (w *world) step(rank int) {
	before := w.ranks[rank].facts
	used := w.ranks[rank].Start()
	facts := w.ranks[rank].facts
	slot := &w.used[facts.Group-1][facts.Step]
	first := true
	for other := range w.ranks {
		peer := w.ranks[other].facts
		if other != rank && peer.Group == facts.Group && peer.Step >= facts.Step {
			first = false
		}
	}
	if first {
		*slot = used
	}
	if *slot != used {
		w.fail("group %d step %d runs on maps %v and %v", facts.Group, facts.Step, *slot, used)
	}
	if before.Pending != nil && facts.Pending == nil && before.Pending.From != before.Running {
		w.fail("proposal %d replaced map %v, not the %v it names", facts.Installed.Epoch, before.Running, before.Pending.From)
	}
}

func (w *world) reform(rank int) {
	facts := Facts{Group: 2, Rank: rank, Size: worldRanks}
	owner := w.ranks[rank].owner
	w.ranks[rank] = Rank{facts: facts, owner: owner}
	if w.agents[rank] != nil {
		w.own(rank)
		w.driver(rank).Formed(farAhead, facts)
	}
}

// encode writes everything that decides the world's future.
func (w *world) encode(into []byte) []byte {
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
	into = binary.LittleEndian.AppendUint64(into, uint64(w.net))
	put(uint64(w.crashes))
	for at, proposal := range w.proposals {
		put(flag(w.ends[at][Commit])<<1 | flag(w.ends[at][Abort]))
		if proposal != nil {
			put(proposal.Group, proposal.From.Epoch, proposal.Step)
			put(proposal.Agents...)
		}
		put(255)
	}
	for _, group := range w.used {
		for _, used := range group {
			put(used.Epoch)
		}
	}
	for rank, agent := range w.agents {
		facts := w.ranks[rank].facts
		put(facts.Group, facts.Step, facts.Running.Epoch, facts.Installed.Epoch, epochOf(facts.Pending), epochOf(facts.Held))
		put(w.runs[rank], flag(agent != nil), flag(w.silent[rank]))
		if agent == nil {
			continue
		}
		put(agent.group, agent.current.Epoch, agent.installed.Epoch, agent.epoch)
		for _, known := range agent.records {
			put(known.proposal.ID.Epoch, uint64(known.state), flag(known.applied))
			if known.decision() != Undecided {
				continue // the votes have no say any more
			}
			put(flag(known.leads))
			for at := range known.promises {
				put(flag(known.promises[at]))
			}
		}
		put(agent.fences...)
		if agent.recall != nil {
			for _, answered := range agent.recall.answered {
				put(flag(answered))
			}
			put(uint64(len(agent.recall.maps)))
			for _, m := range agent.recall.maps {
				put(m.Epoch)
			}
			for _, known := range agent.recall.known {
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
