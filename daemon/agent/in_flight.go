package agent

import "sync"

// inFlightTracker tracks the fingerprints of the requests in flight on the
// engine, so that a crash report can name them.
type inFlightTracker struct {
	// mu guards the fields below. No other lock is acquired while it is held.
	mu sync.Mutex
	// running holds the number of requests in flight by fingerprint.
	running map[uint64]int
	// broken holds the fingerprints whose engine connection broke since the last
	// successful probe.
	broken map[uint64]bool
}

func newInFlightTracker() *inFlightTracker {
	return &inFlightTracker{running: map[uint64]int{}, broken: map[uint64]bool{}}
}

func (f *inFlightTracker) begin(fingerprint uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[fingerprint]++
}

// end removes a request. broke reports that its connection broke before a
// complete answer, which may be the first sign of an engine crash.
func (f *inFlightTracker) end(fingerprint uint64, broke bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[fingerprint]--
	if f.running[fingerprint] <= 0 {
		delete(f.running, fingerprint)
	}
	if broke {
		f.broken[fingerprint] = true
	}
}

// clearBroken forgets the broken connections. It is called once a probe has shown that
// the incarnation still runs.
func (f *inFlightTracker) clearBroken() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.broken)
}

// hasBroken reports whether a connection broke since the last successful probe.
func (f *inFlightTracker) hasBroken() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.broken) > 0
}

// takeFingerprints returns the result of fingerprints and forgets the broken
// connections.
func (f *inFlightTracker) takeFingerprints() []uint64 {
	found := f.fingerprints()
	f.clearBroken()
	return found
}

// fingerprints returns the fingerprints in flight, including those whose
// connection has broken.
func (f *inFlightTracker) fingerprints() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := make([]uint64, 0, len(f.broken)+len(f.running))
	for fingerprint := range f.broken {
		found = append(found, fingerprint)
	}
	for fingerprint := range f.running {
		if !f.broken[fingerprint] {
			found = append(found, fingerprint)
		}
	}
	return found
}

// count returns the number of requests in flight.
func (f *inFlightTracker) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, n := range f.running {
		total += n
	}
	return total
}
