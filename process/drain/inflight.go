package drain

import (
	"context"
	"sync"
)

// InFlight counts the work in flight and rejects new work once it is closed. It is safe
// for concurrent use.
type InFlight struct {
	// mu guards the fields below. It is a leaf lock.
	mu       sync.Mutex
	inFlight int
	closed   bool
	// idle is closed when work is closed and nothing is in flight.
	idle chan struct{}
}

// NewInFlight returns an InFlight that accepts work.
func NewInFlight() *InFlight { return &InFlight{idle: make(chan struct{})} }

// Begin registers one unit of work, or returns false if w is closed. Each Begin that
// returned true must be followed by one End.
func (w *InFlight) Begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.inFlight++
	return true
}

// End marks one unit of work as finished.
func (w *InFlight) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	if w.closed && w.inFlight == 0 {
		close(w.idle)
	}
}

// Close rejects new work from now on. Work in flight continues.
func (w *InFlight) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	if w.inFlight == 0 {
		close(w.idle)
	}
}

// Count returns the number of units of work in flight.
func (w *InFlight) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight
}

// CloseAndWait closes w and waits until no work is in flight. It fails with the error
// of ctx.
func (w *InFlight) CloseAndWait(ctx context.Context) error {
	w.Close()
	select {
	case <-w.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
