package expertmap

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// errNoReply is the error of a command whose reply is lost.
var errNoReply = errors.New("no reply")

// simFault is a rule of the engines or agents that is broken on purpose.
type simFault uint8

const (
	simNoFault simFault = iota
	// simFalseCopy reports the copy that invalidates a map although the map can still be
	// armed.
	simFalseCopy
	// simFalseHold reports that the holder's engine holds although it does not.
	simFalseHold
	// simForgedConfirmation makes the holder release the group before the others have
	// confirmed the abort.
	simForgedConfirmation
	// simGoUnarmed makes engines that hold report an armed switch, so that agents release
	// the group although the switch is not armed.
	simGoUnarmed
)

// simRank is the engine of one rank.
type simRank struct {
	report RankReport
	// highest is the highest map number that the rank was told to copy.
	highest uint64
	// claimedHold is a step for which the rank reports a hold that it does not have.
	claimedHold uint64
	delayed     []func()
}

// copyMap carries out a command to copy a map.
func (r *simRank) copyMap(number uint64) bool {
	if number <= r.highest || r.report.Armed != 0 {
		return false
	}
	r.highest, r.report.Prepared = number, number
	return true
}

// simGroup is a lock-step group whose commands get lost or arrive late.
type simGroup struct {
	id     GroupID
	random *rand.Rand
	fault  simFault
	// others are the other groups on the network. Some messages of this group also reach
	// the agents of their ranks.
	others []*simGroup
	// countsCommands selects engines that count their commands and refuse those with a
	// different count.
	countsCommands bool
	ranks          []*simRank
	agents         []*simAgent
	inFlight       []Message
	now            time.Time
	// lastPlan is the last proposal: the map, the proposing rank and the step.
	lastPlan struct {
		to       MapID
		proposer int
		step     uint64
	}
	// lossRate is the probability that a command gets no reply.
	lossRate float64
	// killPercent and freezePercent are the percentages of events that stop an agent, and
	// that suspend one for a time.
	killPercent, freezePercent int
	// steps counts the steps, switches those in which the map changed.
	steps, switches int
	incarnations    uint64
}

// simAgent is the agent of one rank; driver is nil while it is down.
type simAgent struct {
	simCommands
	driver *Driver
	engine *CommandEngine
	// frozenUntil is when a suspended agent continues.
	frozenUntil time.Time
}

// simCommands is a client's access to the engine of a rank.
type simCommands struct {
	group *simGroup
	rank  int
	// claimedCopy is the number of a map whose copy is reported but was not made.
	claimedCopy uint64
	// lastSent is the latest report sent; nil before the first.
	lastSent *RankReport
}

func newSimGroup(seed uint64, size int, countsCommands bool, fault simFault) *simGroup {
	g := &simGroup{id: GroupID{Name: "g", Incarnation: 1}, random: rand.New(rand.NewPCG(seed, 7)), countsCommands: countsCommands, fault: fault, now: time.Unix(0, 0), lossRate: 0.3, killPercent: 1}
	for rank := range size {
		g.ranks = append(g.ranks, &simRank{report: RankReport{Group: g.id, Rank: rank, Size: size, Stepping: true}})
		g.agents = append(g.agents, &simAgent{simCommands: simCommands{group: g, rank: rank}})
	}
	return g
}

// Send implements Transport.
func (a *simAgent) Send(rank int, message Message) {
	message.To = rank
	if a.sendForged(message) {
		return
	}
	if a.group.random.IntN(10) > 0 {
		a.group.inFlight = append(a.group.inFlight, message)
	}
}

// sendForged forges the confirmation of an abort if the fault asks for that, and reports
// whether it did.
func (a *simAgent) sendForged(message Message) bool {
	answer := Message{Group: message.Group, From: message.To, To: message.From, ID: message.ID, Peer: message.Agent, Agent: message.Agent}
	if a.group.fault != simForgedConfirmation || message.Kind != KindConfirmAbort {
		return false
	}
	answer.Kind = KindAbortConfirmed
	a.group.inFlight = append(a.group.inFlight, answer)
	return true
}

// ProposalEnded implements Observer.
func (a *simAgent) ProposalEnded(Outcome) {}

// EngineFailed implements Observer.
func (a *simAgent) EngineFailed(ActionKind, error) {}

// start starts or restarts an agent. It may fail, since the agent's first commands may be
// lost; the agent is then still down.
func (a *simAgent) start() {
	a.group.incarnations++
	a.engine = NewCommandEngine(&a.simCommands)
	driver, err := NewDriver(a.group.now, Config{Incarnation: a.group.incarnations, PollInterval: 50 * time.Millisecond, PollStagger: time.Millisecond}, a.engine, a, a)
	if err != nil {
		return
	}
	a.driver = driver
}

// tick runs an agent, or starts it if it is down. It does nothing while the agent is
// suspended.
func (a *simAgent) tick() {
	switch {
	case a.group.now.Before(a.frozenUntil):
	case a.driver == nil:
		a.start()
	default:
		a.driver.Tick(a.group.now)
		a.group.releaseStrayHold(a)
	}
}

