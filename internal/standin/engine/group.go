package engine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Hold keeps a rank from starting Step until the map for that step is decided.
type Hold struct {
	// Group is the group incarnation to which the hold belongs.
	Group string
	// Step is the step not to start, Version the map proposed for it.
	Step, Version int64
	// Proposal is opaque data of the agent, stored with the hold.
	Proposal string
}

// rank is the state of one rank. It is guarded by Group.mu.
type rank struct {
	step, version int64
	loaded        []int64
	hold          *Hold
	// pending is the map switch that has been decided and not yet made; installed
	// is the proposal of the last one made.
	pending   *Hold
	installed string
	// agent is the attached agent incarnation; calls of earlier ones are refused.
	agent   int64
	stalled bool
}

// Group is a set of ranks that step in lock-step on an expert map.
type Group struct {
	// mu guards everything below.
	mu sync.Mutex
	// incarnations counts the incarnations started.
	incarnations int
	incarnation  string
	ranks        []rank
	// mixedSteps counts steps of ranks on a map other than rank 0's.
	mixedSteps int64
	// blockedAdvances counts calls of Advance that made no step.
	blockedAdvances int64
	// work is nil for a group without experts.
	work *expertWork
	// changed is closed and replaced when a step may have become possible.
	changed chan struct{}
}

// NewGroup returns a group at step 0 on expert map 1.
func NewGroup(ranks int) *Group {
	g := &Group{ranks: make([]rank, ranks), changed: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resetLocked()
	return g
}

// Reset starts a new group incarnation at step 0 on expert map 1, without holds,
// pending switches and stalls. The attached agents stay attached.
func (g *Group) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resetLocked()
	g.notifyLocked()
}

func (g *Group) resetLocked() {
	g.incarnations++
	g.incarnation = fmt.Sprintf("group-%d", g.incarnations)
	if g.work != nil {
		g.work.reset(len(g.ranks))
	}
	for i := range g.ranks {
		g.ranks[i] = rank{version: 1, loaded: []int64{1}, agent: g.ranks[i].agent}
	}
}

func (g *Group) notifyLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Changed returns a channel that closes when a step may have become possible.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// MixedSteps returns the number of steps that ranks made on a map other than
// that of rank 0.
func (g *Group) MixedSteps() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixedSteps
}

// BlockedAdvances returns the number of calls of Advance that made no step because a rank
// held or was stalled.
func (g *Group) BlockedAdvances() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blockedAdvances
}

// SetRankStalled stalls one rank, and with it the group, or ends the stall.
func (g *Group) SetRankStalled(index int, stalled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[index].stalled = stalled
	g.notifyLocked()
}

// Advance makes the next step on all ranks; it returns false if a rank holds that
// step or is stalled.
func (g *Group) Advance() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.ranks {
		r := &g.ranks[i]
		if r.stalled || (r.hold != nil && r.hold.Step <= r.step+1) {
			g.blockedAdvances++
			return false
		}
	}
	for i := range g.ranks {
		g.ranks[i].advance()
		if g.ranks[i].version != g.ranks[0].version {
			g.mixedSteps++
		}
	}
	if g.work != nil {
		g.work.recordStep(g.ranks[0].version)
	}
	return true
}

func (r *rank) advance() {
	r.step++
	if r.pending != nil && r.step >= r.pending.Step {
		r.version, r.installed = r.pending.Version, r.pending.Proposal
		r.pending = nil
	}
}

// Run calls Advance every stepTime until ctx ends.
func (g *Group) Run(ctx context.Context, clock clockwork.Clock, stepTime time.Duration) {
	ticker := clock.NewTicker(stepTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			g.Advance()
		}
	}
}

// RankState is the state of a rank as reported to its agent.
type RankState struct {
	Rank          int
	Group         string
	Step, Version int64
	Loaded        []int64
	Hold, Pending *Hold
	// Installed is the proposal that installed the current map.
	Installed string
	// Size is the number of ranks.
	Size int
	// Agent is the attached agent incarnation.
	Agent int64
}

