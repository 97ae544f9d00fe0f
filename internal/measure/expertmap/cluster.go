package expertmap

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// Faults says what the network and the hosts do wrong.
type Faults struct {
	// Loss and Repeat are the shares of messages lost and delivered twice.
	Loss, Repeat float64
	// Late is the share of messages delayed by up to LateBy beyond the one-way
	// delay.
	Late   float64
	LateBy time.Duration
	// CrashEvery is the mean time between crashes of agents; 0 means none.
	// RestartAfter is how long an agent stays dead.
	CrashEvery   time.Duration
	RestartAfter time.Duration
	// ReformEvery is the mean time between re-formations of the group.
	ReformEvery time.Duration
	// StallShare is the share of steps in which one rank takes ten times as long.
	StallShare float64
}

// Options describe a group.
type Options struct {
	Ranks    int
	OneWay   time.Duration
	StepTime time.Duration
	Patience time.Duration
	// Leave is how many steps of leave engines have in hand; 0 is for engines that
	// hold by themselves.
	Leave uint64
	// Encode sends messages as bytes.
	Encode bool
	Faults Faults
	Seed   uint64
}

// Counts are what a run of a Cluster saw.
type Counts struct {
	// Steps that every rank has started, and those that some rank's hold delayed,
	// with the time it took.
	Steps       int
	Stalled     int
	StalledTime time.Duration
	Messages    int
	Bytes       int // of encoded messages
	CodecErrors int
	Commits     int
	Aborts      int
	Crashes     int
	Reforms     int
	// SplitSteps counts steps that ran on two maps, SplitEnds proposals that
	// ended both ways, EngineErrors refused orders: all must be zero.
	SplitSteps   int
	SplitEnds    int
	EngineErrors int
}

type stepKey struct {
	group, step uint64
}

type node struct {
	rank   expertmap.Rank
	gate   *expertmap.StepGate // nil where the engine holds by itself
	limit  uint64              // the last step with leave
	driver *expertmap.Driver   // nil while the agent is dead
	run    uint64
	busy   bool // a step is being computed
	heldAt time.Time
}

// Cluster is a lock-step group with its agents on a simulated clock.
type Cluster struct {
	options  Options
	random   *rand.Rand
	now      time.Time
	queue    timeline
	nodes    []*node
	group    uint64
	done     map[stepKey]int
	maps     map[stepKey]expertmap.MapID
	stalls   map[stepKey]time.Duration
	ends     map[expertmap.ProposalID]expertmap.Decision
	last     expertmap.MapID
	sequence int
	calm     bool // no more faults
	Counts   Counts
}

// tickEvery is how often agents look at their timers.
const tickEvery = 5 * time.Millisecond

// NewCluster starts a group at step 0 on the zero map.
func NewCluster(options Options) *Cluster {
	c := &Cluster{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 6)),
		now:     time.Unix(0, 0),
		group:   1,
		done:    map[stepKey]int{},
		maps:    map[stepKey]expertmap.MapID{},
		stalls:  map[stepKey]time.Duration{},
		ends:    map[expertmap.ProposalID]expertmap.Decision{},
	}
	for rank := range options.Ranks {
		facts := expertmap.EngineState{Group: 1, Rank: rank, Size: options.Ranks}
		c.nodes = append(c.nodes, &node{rank: expertmap.NewRank(facts)})
	}
	for rank := range c.nodes {
		c.startAgent(rank)
		c.after(0, func() { c.tryStep(rank) })
		c.after(tickEvery, func() { c.tick(rank) })
	}
	c.plan(options.Faults.CrashEvery, c.crash)
	c.plan(options.Faults.ReformEvery, c.reform)
	return c
}

// RunFor lets d of simulated time pass.
func (c *Cluster) RunFor(d time.Duration) {
	until := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		next := heap.Pop(&c.queue).(happening)
		c.now = next.at
		next.do()
	}
	c.now = until
}

