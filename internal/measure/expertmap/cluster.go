package expertmap

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// Faults configures the injected network and host faults.
type Faults struct {
	// LossShare and DuplicateShare are the fractions of messages lost and delivered
	// twice.
	LossShare, DuplicateShare float64
	// DelayedShare is the fraction of messages delayed by up to MaxExtraDelay beyond
	// the one-way delay.
	DelayedShare  float64
	MaxExtraDelay time.Duration
	// CrashInterval is the mean time between agent crashes; 0 means none.
	// RestartDelay is the time from a crash to the restart of the agent.
	CrashInterval time.Duration
	RestartDelay  time.Duration
	// ReformInterval is the mean time between re-formations of the group; 0 means none.
	ReformInterval time.Duration
	// SlowStepShare is the fraction of steps in which one rank takes ten times as long as
	// StepTime.
	SlowStepShare float64
}

// Options configure a Cluster.
type Options struct {
	Ranks        int
	OneWayDelay  time.Duration
	StepTime     time.Duration
	PollInterval time.Duration
	// PermittedSteps is the number of steps that an agent permits its engine to run
	// ahead; 0 selects engines that implement holds themselves.
	PermittedSteps uint64
	// Encode passes each message through the codec.
	Encode bool
	Faults Faults
	Seed   uint64
}

// Counts are the event counts of a Cluster.
type Counts struct {
	// Steps counts the steps that every rank has finished. StalledSteps counts the
	// steps that a hold or a missing permission delayed on some rank; StalledTime is
	// the sum over these steps of the longest delay on any rank.
	Steps        int
	StalledSteps int
	StalledTime  time.Duration
	Messages     int
	Bytes        int // total size of the encoded messages
	CodecErrors  int
	Commits      int
	Aborts       int
	Crashes      int
	Reformations int
	// Invariant violations, all of which must be zero: MixedMapSteps counts the
	// times that a rank started a step on another map than an earlier rank did,
	// ConflictingDecisions counts reports of a decision that contradicts an earlier one
	// on the proposal, and EngineErrors counts failed engine calls.
	MixedMapSteps        int
	ConflictingDecisions int
	EngineErrors         int
}

type stepKey struct {
	group, step uint64
}

type node struct {
	engine        expertmap.RankEngine
	gate          *expertmap.StepGate // nil if the engine implements holds itself
	permittedStep uint64              // the last step that the engine may run
	driver        *expertmap.Driver   // nil while the agent is down
	incarnation   uint64
	computing     bool      // a step is being computed
	heldSince     time.Time // zero unless a step is delayed
}

// Cluster simulates a lock-step group and its agents on a simulated clock.
type Cluster struct {
	options       Options
	random        *rand.Rand
	now           time.Time
	events        eventQueue
	nodes         []*node
	group         uint64
	finishedRanks map[stepKey]int
	stepMaps      map[stepKey]expertmap.MapID
	stepStalls    map[stepKey]time.Duration
	decisions     map[expertmap.ProposalID]expertmap.Decision
	lastMap       expertmap.MapID
	eventSequence int
	faultsEnded   bool
	Counts        Counts
}

// tickInterval is the interval at which agents check their timers.
const tickInterval = 5 * time.Millisecond

// NewCluster creates a group at step 0 on the zero map.
func NewCluster(options Options) *Cluster {
	c := &Cluster{
		options:       options,
		random:        rand.New(rand.NewPCG(options.Seed, 6)),
		now:           time.Unix(0, 0),
		group:         1,
		finishedRanks: map[stepKey]int{},
		stepMaps:      map[stepKey]expertmap.MapID{},
		stepStalls:    map[stepKey]time.Duration{},
		decisions:     map[expertmap.ProposalID]expertmap.Decision{},
	}
	for rank := range options.Ranks {
		state := expertmap.EngineState{Group: expertmap.GroupID{Incarnation: 1}, Rank: rank, Size: options.Ranks}
		c.nodes = append(c.nodes, &node{engine: expertmap.NewRankEngine(state)})
	}
	for rank := range c.nodes {
		c.startAgent(rank)
		c.schedule(0, func() { c.tryStep(rank) })
		c.schedule(tickInterval, func() { c.tick(rank) })
	}
	c.scheduleFault(options.Faults.CrashInterval, c.crashAgent)
	c.scheduleFault(options.Faults.ReformInterval, c.reformGroup)
	return c
}

// RunFor advances simulated time by d and runs the events that fall due.
func (c *Cluster) RunFor(d time.Duration) {
	until := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = until
}

