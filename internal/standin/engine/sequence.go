package engine

import (
	"time"
)

// sequence is one request in the engine. The fields from state on are guarded by
// Engine.mu.
type sequence struct {
	id          string
	incarnation string
	prompt      string
	// tokens is the whole answer, blocks the names of the prompt's cache blocks.
	tokens   []string
	blocks   []string
	priority int
	// arrivalIndex orders sequences of the same priority.
	arrivalIndex int64
	arrivedAt    time.Time
	deadline     time.Time
	probe        bool
	chat         bool

	state        sequenceState
	started      bool
	produced     int
	firstTokenAt time.Time
	err          error
	// changed is closed and replaced whenever the sequence makes progress.
	changed chan struct{}
	// retainUntil is when a disconnected or finished stream is discarded.
	retainUntil time.Time
}

type sequenceState int

const (
	stateWaiting sequenceState = iota
	stateRunning
	statePaused
	stateFinished
	stateFailed
)

// notifyLocked wakes all goroutines that wait for progress of the sequence. The
// caller holds Engine.mu.
func (s *sequence) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sequence) failLocked(err error) {
	s.state = stateFailed
	s.err = err
	s.notifyLocked()
}

// before orders the waiting queue: higher priority first, then arrival.
func (s *sequence) before(other *sequence) bool {
	if s.priority != other.priority {
		return s.priority > other.priority
	}
	return s.arrivalIndex < other.arrivalIndex
}
