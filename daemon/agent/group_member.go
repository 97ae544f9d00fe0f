package agent

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/engine"
	"verbenaseam.example/verbenaseam/daemon/group"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	// groupTickInterval is the time between two reads of the engine's state.
	groupTickInterval = 50 * time.Millisecond
	// undecidedPollInterval is how long a promised proposal stays undecided before
	// the agent polls the other agents. undecidedPollStagger times the agent's rank is
	// added, so that the first agent to learn the decision can tell the others before
	// they poll.
	undecidedPollInterval = 200 * time.Millisecond
	undecidedPollStagger  = 10 * time.Millisecond
	// reportSubscriptionTTL is how long an entry receives reports after it asked
	// for the load.
	reportSubscriptionTTL = 3 * time.Second
	// groupInboxCapacity bounds the calls queued for the loop. Calls that do not fit
	// are dropped, like a message on a broken link.
	groupInboxCapacity = 1024
)

// groupPeers sends messages to peers over the links.
type groupPeers interface {
	Send(peer string, kind uint16, body any) error
}

// groupMember represents the agent's engine in its lock-step group, if the tables
// place it in one. The fields up to inbox do not change after creation; those after
// it are owned by the loop in run.
type groupMember struct {
	target string
	client *engine.Client
	peers  groupPeers
	// setLinkAddresses sets the agent addresses to maintain links to.
	setLinkAddresses func(addresses []string)
	tables           func() *table.Snapshot
	clock            clockwork.Clock
	log              *logrus.Entry
	inbox            chan func(now time.Time)

	// appliedTables is the snapshot from which pool, members and links were derived.
	appliedTables *table.Snapshot

	rank   *engine.RankClient
	driver *expertmap.Driver
	// incarnation is the agent's incarnation as attached to the engine.
	incarnation uint64
	pool        string
	// members holds the targets of the group, indexed by rank.
	members     []string
	state       engine.RankState
	lastOutcome expertmap.Outcome
	// subscriptions holds the expiry of each entry's report subscription.
	subscriptions map[string]time.Time
	// countsIncarnation identifies the lifetime of the engine's counters; it is set
	// on every attach to the engine. loadSequence numbers the load reports.
	countsIncarnation uint64
	loadSequence      uint64
	// lastFault is the last fault logged; a repeated fault is logged only once.
	lastFault string
}

func newGroupMember(a *Agent) *groupMember {
	return &groupMember{
		target: a.settings.Name, client: a.engine, peers: a.node.Peers, setLinkAddresses: a.node.Dialer.SetAddresses,
		tables: a.node.Current, clock: a.clock, log: a.log.WithField("part", "group"),
		inbox: make(chan func(time.Time), groupInboxCapacity), subscriptions: map[string]time.Time{},
	}
}

func (g *groupMember) run(ctx context.Context) {
	ticker := g.clock.NewTicker(groupTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-g.inbox:
			call(g.clock.Now())
		case <-ticker.Chan():
			g.tick(g.clock.Now())
		}
	}
}

// enqueue queues a call for the loop. It returns false when the queue is full.
func (g *groupMember) enqueue(call func(now time.Time)) bool {
	select {
	case g.inbox <- call:
		return true
	default:
		return false
	}
}

// receive handles a message from another agent of the group. Messages whose
// sender does not match the rank they claim are dropped.
func (g *groupMember) receive(peer string, body []byte) {
	message, err := expertmap.Decode(body)
	if err != nil {
		g.log.WithField("peer", peer).WithError(err).Warn("message cannot be decoded; dropped")
		return
	}
	g.enqueue(func(now time.Time) {
		if g.driver == nil || message.From < 0 || message.From >= len(g.members) || g.members[message.From] != peer {
			return
		}
		g.driver.Receive(now, message)
	})
}

// propose makes this agent the coordinator of a proposal. done receives whether
// the proposal was accepted; propose returns false when the loop's queue is full.
func (g *groupMember) propose(proposal expertmap.Proposal, done chan<- bool) bool {
	return g.enqueue(func(now time.Time) {
		if g.driver == nil {
			done <- false
			return
		}
		g.driver.Propose(now, proposal)
		done <- true
	})
}

func (g *groupMember) tick(now time.Time) {
	if !g.applyTables() {
		return
	}
	state, err := g.rank.State()
	if err != nil {
		g.logFault("reading the engine's state failed", err)
		return
	}
	if !g.matchesTables(state.State) {
		g.driver = nil
		g.logFault("engine's rank or group size differs from the tables", nil)
		return
	}
	if g.driver == nil {
		g.attach(now, state)
	} else if attached, _, _ := g.driver.Agent().Group(); attached != state.State.Group {
		g.reattach(now)
	}
	if g.driver == nil {
		return
	}
	g.lastFault = ""
	g.state = state
	g.driver.Tick(now)
	g.sendReports(now)
}