// EndFaults stops fault injection and restarts all crashed agents.
func (c *Cluster) EndFaults() {
	c.faultsEnded = true
	for rank := range c.nodes {
		if c.nodes[rank].driver == nil {
			c.startAgent(rank)
		}
	}
}

// HeldRanks returns the number of ranks that hold, or whose agent is down, recovering
// or waiting for the decision on a proposal.
func (c *Cluster) HeldRanks() int {
	held := 0
	for _, n := range c.nodes {
		state := n.engine.State()
		if n.driver != nil && n.driver.Agent().Recovering() {
			held++
			continue
		}
		if state.Held != nil || n.driver == nil || n.driver.Agent().Undecided() != nil {
			held++
		}
	}
	return held
}

// scheduleFault repeats a fault at exponentially distributed intervals of the given
// mean; 0 means never.
func (c *Cluster) scheduleFault(meanInterval time.Duration, fault func()) {
	if meanInterval <= 0 {
		return
	}
	wait := time.Duration(c.random.ExpFloat64() * float64(meanInterval))
	c.schedule(wait, func() {
		if c.faultsEnded {
			return
		}
		fault()
		c.scheduleFault(meanInterval, fault)
	})
}

func (c *Cluster) crashAgent() {
	rank := c.random.IntN(len(c.nodes))
	if c.nodes[rank].driver == nil {
		return
	}
	c.Counts.Crashes++
	c.nodes[rank].driver = nil
	c.schedule(c.options.Faults.RestartDelay, func() {
		if c.nodes[rank].driver == nil {
			c.startAgent(rank)
		}
	})
}

func (c *Cluster) startAgent(rank int) {
	n := c.nodes[rank]
	n.incarnation++
	config := expertmap.Config{
		Incarnation:  n.incarnation,
		PollInterval: c.options.PollInterval,
		PollStagger:  c.options.PollInterval / 64,
	}
	var engine expertmap.Engine = rankAdapter{c, rank}
	if c.options.PermittedSteps > 0 {
		n.gate = expertmap.NewStepGate(permitEngine{c, rank}, c.options.PermittedSteps)
		engine = n.gate
	}
	driver, err := expertmap.NewDriver(c.now, config, engine, rankAdapter{c, rank}, rankAdapter{c, rank})
	if err != nil {
		c.Counts.EngineErrors++
		return
	}
	n.driver = driver
	c.extendPermission(n)
}

// extendPermission lets a running agent permit its engine further steps.
func (c *Cluster) extendPermission(n *node) {
	if n.gate == nil || n.driver == nil {
		return
	}
	if err := n.gate.ExtendPermission(); err != nil {
		c.Counts.EngineErrors++
	}
}

// reformGroup re-forms the group: ranks join the new incarnation at different times,
// with the map of the last completed step.
func (c *Cluster) reformGroup() {
	c.Counts.Reformations++
	c.group++
	group := c.group
	start := c.lastMap
	for rank := range c.nodes {
		wait := time.Duration(c.random.Int64N(int64(4*c.options.OneWayDelay) + 1))
		c.schedule(wait, func() { c.joinGroup(rank, group, start) })
	}
}

func (c *Cluster) joinGroup(rank int, group uint64, start expertmap.MapID) {
	n := c.nodes[rank]
	if n.engine.State().Group.Incarnation >= group {
		return
	}
	state := expertmap.EngineState{Group: expertmap.GroupID{Incarnation: group}, Rank: rank, Size: c.options.Ranks, Running: start}
	n.engine.Reset(state)
	n.permittedStep = 0
	n.computing = false
	n.heldSince = time.Time{}
	if n.driver != nil {
		c.notifyFormed(n, state)
	}
	c.tryStep(rank)
}

// notifyFormed notifies the agent of the new group.
func (c *Cluster) notifyFormed(n *node, state expertmap.EngineState) {
	if n.gate == nil {
		n.driver.Formed(c.now, state)
		return
	}
	attached, err := n.gate.Attach(n.incarnation)
	if err != nil {
		c.Counts.EngineErrors++
		return
	}
	n.driver.Formed(c.now, attached)
	c.extendPermission(n)
}

func (c *Cluster) tick(rank int) {
	n := c.nodes[rank]
	if n.driver != nil {
		n.driver.Tick(c.now)
		c.extendPermission(n)
		c.tryStep(rank)
	}
	c.schedule(tickInterval, func() { c.tick(rank) })
}