// State returns a rank's state.
func (g *Group) State(index int) RankState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stateLocked(index)
}

func (g *Group) stateLocked(index int) RankState {
	r := &g.ranks[index]
	return RankState{
		Rank: index, Group: g.incarnation, Step: r.step, Version: r.version, Loaded: slices.Clone(r.loaded),
		Hold: cloneHold(r.hold), Pending: cloneHold(r.pending), Installed: r.installed, Size: len(g.ranks), Agent: r.agent,
	}
}

func cloneHold(hold *Hold) *Hold {
	if hold == nil {
		return nil
	}
	copied := *hold
	return &copied
}

// Attach attaches an agent incarnation to a rank, which fences off earlier ones.
// An incarnation earlier than the attached one fails with ErrStaleAgent.
func (g *Group) Attach(index int, agent int64) (RankState, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if agent < g.ranks[index].agent {
		return RankState{}, ErrStaleAgent
	}
	g.ranks[index].agent = agent
	return g.stateLocked(index), nil
}

// callAsAgent runs an operation unless a later agent incarnation than the
// caller's is attached; agent 0 means a caller without an incarnation.
func (g *Group) callAsAgent(index int, agent int64, operation holdOperation, hold Hold) (RankState, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if agent < g.ranks[index].agent {
		return RankState{}, ErrStaleAgent
	}
	return operation(index, hold)
}

// holdOperation changes a rank's hold. The caller holds Group.mu.
type holdOperation func(index int, hold Hold) (RankState, error)

// LoadMap loads an expert map on a rank.
func (g *Group) LoadMap(index int, version int64) RankState {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.ranks[index]
	if !slices.Contains(r.loaded, version) {
		r.loaded = append(r.loaded, version)
	}
	return g.stateLocked(index)
}

// HoldStep makes a rank hold a step. It fails if the step has started, the map is
// not loaded, another hold is in force or a switch is pending. Repeating the same
// hold has no effect.
func (g *Group) HoldStep(index int, hold Hold) (RankState, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holdLocked(index, hold)
}

func (g *Group) holdLocked(index int, hold Hold) (RankState, error) {
	r := &g.ranks[index]
	switch {
	case hold.Group != g.incarnation:
		return RankState{}, ErrGroupMismatch
	case r.hold != nil && *r.hold != hold:
		return RankState{}, ErrHoldMismatch
	case r.hold == nil && r.pending != nil:
		return RankState{}, ErrHoldMismatch
	case hold.Step <= r.step:
		return RankState{}, ErrStepStarted
	case !slices.Contains(r.loaded, hold.Version):
		return RankState{}, ErrNotLoaded
	}
	r.hold = &hold
	return g.stateLocked(index), nil
}

// SwitchMap ends the hold; the rank uses the hold's map from the held step on.
func (g *Group) SwitchMap(index int, hold Hold) (RankState, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.switchLocked(index, hold)
}

// ReleaseHold ends the hold; the rank keeps its current map.
func (g *Group) ReleaseHold(index int, hold Hold) (RankState, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.releaseLocked(index, hold)
}

func (g *Group) switchLocked(index int, hold Hold) (RankState, error) {
	return g.endHoldLocked(index, hold, true)
}

func (g *Group) releaseLocked(index int, hold Hold) (RankState, error) {
	return g.endHoldLocked(index, hold, false)
}

// endHoldLocked ends the hold, with a switch to its map if switchMap is set.
func (g *Group) endHoldLocked(index int, hold Hold, switchMap bool) (RankState, error) {
	r := &g.ranks[index]
	if hold.Group != g.incarnation {
		return RankState{}, ErrGroupMismatch
	}
	if r.hold == nil || *r.hold != hold {
		return RankState{}, ErrHoldMismatch
	}
	r.hold = nil
	if switchMap {
		r.pending = &hold
	}
	g.notifyLocked()
	return g.stateLocked(index), nil
}