// applyTables updates pool, members and links from the tables in force. It
// returns false when the target is in no group.
func (g *groupMember) applyTables() bool {
	snapshot := g.tables()
	if snapshot == nil {
		return false
	}
	if snapshot == g.appliedTables {
		return g.pool != ""
	}
	g.appliedTables = snapshot
	pool, rank, found := snapshot.GroupOf(g.target)
	if !found {
		if g.pool != "" {
			g.pool, g.members, g.driver = "", nil, nil
			g.setLinkAddresses(nil)
		}
		return false
	}
	g.pool, g.members = pool.Name, pool.Targets
	// Only the higher rank dials, so that each pair of agents has a single link.
	addresses := make([]string, 0, rank)
	for _, name := range pool.Targets[:rank] {
		if member, known := snapshot.Target(name); known {
			addresses = append(addresses, member.Agent)
		}
	}
	g.setLinkAddresses(addresses)
	if g.rank == nil {
		g.rank = engine.NewRankClient(g.client)
	}
	return true
}

// matchesTables reports whether the engine's rank and group size are those of
// the tables.
func (g *groupMember) matchesTables(engineState expertmap.EngineState) bool {
	return engineState.Size == len(g.members) && engineState.Rank >= 0 && engineState.Rank < engineState.Size &&
		g.members[engineState.Rank] == g.target
}

// attach attaches to the engine and resumes from the votes stored there. The
// incarnation increases even if the host's clock was set back.
func (g *groupMember) attach(now time.Time, state engine.RankState) {
	if g.incarnation == 0 {
		g.incarnation = max(uint64(now.UnixMicro()), state.Agent+1)
	}
	config := expertmap.Config{Incarnation: g.incarnation, PollInterval: undecidedPollInterval, PollStagger: undecidedPollStagger}
	driver, err := expertmap.NewDriver(now, config, g.rank, g, g)
	if err != nil {
		g.incarnation = 0
		g.logFault("attaching to the engine failed", err)
		return
	}
	g.driver = driver
	g.countsIncarnation = uint64(now.UnixMicro())
	g.log.WithField("pool", g.pool).WithField("rank", state.State.Rank).Info("joined the lock-step group")
}

// reattach attaches to the engine again after the group was re-formed.
func (g *groupMember) reattach(now time.Time) {
	engineState, err := g.rank.Attach(g.incarnation)
	if err != nil {
		g.logFault("attaching to the engine failed", err)
		g.driver = nil
		return
	}
	g.driver.Formed(now, engineState)
	g.countsIncarnation = uint64(now.UnixMicro())
	g.log.WithField("pool", g.pool).Info("reattached after the lock-step group was re-formed")
}

// logFault logs a fault unless it is the last one logged.
func (g *groupMember) logFault(fault string, err error) {
	if g.lastFault == fault {
		return
	}
	g.lastFault = fault
	g.log.WithError(err).Warn(fault)
}

// sendReports sends the state of this rank to the subscribed entries and removes
// expired subscriptions.
func (g *groupMember) sendReports(now time.Time) {
	engineState, agent := g.state.State, g.driver.Agent()
	report := &group.Report{
		Pool: g.pool, Target: g.target, Rank: engineState.Rank, Size: engineState.Size,
		AgentIncarnation: g.incarnation, Group: engineState.Group, Step: engineState.Step,
		Running: engineState.Running, Current: agent.Current(), Undecided: agent.Undecided() != nil,
		Loaded: g.state.Loaded, Ended: g.lastOutcome.ID, Decision: g.lastOutcome.Decision,
	}
	for peer, until := range g.subscriptions {
		if now.After(until) {
			delete(g.subscriptions, peer)
			continue
		}
		_ = g.peers.Send(peer, group.MessageReport, report)
	}
}

// subscribe sends reports to an entry for reportSubscriptionTTL. header receives
// the rank, incarnation and sequence number to put on the engine's counts; it is
// closed without a value when the agent is in no group. subscribe returns false when
// the loop's queue is full.
func (g *groupMember) subscribe(peer string, header chan<- placement.Report) bool {
	return g.enqueue(func(now time.Time) {
		if g.driver == nil {
			close(header)
			return
		}
		g.subscriptions[peer] = now.Add(reportSubscriptionTTL)
		g.loadSequence++
		header <- placement.Report{Rank: g.state.State.Rank, Incarnation: g.countsIncarnation, Sequence: g.loadSequence}
	})
}

// Send implements expertmap.Transport.
func (g *groupMember) Send(rank int, message expertmap.Message) {
	if rank < 0 || rank >= len(g.members) {
		return
	}
	// A lost message is sent again by the next poll.
	_ = g.peers.Send(g.members[rank], group.MessageExpertMap, &message)
}

// ProposalEnded implements expertmap.Observer.
func (g *groupMember) ProposalEnded(outcome expertmap.Outcome) {
	g.lastOutcome = outcome
	g.log.WithField("pool", g.pool).WithField("decision", outcome.Decision).Info("proposal ended")
}

// EngineFailed implements expertmap.Observer. The driver retries the action.
func (g *groupMember) EngineFailed(action expertmap.ActionKind, err error) {
	g.log.WithField("action", action).WithError(err).Warn("engine action failed")
}
