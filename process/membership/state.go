package membership

import "time"

// State is the state of a host as seen by one process.
type State uint8

const (
	// Alive means that the host answers and makes progress.
	Alive State = iota
	// Stalled means that the host does not answer, without evidence that its process
	// has ended, or that it answers but makes no progress.
	Stalled
	// Leaving means that the host is about to be removed.
	Leaving
	// Dead means that the process of the host has ended.
	Dead
	// CutOff means that other processes reach the host but this process does not.
	CutOff
)

var stateNames = [...]string{"alive", "stalled", "leaving", "dead", "cut-off"}

// String implements fmt.Stringer.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Usable reports whether this process should send new work to a host in this state.
func (s State) Usable() bool { return s == Alive }

// Evidence is what a process knows about a host from probes and the live list.
type Evidence struct {
	// Direct is set when the host answered this process, Indirect when it answered
	// another member that probed it on behalf of this process.
	Direct, Indirect bool
	// NoProgress is set when the host answered but reported that it makes no progress.
	NoProgress bool
	// Refused is set when the address of the host refused or reset a connection.
	Refused bool
	// Leaving is set when an update or the live list announced that the host leaves.
	Leaving bool
	// Unlisted is how long the host has been missing from the live list; 0 if it is
	// listed.
	Unlisted time.Duration
}

// unlistedTimeout is how long a silent host must be missing from the live list to
// count as dead; it allows for the lag of the list.
const unlistedTimeout = 10 * time.Second

// Classify derives the state of a host from the evidence.
func Classify(e Evidence) State {
	silent := !e.Direct && !e.Indirect
	switch {
	case silent && (e.Refused || e.Unlisted >= unlistedTimeout):
		return Dead
	case e.Leaving:
		return Leaving
	case silent:
		return Stalled
	case !e.Direct:
		return CutOff
	case e.NoProgress:
		return Stalled
	default:
		return Alive
	}
}
