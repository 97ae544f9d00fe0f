package expertmap

import (
	"container/heap"
	"time"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// event is a scheduled function call; sequence orders events that are due at the same
// time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (c *Cluster) schedule(delay time.Duration, run func()) {
	c.eventSequence++
	heap.Push(&c.events, event{at: c.now.Add(delay), sequence: c.eventSequence, run: run})
}

// tryStep starts the next step of the rank if every rank has finished the previous one
// and the engine neither holds nor lacks permission.
func (c *Cluster) tryStep(rank int) {
	n := c.nodes[rank]
	state := n.engine.State()
	previous := stepKey{state.Group.Incarnation, state.Step}
	if n.computing || (state.Step > 0 && c.finishedRanks[previous] < len(c.nodes)) {
		return
	}
	_, allowed := n.engine.MayStart()
	if n.gate != nil {
		allowed = allowed && state.Step < n.permittedStep
	}
	if !allowed {
		if n.heldSince.IsZero() {
			n.heldSince = c.now
		}
		return
	}
	running := n.engine.Start()
	n.computing = true
	c.extendPermission(n)
	key := stepKey{state.Group.Incarnation, state.Step + 1}
	c.recordMap(key, running)
	c.recordStall(key, n)
	c.schedule(c.stepTime(), func() { c.finishStep(rank, key) })
}

func (c *Cluster) recordMap(key stepKey, running expertmap.MapID) {
	earlier, known := c.stepMaps[key]
	if known && earlier != running {
		c.Counts.MixedMapSteps++
	}
	c.stepMaps[key] = running
}

func (c *Cluster) recordStall(key stepKey, n *node) {
	if n.heldSince.IsZero() {
		return
	}
	delay := c.now.Sub(n.heldSince)
	n.heldSince = time.Time{}
	if _, known := c.stepStalls[key]; !known && delay > 0 {
		c.Counts.StalledSteps++
	}
	c.Counts.StalledTime += max(0, delay-c.stepStalls[key])
	c.stepStalls[key] = max(c.stepStalls[key], delay)
}

func (c *Cluster) stepTime() time.Duration {
	if !c.faultsEnded && c.random.Float64()*float64(len(c.nodes)) < c.options.Faults.SlowStepShare {
		return 10 * c.options.StepTime
	}
	return c.options.StepTime
}

func (c *Cluster) finishStep(rank int, key stepKey) {
	n := c.nodes[rank]
	state := n.engine.State()
	if state.Group.Incarnation != key.group || state.Step != key.step {
		return
	}
	n.computing = false
	c.finishedRanks[key]++
	if c.finishedRanks[key] < len(c.nodes) {
		return
	}
	c.Counts.Steps++
	c.lastMap = state.Running
	delete(c.finishedRanks, stepKey{key.group, key.step - 1})
	for other := range c.nodes {
		c.tryStep(other)
	}
}

// rankAdapter connects the agent of a rank to the cluster. It implements the engine,
// transport and observer interfaces.
type rankAdapter struct {
	c    *Cluster
	rank int
}

func (a rankAdapter) engine() *expertmap.RankEngine { return &a.c.nodes[a.rank].engine }

// Attach implements expertmap.Engine.
func (a rankAdapter) Attach(incarnation uint64) (expertmap.EngineState, error) {
	return a.engine().Attach(incarnation)
}

// Hold implements expertmap.Engine.
func (a rankAdapter) Hold(proposal expertmap.Proposal) (bool, error) {
	return a.engine().Hold(proposal)
}

// Release implements expertmap.Engine.
func (a rankAdapter) Release(id expertmap.ProposalID) error {
	err := a.engine().Release(id)
	a.c.schedule(0, func() { a.c.tryStep(a.rank) })
	return err
}

// Switch implements expertmap.Engine.
func (a rankAdapter) Switch(proposal expertmap.Proposal) error {
	err := a.engine().Switch(proposal)
	a.c.schedule(0, func() { a.c.tryStep(a.rank) })
	return err
}

