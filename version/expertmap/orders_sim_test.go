package expertmap

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// errLost is what a caller sees of an order whose answer is lost.
var errLost = errors.New("no answer")

// simFault breaks a rule of the engines or of the agents on purpose.
type simFault uint8

const (
	simSound simFault = iota
	// simVoidSkipped says that a map is void while it still can be armed.
	simVoidSkipped
	// simUnheld says that the keeper's engine holds while it does not.
	simUnheld
	// simReleasedForged lets the keeper go before the others have confirmed.
	simReleasedForged
	// simGoUnarmed lets the group go without looking whether the switch is set.
	simGoUnarmed
)

// simRank is the engine of one rank.
type simRank struct {
	report RankReport
	// highest is the highest version that the rank was told to copy.
	highest uint64
	// unheld is a step for which the rank is said to hold.
	unheld uint64
	late   []func()
}

// copyMap takes an order to copy a map.
func (r *simRank) copyMap(version uint64) bool {
	if version <= r.highest || r.report.ArmedVersion != 0 {
		return false
	}
	r.highest, r.report.Prepared = version, version
	return true
}

// simGroup is a lock-step group whose orders get lost or come late.
type simGroup struct {
	random *rand.Rand
	fault  simFault
	// counting tells that the engines count their orders and refuse those that name
	// another number.
	counting bool
	ranks    []*simRank
	agents   []*simAgent
	mail     []Message
	now      time.Time
	// planned is the map that was proposed last, by whom and for which step.
	planned struct {
		to   MapID
		lead int
		step uint64
	}
	// lossy is how likely an order gets no answer.
	lossy float64
	// kills and freezes are how many turns of a hundred kill an agent, and freeze one
	// for a time.
	kills, freezes int
	// steps counts the steps, switches those in which the map changed.
	steps, switches int
	starts          uint64
}

// simAgent is the agent of one rank; nil driver while it is down.
type simAgent struct {
	simOrders
	driver *Driver
	engine *OrderEngine
	// thaws is when a frozen agent goes on.
	thaws time.Time
}

// simOrders is somebody's access to the engine of a rank.
type simOrders struct {
	group *simGroup
	rank  int
	// skipped is the map that was said to be copied and was not.
	skipped uint64
}

func newSimGroup(seed uint64, size int, counting bool, fault simFault) *simGroup {
	g := &simGroup{random: rand.New(rand.NewPCG(seed, 7)), counting: counting, fault: fault, now: time.Unix(0, 0), lossy: 0.3, kills: 1}
	for rank := range size {
		g.ranks = append(g.ranks, &simRank{report: RankReport{Group: "g", Incarnation: 1, Rank: rank, Size: size, Open: true}})
		g.agents = append(g.agents, &simAgent{simOrders: simOrders{group: g, rank: rank}})
	}
	return g
}

// order carries an order out now, later, or both says so and not.
func (a *simOrders) order(orders uint64, begin func(r *RankReport) bool) (bool, error) {
	rank := a.group.ranks[a.rank]
	carryOut := func() bool {
		if rank.report.Orders != orders {
			return false
		}
		if !begin(&rank.report) {
			return false
		}
		if a.group.counting {
			rank.report.Orders++
		}
		return true
	}
	if a.group.random.Float64() >= a.group.lossy {
		return carryOut(), nil
	}
	switch a.group.random.IntN(3) {
	case 0:
		carryOut()
	case 1:
		rank.late = append(rank.late, func() { carryOut() })
	}
	return false, errLost
}

// Report implements Orders.
func (a *simOrders) Report() (RankReport, error) {
	report := a.group.ranks[a.rank].report
	if a.skipped != 0 && report.Prepared+1 == a.skipped {
		report.Prepared = a.skipped
	}
	if unheld := a.group.ranks[a.rank].unheld; unheld > report.Step {
		report.Holding, report.Held = true, unheld
	}
	if a.group.fault == simGoUnarmed && report.Holding {
		report.ArmedVersion, report.ArmedStep = a.believedArmed(report)
	}
	return report, nil
}

