package expertmap

import (
	"container/heap"
	"time"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// happening is something at a time; seq keeps those of one time in order.
type happening struct {
	at  time.Time
	seq int
	do  func()
}

type timeline []happening

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].seq < t[j].seq
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(happening)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (c *Cluster) after(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.queue, happening{at: c.now.Add(d), seq: c.sequence, do: do})
}

// tryStep starts the rank's next step once every rank has finished the one
// before and the engine does not hold.
func (c *Cluster) tryStep(rank int) {
	n := c.nodes[rank]
	facts := n.rank.State()
	previous := stepKey{facts.Group, facts.Step}
	if n.busy || (facts.Step > 0 && c.done[previous] < len(c.nodes)) {
		return
	}
	_, may := n.rank.MayStart()
	if n.gate != nil {
		may = may && facts.Step < n.limit
	}
	if !may {
		if n.heldAt.IsZero() {
			n.heldAt = c.now
		}
		return
	}
	used := n.rank.Start()
	n.busy = true
	c.extend(n)
	key := stepKey{facts.Group, facts.Step + 1}
	c.noteMap(key, used)
	c.noteStall(key, n)
	c.after(c.stepTime(), func() { c.finish(rank, key) })
}

func (c *Cluster) noteMap(key stepKey, used expertmap.MapID) {
	seen, known := c.maps[key]
	if known && seen != used {
		c.Counts.SplitSteps++
	}
	c.maps[key] = used
}

func (c *Cluster) noteStall(key stepKey, n *node) {
	if n.heldAt.IsZero() {
		return
	}
	waited := c.now.Sub(n.heldAt)
	n.heldAt = time.Time{}
	if _, known := c.stalls[key]; !known && waited > 0 {
		c.Counts.Stalled++
	}
	c.Counts.StalledTime += max(0, waited-c.stalls[key])
	c.stalls[key] = max(c.stalls[key], waited)
}

func (c *Cluster) stepTime() time.Duration {
	if !c.calm && c.random.Float64()*float64(len(c.nodes)) < c.options.Faults.StallShare {
		return 10 * c.options.StepTime
	}
	return c.options.StepTime
}

func (c *Cluster) finish(rank int, key stepKey) {
	n := c.nodes[rank]
	facts := n.rank.State()
	if facts.Group != key.group || facts.Step != key.step {
		return
	}
	n.busy = false
	c.done[key]++
	if c.done[key] < len(c.nodes) {
		return
	}
	c.Counts.Steps++
	c.last = facts.Running
	delete(c.done, stepKey{key.group, key.step - 1})
	for other := range c.nodes {
		c.tryStep(other)
	}
}

// port joins one rank's agent to the cluster: engine, transport and observer.
type port struct {
	c    *Cluster
	rank int
}

func (p port) engine() *expertmap.Rank { return &p.c.nodes[p.rank].rank }

// Attach implements expertmap.Engine.
func (p port) Attach(incarnation uint64) (expertmap.EngineState, error) {
	return p.engine().Attach(incarnation)
}

// Hold implements expertmap.Engine.
func (p port) Hold(proposal expertmap.Proposal) (bool, error) { return p.engine().Hold(proposal) }

// Release implements expertmap.Engine.
func (p port) Release(id expertmap.ProposalID) error {
	err := p.engine().Release(id)
	p.c.after(0, func() { p.c.tryStep(p.rank) })
	return err
}

// Switch implements expertmap.Engine.
func (p port) Switch(proposal expertmap.Proposal) error {
	err := p.engine().Switch(proposal)
	p.c.after(0, func() { p.c.tryStep(p.rank) })
	return err
}

// leaver is one rank's engine that needs leave.
type leaver struct {
	c    *Cluster
	rank int
}

