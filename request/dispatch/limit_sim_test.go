package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenaseam.example/verbenaseam/internal/mutant"
)

const (
	simStep = 20 * time.Millisecond
	// simHeartbeat is the time between two heartbeats of an entry, simTrip how long a request
	// takes until its response.
	simHeartbeat = 100 * time.Millisecond
	simTrip      = 60 * time.Millisecond
	simCapacity  = 40
	// simLearning is how long an entry that starts learns of limits.
	simLearning = 500 * time.Millisecond
	// ruleWindow, ruleFactor and ruleSlack are those of the users' rule: a target that has named
	// a limit gets at most ruleFactor times what that allows in ruleWindow, plus ruleSlack
	// requests. ruleLearned is how long after an entry was told its requests count.
	ruleWindow  = 4 * time.Second
	ruleFactor  = 1.5
	ruleSlack   = 5
	ruleLearned = 500 * time.Millisecond
)

// simTarget is a target that names a limit while it has one.
type simTarget struct {
	// perSecond is the limit, negative for none.
	perSecond float64
	// history holds all limits that it has named.
	history []simLimit
	// arrivals are those that count.
	arrivals []time.Time
	served   int
}

type simLimit struct {
	from      time.Time
	perSecond float64
}

// simRequest is a request on its way to a target and back.
type simRequest struct {
	entry    *simEntry
	to       *Target
	sent     time.Time
	response time.Time
}

// simEntry is an entry.
type simEntry struct {
	name    string
	d       *Dispatcher
	waiting []*Waiter
	// told is when a target first told this entry its limit, kept over restarts: the users
	// count by host.
	told map[string]time.Time
	// heartbeatDue is when it sends its next heartbeat.
	heartbeatDue time.Time
}

// limitSim runs entries in front of the same targets, which name limits.
type limitSim struct {
	fail    func(format string, args ...any)
	random  *rand.Rand
	now     time.Time
	entries []*simEntry
	targets []*simTarget
	running []simRequest
	// loss is the share of heartbeats that are lost.
	loss float64
	// rejected counts the requests that were turned away.
	rejected int
}

func newLimitSim(fail func(string, ...any), seed uint64, entries, targets int) *limitSim {
	s := &limitSim{fail: fail, random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for range targets {
		s.targets = append(s.targets, &simTarget{perSecond: -1})
	}
	for n := range entries {
		s.entries = append(s.entries, &simEntry{name: fmt.Sprintf("e%d", n), told: map[string]time.Time{}})
	}
	for _, e := range s.entries {
		s.startEntry(e)
	}
	return s
}

// startEntry starts an entry that knows the others and the targets from the store.
func (s *limitSim) startEntry(e *simEntry) {
	e.d = New(Config{LearnsLimits: true})
	e.d.LearnLimitsUntil(s.now.Add(simLearning))
	for n := range s.targets {
		e.d.Register(registration(n, simCapacity), s.now)
	}
	e.waiting = nil
	e.heartbeatDue = s.now
	s.shareProcesses()
}

// shareProcesses tells all entries of each other.
func (s *limitSim) shareProcesses() {
	var names []string
	for _, e := range s.entries {
		names = append(names, e.name)
	}
	for _, e := range s.entries {
		if e.d != nil {
			e.d.SetProcesses(NewProcesses(e.name, names))
		}
	}
}

// restart ends what the entry does and starts it again.
func (s *limitSim) restart(e *simEntry) {
	s.running = slices.DeleteFunc(s.running, func(r simRequest) bool { return r.entry == e })
	s.startEntry(e)
}

// setLimit sets the limit of a target; negative for none.
func (s *limitSim) setLimit(n int, perSecond float64) {
	s.targets[n].perSecond = perSecond
	s.targets[n].history = append(s.targets[n].history, simLimit{s.now, perSecond})
}

// run runs the entries for a time, with so many requests a second at each.
func (s *limitSim) run(length time.Duration, perSecond float64) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.respond()
		for _, e := range s.entries {
			e.d.Tick(s.now)
			s.collect(e)
			for due := perSecond * simStep.Seconds(); s.random.Float64() < due; due-- {
				s.arrive(e)
			}
			s.heartbeat(e)
		}
	}
}

func (s *limitSim) arrive(e *simEntry) {
	to, waiter := e.d.Acquire(Request{Service: "s", QueueDeadline: s.now.Add(300 * time.Millisecond)}, s.now)
	switch {
	case to != nil:
		s.send(e, to)
	case waiter != nil:
		e.waiting = append(e.waiting, waiter)
	default:
		s.rejected++
	}
}