// step lets the group make a step unless a rank holds. It reports a violation if the
// ranks made it on different maps.
func (g *simGroup) step() (violation string) {
	next := g.ranks[0].report.Step + 1
	for _, rank := range g.ranks {
		if rank.report.Holding && rank.report.Held <= next {
			return ""
		}
	}
	maps := map[uint64]bool{}
	changed := false
	for _, rank := range g.ranks {
		r := &rank.report
		r.Step = next
		if r.Armed != 0 && r.ArmedStep <= next {
			r.Running, r.Armed, r.ArmedStep = r.Armed, 0, 0
			changed = true
		}
		maps[r.Running] = true
	}
	g.steps++
	if changed {
		g.switches++
	}
	if len(maps) > 1 {
		return fmt.Sprintf("step %d runs on %d maps", next, len(maps))
	}
	return ""
}

// propose makes a random agent prepare and propose another map.
func (g *simGroup) propose(version uint64) {
	proposer := g.agents[g.random.IntN(len(g.agents))]
	if proposer.driver == nil {
		return
	}
	report := g.ranks[proposer.rank].report
	to := MapID{Epoch: 1, Version: version * versionStride}
	at := report.Step + 1 + g.random.Uint64N(maxSwitchDistance-1)
	if last := g.lastPlan; g.random.IntN(2) == 0 && last.proposer == proposer.rank && last.to.Number() > report.Running {
		// A planner may propose a map again, but never twice for the same step.
		to, at = last.to, max(at, last.step+1)
	}
	g.lastPlan.to, g.lastPlan.proposer, g.lastPlan.step = to, proposer.rank, at
	agents := make([]uint64, len(g.agents))
	for rank, agent := range g.agents {
		g.ranks[rank].copyMap(to.Number())
		if agent.driver != nil {
			agents[rank] = agent.driver.agent.config.Incarnation
		}
	}
	proposal := Proposal{
		ID: NewProposalID(to, at), Group: g.id, From: MapIDFromNumber(g.ranks[proposer.rank].report.Running), To: to, Step: at, Agents: agents,
		GroupHeld: true, Proposer: proposer.rank, Holder: (proposer.rank + 1 + g.random.IntN(len(g.agents)-1)) % len(g.agents),
	}
	if held, err := HoldGroup(&simCommands{group: g, rank: proposal.Holder}, proposal); err != nil || !held {
		return
	}
	proposer.driver.Propose(g.now, proposal)
}

// randomEvent advances the time and makes one random event happen.
func (g *simGroup) randomEvent(version uint64) string {
	g.now = g.now.Add(time.Duration(1+g.random.IntN(20)) * time.Millisecond)
	agent := g.agents[g.random.IntN(len(g.agents))]
	rank := g.ranks[agent.rank]
	switch choice := g.random.IntN(100); {
	case choice < 35 && len(g.inFlight) > 0:
		at := g.random.IntN(len(g.inFlight))
		message := g.inFlight[at]
		g.inFlight = append(g.inFlight[:at], g.inFlight[at+1:]...)
		g.deliver(message)
		for _, other := range g.others {
			if g.random.IntN(2) == 0 {
				other.deliver(message)
			}
		}
	case choice < 60:
		agent.tick()
	case choice < 65 && len(rank.delayed) > 0:
		rank.delayed[0]()
		rank.delayed = rank.delayed[1:]
	case choice < 65+g.killPercent:
		agent.driver = nil
	case choice < 65+g.killPercent+g.freezePercent:
		agent.frozenUntil = g.now.Add(time.Duration(g.random.IntN(400)) * time.Millisecond)
	case choice < 72:
		g.propose(version)
	default:
		return g.step()
	}
	return ""
}

// deliver passes a message to the agent of the rank that it is sent to, unless the agent
// is down or suspended.
func (g *simGroup) deliver(message Message) {
	to := g.agents[message.To]
	if to.driver != nil && !g.now.Before(to.frozenUntil) {
		to.driver.Receive(g.now, message)
	}
}

// runWithoutFaults ends all faults and reports a violation if the group makes no
// progress.
func (g *simGroup) runWithoutFaults() string {
	g.lossRate = 0
	for _, rank := range g.ranks {
		rank.delayed = nil
	}
	before := g.steps
	for range 400 {
		g.now = g.now.Add(20 * time.Millisecond)
		for _, agent := range g.agents {
			agent.tick()
		}
		for len(g.inFlight) > 0 {
			message := g.inFlight[0]
			g.inFlight = g.inFlight[1:]
			if to := g.agents[message.To]; to.driver != nil {
				to.driver.Receive(g.now, message)
			}
		}
		if violation := g.step(); violation != "" {
			return violation
		}
	}
	if g.steps-before < 100 {
		return "the group makes no progress"
	}
	return ""
}

func (g *simGroup) releaseStrayHold(agent *simAgent) {
	if agent.driver == nil || g.now.Before(agent.frozenUntil) {
		return
	}
	if _, err := agent.engine.Refresh(); err != nil || !agent.driver.agent.Idle() {
		return
	}
	// The error is that of a lost command, which the next tick repeats.
	_ = agent.engine.ReleaseStrayHold(g.now, g.now.Add(-time.Hour), agent.driver.agent.Current())
}
