package finish

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guard keeps the runs of a process. It is safe for concurrent use.
type Guard struct {
	clock clockwork.Clock

	// mu guards the fields below.
	mu   sync.Mutex
	runs map[*Run]struct{}
}

// NewGuard returns a guard without runs.
func NewGuard(clock clockwork.Clock) *Guard {
	return &Guard{clock: clock, runs: map[*Run]struct{}{}}
}

// Run is a request that was passed on to a target.
type Run struct {
	guard *Guard
	// Request is the request's ID, Route and Target are names.
	Request, Route, Target string
	// Began is when the request was passed on.
	Began time.Time
}

// Begin records that a request is passed on. The caller must call End.
func (g *Guard) Begin(request, route, target string) *Run {
	run := &Run{guard: g, Request: request, Route: route, Target: target, Began: g.clock.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[run] = struct{}{}
	return run
}

// End records that the run has ended. Only the first call has an effect; a nil Run is none.
func (r *Run) End() {
	if r == nil {
		return
	}
	g := r.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.runs, r)
}

// Unfinished returns the runs that have not ended, the oldest first.
func (g *Guard) Unfinished() []*Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	unfinished := make([]*Run, 0, len(g.runs))
	for run := range g.runs {
		unfinished = append(unfinished, run)
	}
	slices.SortFunc(unfinished, func(a, b *Run) int { return a.Began.Compare(b.Began) })
	return unfinished
}
