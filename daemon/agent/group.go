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
	// groupTick is the time between two looks at the engine's step.
	groupTick = 50 * time.Millisecond
	// votePatience is how long a promise stays undecided before the agent polls
	// the others; voteStagger is added for each rank.
	votePatience = 200 * time.Millisecond
	voteStagger  = 10 * time.Millisecond
	// listenTime is how long an entry that asked for the load gets reports.
	listenTime = 3 * time.Second
	// groupInbox bounds the calls that wait for the loop; what does not fit is
	// lost, like a message on a broken link.
	groupInbox = 1024
)

// groupPeers is what a rank uses of the links.
type groupPeers interface {
	Send(peer string, kind uint16, body any) error
}

// groupRank takes part in the lock-step group of the agent's engine, if the
// tables place it in one. All fields but inbox belong to the loop in run.
type groupRank struct {
	target string
	client *engine.Client
	peers  groupPeers
	// want sets the addresses of the agents to keep links to.
	want   func(addresses []string)
	tables func() *table.Snapshot
	clock  clockwork.Clock
	log    *logrus.Entry
	inbox  chan func(now time.Time)

	// followed is the snapshot that pool, members and links were taken from.
	followed *table.Snapshot

	rank   *engine.Rank
	driver *expertmap.Driver
	// incarnation is the agent's towards the engine.
	incarnation uint64
	pool        string
	// members are the targets of the group by rank.
	members []string
	state   engine.RankState
	ended   expertmap.Outcome
	// listeners holds until when each entry gets reports.
	listeners map[string]time.Time
	// formedAt numbers the life of the engine's counts, loads the loads told.
	formedAt uint64
	loads    uint64
	// fault is the last one logged, so that it is logged once.
	fault string
}

func newGroupRank(a *Agent) *groupRank {
	return &groupRank{
		target: a.settings.Name, client: a.engine, peers: a.node.Peers, want: a.node.Keeper.SetAddresses,
		tables: a.node.Current, clock: a.clock, log: a.log.WithField("part", "group"),
		inbox: make(chan func(time.Time), groupInbox), listeners: map[string]time.Time{},
	}
}