// Calm ends all faults: from now on messages arrive and agents live.
func (c *Cluster) Calm() {
	c.calm = true
	for rank := range c.nodes {
		if c.nodes[rank].driver == nil {
			c.startAgent(rank)
		}
	}
}

// Holding counts the ranks that hold, and those whose agent waits for an end.
func (c *Cluster) Holding() int {
	holding := 0
	for _, n := range c.nodes {
		facts := n.rank.State()
		if n.driver != nil && n.driver.Agent().Recovering() {
			holding++
			continue
		}
		if facts.Held != nil || n.driver == nil || n.driver.Agent().Undecided() != nil {
			holding++
		}
	}
	return holding
}

// plan repeats a fault at random times of the given mean distance.
func (c *Cluster) plan(every time.Duration, fault func()) {
	if every <= 0 {
		return
	}
	wait := time.Duration(c.random.ExpFloat64() * float64(every))
	c.after(wait, func() {
		if c.calm {
			return
		}
		fault()
		c.plan(every, fault)
	})
}

func (c *Cluster) crash() {
	rank := c.random.IntN(len(c.nodes))
	if c.nodes[rank].driver == nil {
		return
	}
	c.Counts.Crashes++
	c.nodes[rank].driver = nil
	c.after(c.options.Faults.RestartAfter, func() {
		if c.nodes[rank].driver == nil {
			c.startAgent(rank)
		}
	})
}

func (c *Cluster) startAgent(rank int) {
	n := c.nodes[rank]
	n.run++
	config := expertmap.Config{
		Incarnation:  n.run,
		PollInterval: c.options.Patience,
		PollStagger:  c.options.Patience / 64,
	}
	var engine expertmap.Engine = port{c, rank}
	if c.options.Leave > 0 {
		n.gate = expertmap.NewStepGate(leaver{c, rank}, c.options.Leave)
		engine = n.gate
	}
	driver, err := expertmap.NewDriver(c.now, config, engine, port{c, rank}, port{c, rank})
	if err != nil {
		c.Counts.EngineErrors++
		return
	}
	n.driver = driver
	c.extend(n)
}

// extend lets a living agent give its engine leave.
func (c *Cluster) extend(n *node) {
	if n.gate == nil || n.driver == nil {
		return
	}
	if err := n.gate.ExtendPermission(); err != nil {
		c.Counts.EngineErrors++
	}
}

// reform starts the group anew: ranks come to the new incarnation one by one,
// on the map that the last complete step used.
func (c *Cluster) reform() {
	c.Counts.Reforms++
	c.group++
	group := c.group
	start := c.last
	for rank := range c.nodes {
		wait := time.Duration(c.random.Int64N(int64(4*c.options.OneWay) + 1))
		c.after(wait, func() { c.join(rank, group, start) })
	}
}

func (c *Cluster) join(rank int, group uint64, start expertmap.MapID) {
	n := c.nodes[rank]
	if n.rank.State().Group >= group {
		return
	}
	facts := expertmap.EngineState{Group: group, Rank: rank, Size: c.options.Ranks, Running: start}
	n.rank.Reform(facts)
	n.limit = 0
	n.busy = false
	n.heldAt = time.Time{}
	if n.driver != nil {
		c.formed(n, facts)
	}
	c.tryStep(rank)
}

// formed tells the agent of the new group.
func (c *Cluster) formed(n *node, facts expertmap.EngineState) {
	if n.gate == nil {
		n.driver.Formed(c.now, facts)
		return
	}
	fresh, err := n.gate.Attach(n.run)
	if err != nil {
		c.Counts.EngineErrors++
		return
	}
	n.driver.Formed(c.now, fresh)
	c.extend(n)
}

func (c *Cluster) tick(rank int) {
	n := c.nodes[rank]
	if n.driver != nil {
		n.driver.Tick(c.now)
		c.extend(n)
		c.tryStep(rank)
	}
	c.after(tickEvery, func() { c.tick(rank) })
}
