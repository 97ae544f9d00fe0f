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
	// feedFailurePeriod is the time between two failures of the shared feed, and
	// feedFailureSpread the time within which its targets fail.
	feedFailurePeriod = time.Minute
	feedFailureSpread = 2 * time.Second
	// learningFailures is the number of feed failures from which the correlator
	// learns the groups. countedFailures is the number of later failures, during
	// which requests that fail twice are counted.
	learningFailures = 3
	countedFailures  = 10
	feedRequestRate  = 60.0
	feedReportLag    = time.Second
	feedDowntime     = 20 * time.Second
)

// feedTargetIndices are the targets that depend on a shared feed which the failure
// domains do not reflect: two targets of each failure domain.
var feedTargetIndices = []int{0, 1, 2, 6, 7, 8}

// feedWorkload has answers that take about a second.
var feedWorkload = workload{promptTokens: 300, outputTokens: 80, sigma: 0.5}

// correlatedFailureSim simulates requests with one retry each over targets of which
// some share a feed and fail together.
type correlatedFailureSim struct {
	loop       *eventLoop
	engines    []*engine
	set        *pick.Set
	correlator *health.Correlator
	// source draws the requests, and noise all other random values.
	source *generator
	noise  *generator
	// avoidGroup makes retries avoid all targets in the group of the target that
	// failed.
	avoidGroup bool
	// counting is set after the failures from which the groups are learned.
	counting                            bool
	retried, failedTwice, withoutTarget int
}

// runCorrelatedFailures runs the simulation, with retries that do or do not avoid the
// group of the failed target.
func runCorrelatedFailures(avoidGroup bool) *correlatedFailureSim {
	s := &correlatedFailureSim{
		loop:       newEventLoop(),
		source:     newGenerator(feedWorkload, 21),
		noise:      newGenerator(workload{}, 22),
		avoidGroup: avoidGroup,
	}
	s.correlator = health.NewCorrelator(health.Config{Clock: s.loop.clock, TargetCount: feedTargets})
	cfg := engineConfig{slots: pickSlots, prefillRate: 8000, tokenTime: 10 * time.Millisecond}
	targets := make([]pick.Target, feedTargets)
	for i := range targets {
		targets[i] = pick.Target{Name: targetName(i), FailureDomain: fmt.Sprint("d", i%domainCount)}
		s.engines = append(s.engines, newEngine(s.loop, cfg))
	}
	s.set = pick.NewSet(pick.PolicyScore, targets, nil, pick.SubsetConfig{})
	s.loop.after(0, s.arrive)
	s.loop.every(feedFailurePeriod, s.failFeed)
	s.loop.after(feedFailurePeriod*(learningFailures+1)-time.Second, func() { s.counting = true })
	s.loop.runUntil(feedFailurePeriod * (learningFailures + countedFailures + 1))
	return s
}

// failFeed fails the targets of the feed, each after a random delay within
// feedFailureSpread.
func (s *correlatedFailureSim) failFeed() {
	for _, i := range feedTargetIndices {
		wait := time.Duration(s.noise.random.Int64N(int64(feedFailureSpread)))
		s.loop.after(wait, func() { s.failTarget(i) })
	}
}

// failTarget fails one target. The failure is recorded after a random delay of up to
// feedReportLag.
func (s *correlatedFailureSim) failTarget(i int) {
	e := s.engines[i]
	f := health.Failure{Target: targetName(i), Incarnation: uint64(e.incarnation), AtMillis: s.loop.clock.Now().UnixMilli()}
	s.loop.after(time.Duration(s.noise.random.Int64N(int64(feedReportLag))), func() { s.correlator.Record(f) })
	e.fail(feedDowntime)
}

// arrive starts one request and schedules the next arrival.
func (s *correlatedFailureSim) arrive() {
	s.loop.after(s.source.drawInterarrivalTime(feedRequestRate), s.arrive)
	s.attempt(s.source.next(), nil)
}

// attempt sends a request to a target. failed is the target on which its first
// attempt failed, or nil for the first attempt.
func (s *correlatedFailureSim) attempt(r *engineRequest, failed *pick.TargetState) {
	q := &pick.Query{Cost: float64(r.promptTokens), Random: s.noise.random.Uint64(), Now: s.loop.now}
	q.Avoid = func(state *pick.TargetState) bool { return s.avoids(state, failed) }
	state, ok := s.set.Pick(q)
	if !ok {
		s.increment(&s.withoutTarget)
		return
	}
	work := state.Begin(q)
	retry := &engineRequest{promptTokens: r.promptTokens, outputTokens: r.outputTokens}
	r.firstToken = func(int) { state.FirstToken(&work, s.loop.now) }
	r.done = func(ok bool) {
		state.End(&work, s.loop.now, ok)
		switch {
		case ok:
		case failed != nil:
			s.increment(&s.failedTwice)
		default:
			s.increment(&s.retried)
			s.attempt(retry, state)
		}
	}
	s.engines[targetIndex(state.Name())].receive(r)
}

// avoids reports whether an attempt must not use a target: one that is down, the one
// on which the request failed, or, with avoidGroup, one in the group of the latter.
func (s *correlatedFailureSim) avoids(state, failed *pick.TargetState) bool {
	if !s.engines[targetIndex(state.Name())].up {
		return true
	}
	if failed == nil {
		return false
	}
	return state == failed || (s.avoidGroup && s.correlator.Related(state.Name(), failed.Name()))
}

// increment adds one to a counter if counting is on.
func (s *correlatedFailureSim) increment(counter *int) {
	if s.counting {
		*counter++
	}
}

// studyCorrelatedFailures counts the requests that fail twice, with and without the use
// of the groups.
func studyCorrelatedFailures(context.Context) (measure.Result, error) {
	without, with := runCorrelatedFailures(false), runCorrelatedFailures(true)
	return measure.Result{Figures: []measure.Figure{
		{Name: "retried requests, groups unused", Value: float64(without.retried), Unit: "count"},
		{Name: "retried requests, groups used", Value: float64(with.retried), Unit: "count"},
		{Name: "requests that failed twice, groups unused", Value: float64(without.failedTwice), Unit: "count", Limit: measure.AtLeast, Bound: 1},
		{Name: "requests that failed twice, groups used", Value: float64(with.failedTwice), Unit: "count", Limit: measure.AtMost},
		{Name: "requests without a target left, groups used", Value: float64(with.withoutTarget), Unit: "count", Limit: measure.AtMost},
	}}, nil
}
