package expertmap

// RankEngine is the map-related state of a lock-step engine: the step it is at, the map in
// use, and the step it must not start. Engines embed it, or an agent keeps one for an
// engine that asks for permission before every step. It is a plain value that shares
// nothing but pointers to proposals, which are immutable, and is not safe for concurrent
// use.
type RankEngine struct {
	engineState EngineState
	// attached is the incarnation of the attached agent.
	attached uint64
}

// NewRankEngine returns a RankEngine with the given state and no attached agent.
func NewRankEngine(engineState EngineState) RankEngine { return RankEngine{engineState: engineState} }

// Attach makes incarnation the attached agent and returns the engine's state. It fails
// with StaleAgentError if a later incarnation is attached.
func (r *RankEngine) Attach(incarnation uint64) (EngineState, error) {
	if incarnation < r.attached {
		return EngineState{}, &StaleAgentError{Incarnation: incarnation, Attached: r.attached}
	}
	r.attached = incarnation
	return r.engineState, nil
}

// State returns the engine's state.
func (r *RankEngine) State() EngineState { return r.engineState }

// Reset moves the rank to another incarnation of the group, dropping holds and pending
// switches of the earlier one. The agent stays attached.
func (r *RankEngine) Reset(engineState EngineState) { r.engineState = engineState }

// Hold implements Engine.
func (r *RankEngine) Hold(proposal Proposal) (bool, error) {
	if held := r.engineState.Held; held != nil {
		return held.ID == proposal.ID, nil
	}
	if proposal.Group != r.engineState.Group || proposal.Step <= r.engineState.Step || r.engineState.Pending != nil {
		return false, nil
	}
	r.engineState.Held = &proposal
	return true, nil
}

// Release implements Engine.
func (r *RankEngine) Release(id ProposalID) error {
	if held := r.engineState.Held; held != nil && held.ID == id {
		r.engineState.Held = nil
	}
	return nil
}

// Switch implements Engine. A switch for a step that has started is refused with
// LateSwitchError; the agents' protocol never requests one.
func (r *RankEngine) Switch(proposal Proposal) error {
	if r.engineState.Installed == proposal.ID {
		return r.Release(proposal.ID)
	}
	if pending := r.engineState.Pending; pending != nil && pending.ID == proposal.ID {
		return nil
	}
	if proposal.Group != r.engineState.Group || proposal.Step <= r.engineState.Step {
		return &LateSwitchError{ID: proposal.ID, Started: r.engineState.Step}
	}
	r.engineState.Pending = &proposal
	return r.Release(proposal.ID)
}

// MayStart reports whether the next step may start, and on which map.
func (r *RankEngine) MayStart() (MapID, bool) {
	next := r.engineState.Step + 1
	if held := r.engineState.Held; held != nil && held.Step <= next {
		return MapID{}, false
	}
	if pending := r.engineState.Pending; pending != nil && pending.Step <= next {
		return pending.To, true
	}
	return r.engineState.Running, true
}

// Start starts the next step and returns its map. The caller must have checked MayStart.
func (r *RankEngine) Start() MapID {
	r.engineState.Step++
	if pending := r.engineState.Pending; pending != nil && pending.Step <= r.engineState.Step {
		r.engineState.Running, r.engineState.Installed = pending.To, pending.ID
		r.engineState.Pending = nil
	}
	return r.engineState.Running
}
