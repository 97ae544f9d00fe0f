package drain

import (
	"context"
	"sync"
)

// Work counts the work in flight and rejects new work once it is closed. It is safe
// for concurrent use.
type Work struct {
	// mu guards the fields below. It is a leaf lock.
	mu       sync.Mutex
	inFlight int
	closed   bool
	// idle is closed when work is closed and nothing is in flight.
	idle chan struct{}
}

// NewWork returns a Work that accepts work.
func NewWork() *Work { return &Work{idle: make(chan struct{})} }

// Begin registers one unit of work, or returns false if w is closed. Each Begin that
// returned true must be followed by one End.
func (w *Work) Begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.inFlight++
	return true
}

// End marks one unit of work as finished.
func (w *Work) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	if w.closed && w.inFlight == 0 {
		close(w.idle)
	}
}

// Close rejects new work from now on. Work in flight continues.
func (w *Work) Close() {
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

// InFlight returns the number of units of work in flight.
func (w *Work) InFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight
}

// Finish closes w and waits until no work is in flight. It fails with the error of ctx.
func (w *Work) Finish(ctx context.Context) error {
	w.Close()
	select {
	case <-w.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