// permitEngine is the engine of a rank that runs only the steps its agent permits.
type permitEngine struct {
	c    *Cluster
	rank int
}

// State implements expertmap.PermitEngine.
func (e permitEngine) State() (expertmap.PermitEngineState, error) {
	n := e.c.nodes[e.rank]
	current := n.engine.State()
	state := expertmap.PermitEngineState{
		Group: current.Group, Rank: current.Rank, Size: current.Size,
		Step: current.Step, Limit: n.permittedStep, Running: current.Running,
	}
	if current.Pending != nil {
		state.Next, state.NextStep = current.Pending.To, current.Pending.Step
	}
	return state, nil
}

// PermitUntil implements expertmap.PermitEngine.
func (e permitEngine) PermitUntil(limit uint64) error {
	n := e.c.nodes[e.rank]
	n.permittedStep = max(n.permittedStep, limit)
	e.c.schedule(0, func() { e.c.tryStep(e.rank) })
	return nil
}

// SetMap implements expertmap.PermitEngine.
func (e permitEngine) SetMap(to expertmap.MapID, step uint64) error {
	n := e.c.nodes[e.rank]
	id := expertmap.ProposalID{Epoch: to.Epoch, Sequence: to.Version}
	return n.engine.Switch(expertmap.Proposal{ID: id, Group: n.engine.State().Group, To: to, Step: step})
}

// ProposalEnded implements expertmap.Observer.
func (a rankAdapter) ProposalEnded(ended expertmap.Outcome) {
	earlier, known := a.c.decisions[ended.ID]
	switch {
	case known && earlier != ended.Decision:
		a.c.Counts.ConflictingDecisions++
	case !known && ended.Decision == expertmap.Commit:
		a.c.Counts.Commits++
	case !known:
		a.c.Counts.Aborts++
	}
	a.c.decisions[ended.ID] = ended.Decision
}

// EngineFailed implements expertmap.Observer.
func (a rankAdapter) EngineFailed(expertmap.ActionKind, error) { a.c.Counts.EngineErrors++ }

// Send implements expertmap.Transport.
func (a rankAdapter) Send(_ int, message expertmap.Message) {
	c := a.c
	c.Counts.Messages++
	if c.options.Encode {
		message = c.encodeAndDecode(message)
	}
	faults := c.options.Faults
	if c.faultsEnded {
		faults = Faults{}
	}
	if c.random.Float64() < faults.LossShare {
		return
	}
	copies := 1
	if c.random.Float64() < faults.DuplicateShare {
		copies = 2
	}
	for range copies {
		delay := c.options.OneWayDelay
		if c.random.Float64() < faults.DelayedShare {
			delay += time.Duration(c.random.Int64N(int64(faults.MaxExtraDelay)))
		}
		c.schedule(delay, func() { c.deliver(message) })
	}
}

// encodeAndDecode passes a message through the codec. It returns the message unchanged
// if the codec fails.
func (c *Cluster) encodeAndDecode(message expertmap.Message) expertmap.Message {
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

// Propose simulates a remote lease holder that proposes map to for the given step through
// the agent of the coordinator rank. If step is 0, SwitchStep chooses the step.
func (c *Cluster) Propose(coordinator int, id expertmap.ProposalID, to expertmap.MapID, step uint64) {
	n := c.nodes[coordinator]
	state := n.engine.State()
	if step == 0 {
		step = c.options.PermittedSteps + expertmap.SwitchStep(state.Step, c.options.StepTime, c.options.OneWayDelay, 0)
	}
	proposal := expertmap.Proposal{ID: id, Group: state.Group, From: state.Running, To: to, Step: step}
	for _, other := range c.nodes {
		proposal.Agents = append(proposal.Agents, other.incarnation)
	}
	// The lease holder sees the step with a one-way delay, and its proposal takes
	// another one-way delay to reach the agent.
	c.schedule(2*c.options.OneWayDelay, func() {
		if n.driver != nil {
			n.driver.Propose(c.now, proposal)
		}
	})
}