func (g *groupRank) run(ctx context.Context) {
	ticker := g.clock.NewTicker(groupTick)
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

// post hands a call to the loop; false when the loop is behind.
func (g *groupRank) post(call func(now time.Time)) bool {
	select {
	case g.inbox <- call:
		return true
	default:
		return false
	}
}

// receive takes a message of another agent of the group.
func (g *groupRank) receive(peer string, body []byte) {
	message, err := expertmap.Decode(body)
	if err != nil {
		g.log.WithField("peer", peer).WithError(err).Warn("malformed message")
		return
	}
	g.post(func(now time.Time) {
		if g.driver == nil || message.From < 0 || message.From >= len(g.members) || g.members[message.From] != peer {
			return
		}
		g.driver.Receive(now, message)
	})
}

// propose makes this agent the coordinator of a proposal; done gets whether it
// was taken up.
func (g *groupRank) propose(proposal expertmap.Proposal, done chan<- bool) bool {
	return g.post(func(now time.Time) {
		if g.driver == nil {
			done <- false
			return
		}
		g.driver.Propose(now, proposal)
		done <- true
	})
}

func (g *groupRank) tick(now time.Time) {
	if !g.follow() {
		return
	}
	state, err := g.rank.State()
	if err != nil {
		g.note("engine does not tell its step", err)
		return
	}
	if !g.matches(state.State) {
		g.driver = nil
		g.note("engine's rank or group size is not the tables'", nil)
		return
	}
	if g.driver == nil {
		g.start(now, state)
	} else if known, _, _ := g.driver.Agent().Group(); known != state.State.Group {
		g.formed(now)
	}
	if g.driver == nil {
		return
	}
	g.fault = ""
	g.state = state
	g.driver.Tick(now)
	g.report(now)
}

// follow keeps pool, members and links to the tables; false outside of groups.
func (g *groupRank) follow() bool {
	snapshot := g.tables()
	if snapshot == nil {
		return false
	}
	if snapshot == g.followed {
		return g.pool != ""
	}
	g.followed = snapshot
	pool, at, found := snapshot.GroupOf(g.target)
	if !found {
		if g.pool != "" {
			g.pool, g.members, g.driver = "", nil, nil
			g.want(nil)
		}
		return false
	}
	g.pool, g.members = pool.Name, pool.Targets
	// One side dials, so that each pair of agents has one link.
	addresses := make([]string, 0, at)
	for _, name := range pool.Targets[:at] {
		if member, known := snapshot.Target(name); known {
			addresses = append(addresses, member.Agent)
		}
	}
	g.want(addresses)
	if g.rank == nil {
		g.rank = engine.NewRank(g.client)
	}
	return true
}

func (g *groupRank) matches(facts expertmap.EngineState) bool {
	return facts.Size == len(g.members) && facts.Rank >= 0 && facts.Rank < facts.Size &&
		g.members[facts.Rank] == g.target
}

// start attaches to the engine and goes on from the votes that it keeps. The
// incarnation grows even if the host's clock was set back.
func (g *groupRank) start(now time.Time, state engine.RankState) {
	if g.incarnation == 0 {
		g.incarnation = max(uint64(now.UnixMicro()), state.Agent+1)
	}
	config := expertmap.Config{Incarnation: g.incarnation, PollInterval: votePatience, PollStagger: voteStagger}
	driver, err := expertmap.NewDriver(now, config, g.rank, g, g)
	if err != nil {
		g.incarnation = 0
		g.note("cannot attach to the engine", err)
		return
	}
	g.driver = driver
	g.formedAt = uint64(now.UnixMicro())
	g.log.WithField("pool", g.pool).WithField("rank", state.State.Rank).Info("joined the group")
}

func (g *groupRank) formed(now time.Time) {
	facts, err := g.rank.Attach(g.incarnation)
	if err != nil {
		g.note("cannot attach to the engine", err)
		g.driver = nil
		return
	}
	g.driver.Formed(now, facts)
	g.formedAt = uint64(now.UnixMicro())
	g.log.WithField("pool", g.pool).Info("the group was formed anew")
}

func (g *groupRank) note(what string, err error) {
	if g.fault == what {
		return
	}
	g.fault = what
	g.log.WithError(err).Warn(what)
}

// report tells the entries that listen what the rank does.
func (g *groupRank) report(now time.Time) {
	facts, agent := g.state.State, g.driver.Agent()
	report := &group.Report{
		Pool: g.pool, Target: g.target, Rank: facts.Rank, Size: facts.Size,
		Agent: g.incarnation, Group: facts.Group, Step: facts.Step,
		Running: facts.Running, Current: agent.Current(), Undecided: agent.Undecided() != nil,
		Loaded: g.state.Loaded, Ended: g.ended.ID, Decision: g.ended.Decision,
	}
	for peer, until := range g.listeners {
		if now.After(until) {
			delete(g.listeners, peer)
			continue
		}
		_ = g.peers.Send(peer, group.MessageReport, report)
	}
}

// listen sends an entry reports for a while, and hands over what the engine's
// counts must be told with; nothing is handed over outside of a group.
func (g *groupRank) listen(peer string, into chan<- placement.Report) bool {
	return g.post(func(now time.Time) {
		if g.driver == nil {
			close(into)
			return
		}
		g.listeners[peer] = now.Add(listenTime)
		g.loads++
		into <- placement.Report{Rank: g.state.State.Rank, Incarnation: g.formedAt, Sequence: g.loads}
	})
}

// Send implements expertmap.Transport.
func (g *groupRank) Send(rank int, message expertmap.Message) {
	if rank < 0 || rank >= len(g.members) {
		return
	}
	// A message that is lost is sent again by the next poll.
	_ = g.peers.Send(g.members[rank], group.MessageExpertMap, &message)
}

// ProposalEnded implements expertmap.Observer.
func (g *groupRank) ProposalEnded(ended expertmap.Outcome) {
	g.ended = ended
	g.log.WithField("pool", g.pool).WithField("decision", ended.Decision).Info("proposal ended")
}

// EngineFailed implements expertmap.Observer; the driver repeats the action.
func (g *groupRank) EngineFailed(action expertmap.ActionKind, err error) {
	g.log.WithField("action", action).WithError(err).Warn("engine did not take an action")
}
