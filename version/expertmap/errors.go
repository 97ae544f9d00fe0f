package expertmap

import "fmt"

// StaleAgentError reports that a later incarnation of the agent is attached.
type StaleAgentError struct {
	// Incarnation is the caller's, Attached the attached one.
	Incarnation, Attached uint64
}

// Error implements error.
func (e *StaleAgentError) Error() string {
	return fmt.Sprintf("agent incarnation %d is older than the attached %d", e.Incarnation, e.Attached)
}

// LateSwitchError reports that the step of a switch has already started, or may already
// start on the old map.
type LateSwitchError struct {
	ID ProposalID
	// Started is the last step that the engine has started or, for a PermitEngine, is
	// permitted to start.
	Started uint64
}

// Error implements error.
func (e *LateSwitchError) Error() string {
	return fmt.Sprintf("switch of proposal %d/%d refused: step %d has already started or is permitted", e.ID.Epoch, e.ID.Sequence, e.Started)
}
