package expertmap

import (
	"fmt"
	"slices"
)

// event is a transition of the model.
type event struct {
	kind eventKind
	rank uint8
	bit  uint8
}

type eventKind uint8

const (
	restart eventKind = iota
	submitProposal
	crash
	startStep
	reformRank
	deliver
	// deliverRecovery delivers the recovery query of rank bit and its reply in one event:
	// the querying agent does nothing else meanwhile, so that a delay makes no
	// difference.
	deliverRecovery
)

func (k eventKind) String() string {
	return [...]string{"restart", "propose", "crash", "step", "reform", "deliver", "deliver recovery query to"}[k]
}

func (e event) String(mod *model) string {
	if e.kind != deliver {
		return fmt.Sprintf("%v rank %d", e.kind, e.rank)
	}
	m := mod.message(int(e.bit), int(e.rank))
	kind := [...]string{"", "poll", "promise", "outcome"}[m.Kind]
	return fmt.Sprintf("deliver %s of proposal %d to rank %d (from %d, group %d, %v)",
		kind, m.ID.Epoch, m.To, m.From, m.Group.Incarnation, m.Decision)
}

// events returns the transitions that are possible next.
func (mod *model) events() []event {
	all := make([]event, 0, 32)
	for rank := range mod.ranks {
		if mod.agents[rank] == nil {
			all = append(all, event{kind: restart, rank: uint8(rank)})
			continue
		}
		if rank < modelProposals && mod.proposals[rank] == nil && (rank == 0 || !mod.singleProposer) {
			all = append(all, event{kind: submitProposal, rank: uint8(rank)})
		}
		if mod.crashes > 0 {
			all = append(all, event{kind: crash, rank: uint8(rank)})
		}
	}
	for rank := range mod.ranks {
		if mod.canStep(rank) {
			all = append(all, event{kind: startStep, rank: uint8(rank)})
		}
		if mod.reforms && mod.ranks[rank].engineState.Group.Incarnation == 1 {
			all = append(all, event{kind: reformRank, rank: uint8(rank)})
		}
	}
	for to := range mod.agents {
		if mod.agents[to] == nil {
			continue
		}
		for bit := range 64 {
			if mod.sent&(1<<bit) != 0 && (bit%bitsPerProposal >= bitPoll || bit%modelRanks != to) {
				all = append(all, event{kind: deliver, rank: uint8(to), bit: uint8(bit)})
			}
		}
		for from, agent := range mod.agents {
			if agent != nil && agent.Recovering() && !agent.recovery.answered[to] {
				all = append(all, event{kind: deliverRecovery, rank: uint8(to), bit: uint8(from)})
			}
		}
	}
	return all
}

// apply returns the state after the event.
func (mod *model) apply(e event) *model {
	next := mod.clone()
	rank := int(e.rank)
	switch e.kind {
	case restart:
		next.start(rank)
	case submitProposal:
		next.cloneAgent(rank)
		next.propose(rank)
	case crash:
		next.agents[rank] = nil
		next.blocked[rank] = next.losesHolds
		next.crashes--
	case startStep:
		next.step(rank)
	case reformRank:
		next.reform(rank)
	case deliver:
		next.cloneAgent(rank)
		next.driver(rank).Receive(farFuture, next.message(int(e.bit), rank))
	case deliverRecovery:
		next.cloneAgent(rank)
		from := int(e.bit)
		query := Message{Kind: KindRecoveryQuery, Group: GroupID{Incarnation: 1}, From: from, To: rank, Agent: next.incarnations[from]}
		next.driver(rank).Receive(farFuture, query)
	}
	return next
}

// runWithoutFaults lets the model run on without further faults: failed agents restart,
// a re-formation that has begun is completed, and messages sent from now on arrive. It
// returns a description of a rank that makes no progress, or else the violation found, if
// any.
func (mod *model) runWithoutFaults() string {
	mod.synchronous = true
	for rank := range mod.agents {
		if mod.agents[rank] == nil {
			mod.start(rank)
		}
	}
	for round := range 24 {
		for rank := range mod.ranks {
			if mod.anyRankInGroup(2) && mod.ranks[rank].engineState.Group.Incarnation == 1 {
				mod.reform(rank)
			}
			mod.cloneAgent(rank)
			mod.driver(rank).Tick(farFuture)
			mod.deliverAll()
			if mod.canStep(rank) && round > 2 {
				mod.step(rank)
			}
		}
	}
	for rank := range mod.ranks {
		engineState := mod.ranks[rank].engineState
		if engineState.Held != nil || engineState.Step < modelSteps || mod.agents[rank].Undecided() != nil {
			return fmt.Sprintf("rank %d is stuck at step %d", rank, engineState.Step)
		}
	}
	return mod.violation
}

func (mod *model) anyRankInGroup(group uint64) bool {
	return slices.ContainsFunc(mod.ranks[:], func(r RankEngine) bool { return r.engineState.Group.Incarnation == group })
}

// deliverAll delivers every queued message once, and the replies to them.
func (mod *model) deliverAll() {
	for len(mod.queue) > 0 {
		m := mod.queue[0]
		mod.queue = mod.queue[1:]
		mod.cloneAgent(m.To)
		mod.driver(m.To).Receive(farFuture, m)
	}
}