// State implements expertmap.PermitEngine.
func (l leaver) State() (expertmap.PermitEngineState, error) {
	n := l.c.nodes[l.rank]
	facts := n.rank.State()
	state := expertmap.PermitEngineState{
		Group: facts.Group, Rank: facts.Rank, Size: facts.Size,
		Step: facts.Step, Limit: n.limit, Running: facts.Running,
	}
	if facts.Pending != nil {
		state.Next, state.NextStep = facts.Pending.To, facts.Pending.Step
	}
	return state, nil
}

// PermitUntil implements expertmap.PermitEngine.
func (l leaver) PermitUntil(limit uint64) error {
	n := l.c.nodes[l.rank]
	n.limit = max(n.limit, limit)
	l.c.after(0, func() { l.c.tryStep(l.rank) })
	return nil
}

// SetMap implements expertmap.PermitEngine.
func (l leaver) SetMap(to expertmap.MapID, step uint64) error {
	n := l.c.nodes[l.rank]
	id := expertmap.ProposalID{Epoch: to.Epoch, Sequence: to.Version}
	return n.rank.Switch(expertmap.Proposal{ID: id, Group: n.rank.State().Group, To: to, Step: step})
}

// ProposalEnded implements expertmap.Observer.
func (p port) ProposalEnded(ended expertmap.Outcome) {
	seen, known := p.c.ends[ended.ID]
	switch {
	case known && seen != ended.Decision:
		p.c.Counts.SplitEnds++
	case !known && ended.Decision == expertmap.Commit:
		p.c.Counts.Commits++
	case !known:
		p.c.Counts.Aborts++
	}
	p.c.ends[ended.ID] = ended.Decision
}

// EngineFailed implements expertmap.Observer.
func (p port) EngineFailed(expertmap.ActionKind, error) { p.c.Counts.EngineErrors++ }

// Send implements expertmap.Transport.
func (p port) Send(_ int, message expertmap.Message) {
	c := p.c
	c.Counts.Messages++
	if c.options.Encode {
		message = c.overTheWire(message)
	}
	faults := c.options.Faults
	if c.calm {
		faults = Faults{}
	}
	if c.random.Float64() < faults.Loss {
		return
	}
	copies := 1
	if c.random.Float64() < faults.Repeat {
		copies = 2
	}
	for range copies {
		wait := c.options.OneWay
		if c.random.Float64() < faults.Late {
			wait += time.Duration(c.random.Int64N(int64(faults.LateBy)))
		}
		c.after(wait, func() { c.deliver(message) })
	}
}

// overTheWire is the message as its receiver decodes it.
func (c *Cluster) overTheWire(message expertmap.Message) expertmap.Message {
	data, err := expertmap.Encode(message)
	if err != nil {
		c.Counts.CodecErrors++
		return message
	}
	c.Counts.Bytes += len(data)
	decoded, err := expertmap.Decode(data)
	if err != nil {
		c.Counts.CodecErrors++
		return message
	}
	return decoded
}

func (c *Cluster) deliver(message expertmap.Message) {
	n := c.nodes[message.To]
	if n.driver != nil {
		n.driver.Receive(c.now, message)
	}
}

// Propose sends a proposal for map to from a lease holder one trip away to the
// agent of the given rank, for the given step; 0 lets SwitchStep choose.
func (c *Cluster) Propose(coordinator int, id expertmap.ProposalID, to expertmap.MapID, step uint64) {
	n := c.nodes[coordinator]
	facts := n.rank.State()
	if step == 0 {
		step = c.options.Leave + expertmap.SwitchStep(facts.Step, c.options.StepTime, c.options.OneWay, 0)
	}
	proposal := expertmap.Proposal{ID: id, Group: facts.Group, From: facts.Running, To: to, Step: step}
	for _, other := range c.nodes {
		proposal.Agents = append(proposal.Agents, other.run)
	}
	// One trip for the observed step, one for the proposal.
	c.after(2*c.options.OneWay, func() {
		if n.driver != nil {
			n.driver.Propose(c.now, proposal)
		}
	})
}
