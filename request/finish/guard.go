package finish

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Ending is the planned end of a process.
type Ending struct {
	// By is when every response must be complete. What is unfinished then is ended.
	By time.Time
	// CallersGone is when callers have learned that the process leaves. Until then it is the
	// directory that sends them here.
	CallersGone time.Time
}

// endedError is the cause of contexts that Guard.Bind has ended.
type endedError struct{}

// Error implements error.
func (endedError) Error() string { return "the process ends before the request could be finished" }

// ErrProcessEnds is the cause of a context that ended because the process ends.
var ErrProcessEnds error = endedError{}

// Guard keeps the runs of a process and decides, once its end is known, which requests may still
// begin. It is safe for concurrent use.
type Guard struct {
	clock clockwork.Clock
	// ended ends when the time that Ending.By names has come.
	ended context.Context
	end   context.CancelFunc

	// mu guards the fields below.
	mu     sync.Mutex
	ending *Ending
	runs   map[*Run]struct{}
	// routes holds how long recent runs took, by route, resources by resource.
	routes    map[string]*durations
	resources map[Work]*durations
	// droppedAt is when resources were dropped last.
	droppedAt time.Time
}

// NewGuard returns a guard without runs, of a process whose end is not known.
func NewGuard(clock clockwork.Clock) *Guard {
	g := &Guard{clock: clock, runs: map[*Run]struct{}{}, routes: map[string]*durations{}, resources: map[Work]*durations{}}
	g.ended, g.end = context.WithCancel(context.Background())
	return g
}

// Work is what requests that take similar times have in common.
type Work struct {
	// Route is the name of the route.
	Route string
	// Resource is a hash of what the request names.
	Resource uint64
}

// Run is a request that was passed on to a target.
type Run struct {
	guard *Guard
	// Request is the request's ID, Target the name of the target or of its pool.
	Request, Target string
	Work            Work
	// Began is when the request was passed on.
	Began time.Time
}

// Begin records that a request is passed on. The caller must call End.
func (g *Guard) Begin(request, target string, work Work) *Run {
	run := &Run{guard: g, Request: request, Target: target, Work: work, Began: g.clock.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[run] = struct{}{}
	return run
}

// End records that the run has ended. representative says whether requests of the route may take
// as long again; the target of others has failed or has not run them. Only the first call has an
// effect; a nil Run is none.
func (r *Run) End(representative bool) {
	if r == nil {
		return
	}
	g := r.guard
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, running := g.runs[r]; !running {
		return
	}
	delete(g.runs, r)
	if representative {
		g.record(r.Work, now.Sub(r.Began), now)
	}
}

// maxResources bounds the resources whose durations are kept.
const maxResources = 1024

// record records how long a run took. The caller holds mu.
func (g *Guard) record(work Work, took time.Duration, now time.Time) {
	if g.routes[work.Route] == nil {
		g.routes[work.Route] = &durations{}
	}
	g.routes[work.Route].record(took, now)
	if g.resources[work] == nil {
		if len(g.resources) >= maxResources {
			g.dropOldResources(now)
		}
		if len(g.resources) >= maxResources {
			return
		}
		g.resources[work] = &durations{}
	}
	g.resources[work].record(took, now)
}

// dropOldResources drops the resources without recent runs, at most once in a window. The caller
// holds mu.
func (g *Guard) dropOldResources(now time.Time) {
	if now.Sub(g.droppedAt) < window {
		return
	}
	g.droppedAt = now
	for work, recent := range g.resources {
		if total, _ := recent.countLonger(0, now); total == 0 {
			delete(g.resources, work)
		}
	}
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

// EndBy announces the end of the process. An earlier end replaces a later one. The caller must call
// End when the time has come.
func (g *Guard) EndBy(ending Ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ending == nil || ending.By.Before(g.ending.By) {
		g.ending = &ending
	}
}

// End ends the contexts that Bind has returned.
func (g *Guard) End() {
	g.EndBy(Ending{By: g.clock.Now()})
	g.end()
}

// Ending reports whether the end of the process is known.
func (g *Guard) Ending() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ending != nil
}

// Bind returns a context that ends with ctx, and with the cause ErrProcessEnds when the process
// ends. The caller must call cancel.
func (g *Guard) Bind(ctx context.Context) (bound context.Context, cancel context.CancelFunc) {
	bound, end := context.WithCancelCause(ctx)
	stop := g.OnEnd(func() { end(ErrProcessEnds) })
	return bound, func() {
		stop()
		end(nil)
	}
}

// OnEnd has f called, on a goroutine of its own, when the process ends, until stop is called.
func (g *Guard) OnEnd(f func()) (stop func()) {
	registered := context.AfterFunc(g.ended, f)
	return func() { registered() }
}

// Request is what Guard.Allows needs to know of a request.
type Request struct {
	Work Work
	// Deadline is when it ends in any case, with an answer.
	Deadline time.Time
	// Repeatable is set if its caller may send it again after it was cut off.
	Repeatable bool
}

// cutShare is the share of a route's repeatable requests that may be cut off at the end of the
// process, while the directory still sends callers here. A refused caller may meet another process
// that leaves, or this one again.
const cutShare = 0.05

// marginShare is the share of the time left that is not counted on: the next request of a route may
// take a little longer than those before.
const marginShare = 0.125

// Allows reports whether a request may be passed on: it ends before the process does, or requests
// of its route take less time than is left. Before the end of the process is known it allows all.
func (g *Guard) Allows(r Request) bool {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ending == nil {
		return true
	}
	left := g.ending.By.Sub(now)
	if left <= 0 {
		return false
	}
	if !r.Deadline.After(g.ending.By) {
		return true
	}
	directed := r.Repeatable && now.Before(g.ending.CallersGone)
	recent := g.recentRuns(r.Work, now)
	if recent == nil {
		return directed
	}
	longest := left - time.Duration(marginShare*float64(left))
	total, longer := recent.countLonger(longest, now)
	if directed {
		return longer <= int(cutShare*float64(total))
	}
	// A run under way that takes longer than all before shows that these say nothing of it.
	longest = min(longest, time.Duration(unprecedented*float64(recent.slowest(now))))
	return longer == 0 && !g.anyOlder(r.Work, recent == g.resources[r.Work], longest, now)
}

// unprecedented is the ratio from which on a run under way takes clearly longer than the slowest one
// before.
const unprecedented = 1.5

// minResourceRuns is the number of runs from which on a resource is judged by its own runs, and not
// by those of its route.
const minResourceRuns = 3

// recentRuns returns the durations by which a request is judged: those of its resource, or of its
// route if there are few; nil if there are none. The caller holds mu.
func (g *Guard) recentRuns(work Work, now time.Time) *durations {
	if own := g.resources[work]; own != nil {
		if total, _ := own.countLonger(0, now); total >= minResourceRuns {
			return own
		}
	}
	route := g.routes[work.Route]
	if route == nil || route.slowest(now) == 0 {
		return nil
	}
	return route
}

// anyOlder reports whether a run of the same route, or of the same resource only, has been under way
// for at least the given time. The caller holds mu.
func (g *Guard) anyOlder(work Work, resourceOnly bool, than time.Duration, now time.Time) bool {
	for run := range g.runs {
		same := run.Work == work || !resourceOnly && run.Work.Route == work.Route
		if same && now.Sub(run.Began) >= than {
			return true
		}
	}
	return false
}