// believedArmed says that the switch is set whatever the engine says.
func (a *simOrders) believedArmed(report RankReport) (version, step uint64) {
	if report.ArmedVersion != 0 {
		return report.ArmedVersion, report.ArmedStep
	}
	return report.Prepared, report.Held
}

// Arm implements Orders.
func (a *simOrders) Arm(orders, _, version, step uint64) (bool, error) {
	return a.order(orders, func(r *RankReport) bool {
		if r.Prepared != version || r.Step >= step || r.ArmedVersion != 0 {
			return false
		}
		r.ArmedVersion, r.ArmedStep = version, step
		return true
	})
}

// Disarm implements Orders.
func (a *simOrders) Disarm(orders, _, version uint64) (bool, error) {
	return a.order(orders, func(r *RankReport) bool {
		if r.ArmedVersion != version {
			return false
		}
		r.ArmedVersion, r.ArmedStep = 0, 0
		return true
	})
}

// Hold implements Orders.
func (a *simOrders) Hold(orders, _, step uint64) (bool, error) {
	if a.group.fault == simUnheld {
		a.group.ranks[a.rank].unheld = step
		return true, nil
	}
	return a.order(orders, func(r *RankReport) bool {
		if r.Holding || r.Step >= step {
			return false
		}
		r.Holding, r.Held = true, step
		return true
	})
}

// Copy implements Orders.
func (a *simOrders) Copy(orders, _, version uint64) (bool, error) {
	if a.group.fault == simVoidSkipped {
		a.skipped = version
		return true, nil
	}
	return a.order(orders, func(*RankReport) bool { return a.group.ranks[a.rank].copyMap(version) })
}

// Go implements Orders.
func (a *simOrders) Go(orders, _, step uint64) (bool, error) {
	return a.order(orders, func(r *RankReport) bool {
		if !r.Holding || r.Held != step {
			return false
		}
		r.Holding = false
		return true
	})
}

// Send implements Transport.
func (a *simAgent) Send(rank int, message Message) {
	message.To = rank
	if a.forged(message) {
		return
	}
	if a.group.random.IntN(10) > 0 {
		a.group.mail = append(a.group.mail, message)
	}
}

// forged answers a message at once and untruly if the fault asks for that.
func (a *simAgent) forged(message Message) bool {
	answer := Message{Group: message.Group, From: message.To, To: message.From, ID: message.ID, Peer: message.Agent, Agent: message.Agent}
	if a.group.fault != simReleasedForged || message.Kind != KindDismiss {
		return false
	}
	answer.Kind = KindReleased
	a.group.mail = append(a.group.mail, answer)
	return true
}

// ProposalEnded implements Observer.
func (a *simAgent) ProposalEnded(Ended) {}

// EngineFailed implements Observer.
func (a *simAgent) EngineFailed(ActionKind, error) {}

// start starts an agent anew; it may fail, as its first orders may be lost.
func (a *simAgent) start() {
	a.group.starts++
	a.engine = NewOrderEngine(&a.simOrders)
	driver, err := NewDriver(a.group.now, Config{Incarnation: a.group.starts, Patience: 50 * time.Millisecond, Stagger: time.Millisecond}, a.engine, a, a)
	if err != nil {
		return
	}
	a.driver = driver
}

// tick lets an agent work, unless it is frozen, and starts one that is down.
func (a *simAgent) tick() {
	switch {
	case a.group.now.Before(a.thaws):
	case a.driver == nil:
		a.start()
	default:
		a.driver.Tick(a.group.now)
		a.group.dropStray(a)
	}
}

