package expertmap

import "fmt"

// StaleAgentError reports that a later incarnation of the agent is attached.
type StaleAgentError struct {
	// Incarnation is the caller's, Present the attached one.
	Incarnation, Present uint64
}

// Error implements error.
func (e *StaleAgentError) Error() string {
	return fmt.Sprintf("agent incarnation %d is older than the attached %d", e.Incarnation, e.Present)
}

// LateSwitchError reports that the step of a switch has already started.
type LateSwitchError struct {
	ID ProposalID
	// Started is the last step the engine started.
	Started uint64
}

// Error implements error.
func (e *LateSwitchError) Error() string {
	return fmt.Sprintf("switch of proposal %d/%d refused: step %d has already started", e.ID.Epoch, e.ID.Sequence, e.Started)
}
