package expertmap

import "time"

// RankReport is the status that the engine of one rank reports.
type RankReport struct {
	// Group is the rank's group. Stepping tells that the group executes steps.
	Group      GroupID
	Rank, Size int
	Stepping   bool
	// CommandCount is the number of commands since the engine's start that had an effect.
	CommandCount uint64
	// Step is the last step that was started.
	Step uint64
	// Running is the number of the map in use, Prepared that of the map which the rank
	// has copied and can switch to; 0 means none.
	Running, Prepared uint64
	// Armed is the map's number and ArmedStep the step of the armed switch; 0
	// means none.
	Armed, ArmedStep uint64
	// Held is the step that the engine does not start until a Go command; it is valid if
	// Holding is set.
	Holding bool
	Held    uint64
	// StartedAt is when the engine started.
	StartedAt time.Time
	// Slowdown is the factor by which the engine is slower than usual; 1 is normal.
	Slowdown float64
	// Leaving is set if the engine said that it leaves.
	Leaving bool
	// Active and Queued are the numbers of running and waiting requests.
	Active, Queued int
}

// olderThan reports whether the engine must have made the report before another one. Neither steps
// nor commands are undone while the engine and its group stay the same.
func (r RankReport) olderThan(other RankReport) bool {
	if r.Group != other.Group || !r.StartedAt.Equal(other.StartedAt) {
		return false
	}
	return r.Step < other.Step || r.CommandCount < other.CommandCount
}

// isArmedFor reports whether the switch of a proposal is armed.
func (r RankReport) isArmedFor(proposal Proposal) bool {
	return r.Armed == proposal.To.Number() && r.ArmedStep == proposal.Step
}
