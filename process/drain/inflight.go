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
	// idle is closed once closed is set and no work is in flight.
	idle chan struct{}
}

// NewInFlight returns an InFlight that accepts work.
func NewInFlight() *InFlight { return &InFlight{idle: make(chan struct{})} }

// Begin registers one unit of work, or returns false if f is closed. Each Begin that
// returned true must be followed by one End.
func (f *InFlight) Begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.inFlight++
	return true
}

// End marks one unit of work as finished.
func (f *InFlight) End() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	if f.closed && f.inFlight == 0 {
		close(f.idle)
	}
}

// Close rejects new work from now on. Work in flight continues.
func (f *InFlight) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	if f.inFlight == 0 {
		close(f.idle)
	}
}

// Count returns the number of units of work in flight.
func (f *InFlight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inFlight
}

// CloseAndWait closes f and waits until no work is in flight. It fails with the error
// of ctx if ctx is done first.
func (f *InFlight) CloseAndWait(ctx context.Context) error {
	f.Close()
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