// step lets the group make a step unless a rank holds; it tells if the ranks made
// it on different maps.
func (g *simGroup) step() (mixed string) {
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
		if r.ArmedVersion != 0 && r.ArmedStep <= next {
			r.Running, r.ArmedVersion, r.ArmedStep = r.ArmedVersion, 0, 0
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

// propose lets a random agent prepare and propose another map.
func (g *simGroup) propose(version uint64) {
	lead := g.agents[g.random.IntN(len(g.agents))]
	if lead.driver == nil {
		return
	}
	report := g.ranks[lead.rank].report
	to := MapID{Epoch: 1, Version: version * versionStride}
	at := report.Step + 1 + g.random.Uint64N(mostAhead-1)
	if last := g.planned; g.random.IntN(2) == 0 && last.lead == lead.rank && last.to.Number() > report.Running {
		// A planner proposes a map again, but never twice for the same step.
		to, at = last.to, max(at, last.step+1)
	}
	g.planned.to, g.planned.lead, g.planned.step = to, lead.rank, at
	agents := make([]uint64, len(g.agents))
	for rank, agent := range g.agents {
		g.ranks[rank].copyMap(to.Number())
		if agent.driver != nil {
			agents[rank] = agent.driver.agent.config.Incarnation
		}
	}
	proposal := Proposal{
		ID: ProposalOf(to, at), Group: 1, From: MapOf(g.ranks[lead.rank].report.Running), To: to, Step: at, Agents: agents,
		Kept: true, Proposer: lead.rank, Keeper: (lead.rank + 1 + g.random.IntN(len(g.agents)-1)) % len(g.agents),
	}
	if kept, err := Keep(&simOrders{group: g, rank: proposal.Keeper}, proposal); err != nil || !kept {
		return
	}
	lead.driver.Propose(g.now, proposal)
}

// turn lets one thing happen.
func (g *simGroup) turn(version uint64) string {
	g.now = g.now.Add(time.Duration(1+g.random.IntN(20)) * time.Millisecond)
	agent := g.agents[g.random.IntN(len(g.agents))]
	rank := g.ranks[agent.rank]
	switch choice := g.random.IntN(100); {
	case choice < 35 && len(g.mail) > 0:
		at := g.random.IntN(len(g.mail))
		message := g.mail[at]
		g.mail = append(g.mail[:at], g.mail[at+1:]...)
		if to := g.agents[message.To]; to.driver != nil && !g.now.Before(to.thaws) {
			to.driver.Receive(g.now, message)
		}
	case choice < 60:
		agent.tick()
	case choice < 65 && len(rank.late) > 0:
		rank.late[0]()
		rank.late = rank.late[1:]
	case choice < 65+g.kills:
		agent.driver = nil
	case choice < 65+g.kills+g.freezes:
		agent.thaws = g.now.Add(time.Duration(g.random.IntN(400)) * time.Millisecond)
	case choice < 72:
		g.propose(version)
	default:
		return g.step()
	}
	return ""
}

// settle ends all faults and tells whether the group goes on.
func (g *simGroup) settle() string {
	g.lossy = 0
	for _, rank := range g.ranks {
		rank.late = nil
	}
	before := g.steps
	for range 400 {
		g.now = g.now.Add(20 * time.Millisecond)
		for _, agent := range g.agents {
			agent.tick()
		}
		for len(g.mail) > 0 {
			message := g.mail[0]
			g.mail = g.mail[1:]
			if to := g.agents[message.To]; to.driver != nil {
				to.driver.Receive(g.now, message)
			}
		}
		if mixed := g.step(); mixed != "" {
			return mixed
		}
	}
	if g.steps-before < 100 {
		return "the group stands still"
	}
	return ""
}

func (g *simGroup) dropStray(agent *simAgent) {
	if agent.driver == nil || g.now.Before(agent.thaws) {
		return
	}
	if _, err := agent.engine.Refresh(); err != nil || !agent.driver.agent.Idle() {
		return
	}
	// The error is that of a lost order, which the next turn gives again.
	_ = agent.engine.Stray(g.now, g.now.Add(-time.Hour), agent.driver.agent.Current())
}