func (s *limitSim) collect(e *simEntry) {
	e.waiting = slices.DeleteFunc(e.waiting, func(w *Waiter) bool {
		granted := drain(w)
		if len(granted) > 0 && granted[0] != nil {
			s.send(e, granted[0])
		}
		return len(granted) > 0
	})
}

// number returns the number of a target.
func number(to *Target) int {
	var n int
	_, _ = fmt.Sscanf(to.ID(), "t%d", &n)
	return n
}

func (s *limitSim) send(e *simEntry, to *Target) {
	s.running = append(s.running, simRequest{entry: e, to: to, sent: s.now, response: s.now.Add(simTrip)})
	t := s.targets[number(to)]
	t.served++
	told, was := e.told[to.ID()]
	if t.perSecond < 0 || !was || s.now.Sub(told) < ruleLearned {
		return
	}
	t.arrivals = append(t.arrivals, s.now)
	t.check(s, to.ID())
}

// check checks the rule for the window that ends now.
func (t *simTarget) check(s *limitSim, id string) {
	from := s.now.Add(-ruleWindow)
	t.arrivals = slices.DeleteFunc(t.arrivals, func(at time.Time) bool { return !at.After(from) })
	allowed := ruleSlack + ruleFactor*ruleWindow.Seconds()*t.highest(from)
	if float64(len(t.arrivals)) > allowed {
		s.fail("%s got %d requests in %v, allowed %.1f", id, len(t.arrivals), ruleWindow, allowed)
	}
}

// highest returns the highest limit that held since a time.
func (t *simTarget) highest(from time.Time) float64 {
	most := t.perSecond
	for i, limit := range t.history {
		last := i == len(t.history)-1
		if last || t.history[i+1].from.After(from) {
			most = max(most, limit.perSecond)
		}
	}
	return most
}

// respond ends the requests whose responses are due.
func (s *limitSim) respond() {
	due := slices.DeleteFunc(slices.Clone(s.running), func(r simRequest) bool { return r.response.After(s.now) })
	s.running = slices.DeleteFunc(s.running, func(r simRequest) bool { return !r.response.After(s.now) })
	for _, r := range due {
		t := s.targets[number(r.to)]
		if t.perSecond < 0 {
			delete(r.entry.told, r.to.ID())
			r.entry.d.RecordNoLimit(r.to, r.sent, s.now)
		} else {
			if _, was := r.entry.told[r.to.ID()]; !was {
				r.entry.told[r.to.ID()] = s.now
			}
			r.entry.d.RecordLimit(r.to, t.perSecond, s.now)
		}
		r.entry.d.Release(r.to, Served, s.now)
	}
}

func (s *limitSim) heartbeat(e *simEntry) {
	if s.now.Before(e.heartbeatDue) {
		return
	}
	e.heartbeatDue = s.now.Add(simHeartbeat)
	limits := e.d.Limits(s.now)
	for _, other := range s.entries {
		if other != e && s.random.Float64() >= s.loss {
			other.d.MergeLimits(limits, s.now)
		}
	}
}

// TestEntriesTogetherKeepToLimits guards against targets that get more than the limit that they
// name from all entries together, and against limits that entries keep after they are lifted,
// whatever the number of entries, with lost heartbeats, entries that restart or are added, and
// limits that change.
func TestEntriesTogetherKeepToLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SampledFrom([]int{1, 2, 4, 9, 30}).Draw(t, "entries")
		targets := rapid.IntRange(1, 4).Draw(t, "targets")
		s := newLimitSim(t.Fatalf, rapid.Uint64().Draw(t, "seed"), entries, targets)
		s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		load := rapid.SampledFrom([]float64{2, 20, 60, 200}).Draw(t, "load")
		for range rapid.IntRange(4, 12).Draw(t, "steps") {
			target := rapid.IntRange(0, targets-1).Draw(t, "target")
			entry := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")]
			switch rapid.SampledFrom([]string{"limit", "limit", "lift", "restart", "add", "register"}).Draw(t, "event") {
			case "limit":
				s.setLimit(target, rapid.SampledFrom([]float64{0, 0.2, 1, 2.2, 8, 40}).Draw(t, "per second"))
			case "lift":
				s.setLimit(target, -1)
			case "restart":
				s.restart(entry)
			case "add":
				added := &simEntry{name: fmt.Sprintf("e%d", len(s.entries)), told: map[string]time.Time{}}
				s.entries = append(s.entries, added)
				s.startEntry(added)
			case "register":
				entry.d.Remove(fmt.Sprintf("t%d", target))
				entry.d.Register(registration(target, simCapacity), s.now)
			}
			s.run(time.Duration(rapid.IntRange(100, 5000).Draw(t, "ms"))*time.Millisecond, load)
		}
		s.checkLifted()
	})
}

