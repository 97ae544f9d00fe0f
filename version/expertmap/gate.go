package expertmap

// PermitEngine is an engine that cannot hold. It starts a step only with permission, and
// retains its permissions and maps across restarts of its agent.
type PermitEngine interface {
	// State returns the engine's retained state.
	State() (PermitEngineState, error)
	// PermitUntil permits all steps up to limit; a permission is never revoked.
	PermitUntil(limit uint64) error
	// SetMap sets the map to use from a step on that is not yet permitted.
	SetMap(to MapID, step uint64) error
}

// PermitEngineState is the state that a PermitEngine retains.
type PermitEngineState struct {
	// Group is the engine's group, Rank the engine's rank in it and Size the number of
	// ranks.
	Group GroupID
	Rank  int
	Size  int
	// Step is the last step the engine started, Limit the last permitted one.
	Step, Limit uint64
	// Running is the map in use. Next is used from NextStep on; a NextStep of 0 means
	// that no other map is set.
	Running, Next MapID
	NextStep      uint64
}

// StepGate implements Engine for a PermitEngine by permitting its steps incrementally:
// a few steps ahead, so that a healthy engine never waits for permission, and never
// beyond a hold. It is not safe for concurrent use.
type StepGate struct {
	engine PermitEngine
	// ahead is the number of steps permitted beyond the last started one.
	ahead uint64
	state PermitEngineState
	held  *Proposal
	// suspended is set while the agent does not know the promises of its earlier
	// incarnations; no further steps are permitted meanwhile.
	suspended bool
}

// NewStepGate returns a gate that permits the given number of steps ahead, at least 1.
func NewStepGate(engine PermitEngine, ahead uint64) *StepGate {
	return &StepGate{engine: engine, ahead: max(1, ahead)}
}

// Attach implements Engine. If the engine has any permission, it had an earlier agent,
// whose promises are unknown here. A host runs one agent at a time, so that no earlier
// agent is still active.
func (g *StepGate) Attach(uint64) (EngineState, error) {
	state, err := g.engine.State()
	if err != nil {
		return EngineState{}, err
	}
	g.state, g.held = state, nil
	g.suspended = state.Limit > 0
	engineState := EngineState{
		Group: state.Group, Rank: state.Rank, Size: state.Size,
		Step: state.Step, Running: state.Running, PromisesLost: g.suspended,
	}
	if state.NextStep > state.Step {
		engineState.Pending = &Proposal{Group: state.Group, From: state.Running, To: state.Next, Step: state.NextStep}
	}
	return engineState, nil
}

// Hold implements Engine: it succeeds if the step is not permitted yet, and withholds
// permission from then on.
func (g *StepGate) Hold(proposal Proposal) (bool, error) {
	if g.held != nil {
		return g.held.ID == proposal.ID, nil
	}
	state, err := g.engine.State()
	if err != nil {
		return false, err
	}
	g.state = state
	pending := state.NextStep > state.Step
	if proposal.Group != state.Group || proposal.Step <= state.Limit || pending {
		return false, nil
	}
	g.held = &proposal
	return true, nil
}

// Release implements Engine.
func (g *StepGate) Release(id ProposalID) error {
	if g.held != nil && g.held.ID == id {
		g.held = nil
	}
	return g.ExtendPermission()
}

// Switch implements Engine.
func (g *StepGate) Switch(proposal Proposal) error {
	alreadySet := g.state.Running == proposal.To || (g.state.Next == proposal.To && g.state.NextStep == proposal.Step)
	if !alreadySet {
		if proposal.Group != g.state.Group || proposal.Step <= g.state.Limit {
			return &LateSwitchError{ID: proposal.ID, Started: g.state.Limit}
		}
		if err := g.engine.SetMap(proposal.To, proposal.Step); err != nil {
			return err
		}
		g.state.Next, g.state.NextStep = proposal.To, proposal.Step
	}
	return g.Release(proposal.ID)
}

// Resume implements Resumer.
func (g *StepGate) Resume() error {
	g.suspended = false
	return g.ExtendPermission()
}

// ExtendPermission permits steps up to the configured number ahead of the engine. Its
// owner calls it after each step of the engine, or at least often enough that the
// engine never waits for permission.
func (g *StepGate) ExtendPermission() error {
	state, err := g.engine.State()
	if err != nil || g.suspended {
		return err
	}
	g.state = state
	limit := state.Step + g.ahead
	if g.held != nil {
		limit = min(limit, g.held.Step-1)
	}
	if limit <= state.Limit {
		return nil
	}
	if err := g.engine.PermitUntil(limit); err != nil {
		return err
	}
	g.state.Limit = limit
	return nil
}
