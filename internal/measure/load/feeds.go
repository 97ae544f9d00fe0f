package load

import (
	"context"
	"fmt"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/process/health"
	"verbenaseam.example/verbenaseam/request/pick"
)

const (
	feedTargets = 15
	// feedEvery is the time between two failures of the feed, feedStagger the
	// time over which its targets fail.
	feedEvery   = time.Minute
	feedStagger = 2 * time.Second
	// feedLearning is the number of failures from which the groups are learned,
	// feedRuns the number after which requests that fail twice are counted.
	feedLearning = 3
	feedRuns     = 10
	feedRate     = 60.0
	feedLag      = time.Second
	feedDown     = 20 * time.Second
)

// feedMembers are the targets on the undocumented feed: two of each failure
// domain.
var feedMembers = []int{0, 1, 2, 6, 7, 8}

// feedWorkload is answers of about a second.
var feedWorkload = workload{promptTokens: 300, outTokens: 80, spread: 0.5}

// feedSim is one run: requests with one retry each, over targets of which some
// share a feed.
type feedSim struct {
	loop       *loop
	engines    []*engine
	set        *pick.Set
	correlator *health.Correlator
	source     *generator
	noise      *generator
	// use tells that retries avoid the group of the target that failed.
	use bool
	// counting begins after the failures that teach.
	counting                  bool
	retried, twice, failedAll int
}

// runFeeds runs the case.
func runFeeds(use bool) *feedSim {
	s := &feedSim{
		loop:   newLoop(),
		source: newGenerator(feedWorkload, 21),
		noise:  newGenerator(workload{}, 22),
		use:    use,
	}
	s.correlator = health.NewCorrelator(health.Config{Clock: s.loop.clock, Targets: feedTargets})
	cfg := engineConfig{slots: pickSlots, prefillRate: 8000, tokenTime: 10 * time.Millisecond}
	targets := make([]pick.Target, feedTargets)
	for i := range targets {
		targets[i] = pick.Target{Name: targetName(i), FailureDomain: fmt.Sprint("d", i%domainCount)}
		s.engines = append(s.engines, newEngine(s.loop, cfg))
	}
	s.set = pick.NewSet(pick.PolicyScore, targets, nil, pick.SubsetConfig{})
	s.loop.after(0, s.arrive)
	s.loop.every(feedEvery, s.failFeed)
	s.loop.after(feedEvery*(feedLearning+1)-time.Second, func() { s.counting = true })
	s.loop.runUntil(feedEvery * (feedLearning + feedRuns + 1))
	return s
}

// failFeed takes the feed's targets down, one after another.
func (s *feedSim) failFeed() {
	for _, i := range feedMembers {
		wait := time.Duration(s.noise.random.Int64N(int64(feedStagger)))
		s.loop.after(wait, func() { s.failTarget(i) })
	}
}

// failTarget takes one target down and lets the failure be known, late.
func (s *feedSim) failTarget(i int) {
	e := s.engines[i]
	f := health.Failure{Target: targetName(i), Incarnation: uint64(e.incarnation), AtMillis: s.loop.clock.Now().UnixMilli()}
	s.loop.after(time.Duration(s.noise.random.Int64N(int64(feedLag))), func() { s.correlator.Record(f) })
	e.fail(feedDown)
}

// arrive starts one request and schedules the next.
func (s *feedSim) arrive() {
	s.loop.after(s.source.gap(feedRate), s.arrive)
	s.attempt(s.source.next(), nil)
}

// attempt places a request; failed is the target that failed it before, nil for
// none.
func (s *feedSim) attempt(c *call, failed *pick.TargetState) {
	q := &pick.Query{Cost: float64(c.promptTokens), Random: s.noise.random.Uint64(), Now: s.loop.now}
	q.Avoid = func(state *pick.TargetState) bool { return s.avoids(state, failed) }
	state, ok := s.set.Pick(q)
	if !ok {
		s.count(&s.failedAll)
		return
	}
	work := state.Begin(q)
	again := &call{promptTokens: c.promptTokens, outTokens: c.outTokens}
	c.firstToken = func(int) { state.FirstToken(&work, s.loop.now) }
	c.done = func(ok bool) {
		state.End(&work, s.loop.now, ok)
		switch {
		case ok:
		case failed != nil:
			s.count(&s.twice)
		default:
			s.count(&s.retried)
			s.attempt(again, state)
		}
	}
	s.engines[targetIndex(state.Name())].receive(c)
}

// avoids tells whether an attempt keeps away from a target: one that is known to
// be down, the one that failed the request, and its group.
func (s *feedSim) avoids(state, failed *pick.TargetState) bool {
	if !s.engines[targetIndex(state.Name())].up {
		return true
	}
	if failed == nil {
		return false
	}
	return state == failed || (s.use && s.correlator.Related(state.Name(), failed.Name()))
}

// count adds one to a counter once the run counts.
func (s *feedSim) count(counter *int) {
	if s.counting {
		*counter++
	}
}

// studyFeeds counts the requests that fail twice with and without the groups.
func studyFeeds(context.Context) (measure.Result, error) {
	without, with := runFeeds(false), runFeeds(true)
	return measure.Result{Figures: []measure.Figure{
		{Name: "retried requests, groups unused", Value: float64(without.retried), Unit: "count"},
		{Name: "retried requests, groups used", Value: float64(with.retried), Unit: "count"},
		{Name: "requests that failed twice, groups unused", Value: float64(without.twice), Unit: "count", Limit: measure.AtLeast, Bound: 1},
		{Name: "requests that failed twice, groups used", Value: float64(with.twice), Unit: "count", Limit: measure.AtMost},
		{Name: "requests without a target left, groups used", Value: float64(with.failedAll), Unit: "count", Limit: measure.AtMost},
	}}, nil
}