// checkLifted lifts all limits and checks that all entries soon send without any.
func (s *limitSim) checkLifted() {
	const (
		settle = 6 * time.Second
		load   = 30
	)
	for n := range s.targets {
		s.setLimit(n, -1)
	}
	s.run(settle, load)
	before := s.rejected
	s.run(time.Second, load)
	if s.rejected > before {
		s.fail("%d requests were rejected though no target has a limit", s.rejected-before)
	}
}

// TestTargetWithALimitIsUsedUpToIt guards against a limit that takes a target out of use, or
// leaves much of it unused, while the others have no capacity to spare, and against requests
// that wait though no target will take them.
func TestTargetWithALimitIsUsedUpToIt(t *testing.T) {
	for _, entries := range []int{1, 4} {
		const (
			perSecond = 5.0
			length    = 20 * time.Second
		)
		s := newLimitSim(t.Fatalf, 7, entries, 2)
		s.run(time.Second, 10)
		s.setLimit(0, perSecond)
		s.setLimit(1, perSecond)
		s.run(ruleWindow, 40)
		before := s.targets[0].served
		s.run(length, 40)
		got := float64(s.targets[0].served-before) / length.Seconds()
		require.InDelta(t, perSecond, got, 0.1*perSecond)
		require.Positive(t, s.rejected)
		for _, e := range s.entries {
			require.LessOrEqual(t, len(e.waiting), 2*int(perSecond), "those who cannot be served in time are rejected at once")
		}
	}
}

// TestOthersTakeWhatATargetWithALimitCannot guards against requests that are rejected, or wait,
// because one of many targets names a limit.
func TestOthersTakeWhatATargetWithALimitCannot(t *testing.T) {
	s := newLimitSim(t.Fatalf, 7, 4, 6)
	s.setLimit(0, 0)
	s.setLimit(1, 2)
	s.run(20*time.Second, 40)
	require.Zero(t, s.rejected)
	for _, e := range s.entries {
		require.Empty(t, e.waiting)
	}
}

// limitMutants are dispatchers that do not keep limits.
var limitMutants = []struct {
	desc  string
	edits []mutant.Edit
}{
	{"each entry takes the whole limit", []mutant.Edit{
		{File: "limit_part.go", Old: "own := d.processes.part(total, id)", New: "own := total"},
	}},
	{"a new registration has no limit", []mutant.Edit{
		{File: "dispatcher.go", Old: "	added.rateLimit = d.limits[added.incarnationID()]\n", New: ""},
	}},
	{"waiting requests ignore limits", []mutant.Edit{
		{File: "choose.go", Old: "!d.limitAllows(t, now)", New: "!d.limitAllows(t, now) && pool.waiting.len() == 0"},
	}},
	{"what is sent does not count", []mutant.Edit{
		{File: "acquire.go", Old: "		t.rateLimit.lastStart = now\n", New: ""},
	}},
	{"entries that have just started send freely", []mutant.Edit{
		{File: "limit_part.go", Old: "return t.limitKnown || t.running == 0 || !d.learnsLimits(now)", New: "return true"},
	}},
	{"a limit is never lifted", []mutant.Edit{
		{File: "limit.go", Old: "known.lifted || sent.Before(known.statedAt)", New: "!known.lifted || sent.Before(known.statedAt)"},
	}},
	{"a target with a low limit gets nothing", []mutant.Edit{
		{File: "limit_part.go", Old: "max(total, minLimitRequests)", New: "total"},
	}},
}

// TestLimitMutantsAreCaught checks that the random events detect every mutant.
func TestLimitMutantsAreCaught(t *testing.T) {
	for _, m := range limitMutants {
		t.Run(m.desc, func(t *testing.T) {
			t.Parallel()
			output, passed, err := mutant.Run(t.TempDir(), m.edits, "TestEntriesTogetherKeepToLimits", m.desc)
			require.NoError(t, err)
			require.False(t, passed, "no sequence of events broke a rule")
			require.Contains(t, output, "rapid")
		})
	}
}
