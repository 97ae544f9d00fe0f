package poisons

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/poison"
)

const (
	entryCount  = 4
	targetCount = 12

	restartTime    = 3 * time.Second
	networkDelay   = 2 * time.Millisecond
	busyRetryDelay = 50 * time.Millisecond
	requestTimeout = 30 * time.Second
)

// delays are the upper bounds of random delays.
type delays struct {
	// report is the delay of a crash report from an agent to an entry.
	report time.Duration
	// gossip is the delay until an entry passes the report on.
	gossip time.Duration
	// crash is the time that a poisonous request runs before the engine crashes.
	crash time.Duration
	// run is the time that any other request runs.
	run time.Duration
}

var defaultDelays = delays{
	report: 100 * time.Millisecond,
	gossip: time.Second,
	crash:  500 * time.Millisecond,
	run:    2 * time.Second,
}

// event is a scheduled function call; sequence orders events that are due at the same
// time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is the state of one simulated run.
type simulation struct {
	random   *rand.Rand
	delays   delays
	now      time.Duration
	events   eventQueue
	sequence int
	entries  []*entry
	agents   []*agent
	// poisonous are the fingerprints that crash engines.
	poisonous map[uint64]bool
	// onAssessment is called with each assessment of a request.
	onAssessment func(fingerprint uint64, assessment poison.Assessment)
	// onCrash is called for each engine crash caused by a request.
	onCrash func(at time.Duration)
}

type entry struct {
	ledger *poison.Ledger
}

type agent struct {
	name        string
	ledger      *poison.Ledger
	trials      poison.Trial
	incarnation int
	up          bool
	running     map[*request]bool
}

// request is a call that an entry handles.
type request struct {
	// sequence identifies the request and increases in the order of sending.
	sequence    int
	fingerprint uint64
	entry       *entry
	started     time.Duration
	attempts    int
	onTrial     bool
	// done is called with the outcome, which is nil for an answer.
	done func(*failure.Error)
}

func newSimulation(seed uint64, d delays) *simulation {
	s := &simulation{
		random:       rand.New(rand.NewPCG(seed, seed)),
		delays:       d,
		poisonous:    map[uint64]bool{},
		onAssessment: func(uint64, poison.Assessment) {},
		onCrash:      func(time.Duration) {},
	}
	for range entryCount {
		s.entries = append(s.entries, &entry{ledger: poison.NewLedger(poison.Config{}, s.virtualTime())})
	}
	for i := range targetCount {
		s.agents = append(s.agents, &agent{
			name:    "target-" + strconv.Itoa(i),
			ledger:  poison.NewLedger(poison.Config{}, s.virtualTime()),
			up:      true,
			running: map[*request]bool{},
		})
	}
	return s
}

func (s *simulation) virtualTime() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *simulation) schedule(delay time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now + delay, sequence: s.sequence, run: do})
}

// randomDelay returns a random time between a tenth of the bound and the bound.
func (s *simulation) randomDelay(bound time.Duration) time.Duration {
	return bound/10 + time.Duration(s.random.Int64N(int64(bound-bound/10)))
}

// runUntil runs all events that are due until end.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// send sends a request to a random entry.
func (s *simulation) send(fingerprint uint64, done func(*failure.Error)) {
	s.sequence++
	s.dispatch(&request{
		sequence:    s.sequence,
		fingerprint: fingerprint,
		entry:       s.entries[s.random.IntN(entryCount)],
		started:     s.now,
		done:        done,
	})
}

// dispatch assesses a request at its entry before each attempt, and then refuses, holds
// or runs it.
func (s *simulation) dispatch(r *request) {
	if s.now-r.started > requestTimeout {
		r.done(failure.New(failure.DeadlineExceeded, failure.NotRun, "timeout"))
		return
	}
	assessment := r.entry.ledger.Assess(r.fingerprint, s.virtualTime())
	s.onAssessment(r.fingerprint, assessment)
	switch assessment.Level {
	case poison.Refused:
		r.done(assessment.Failure(s.virtualTime()))
	case poison.Held:
		s.schedule(assessment.Until.Sub(s.virtualTime()), func() { s.dispatch(r) })
	case poison.OnTrial:
		r.onTrial = true
		s.dispatchTrial(r, s.trialAgent(r.fingerprint, assessment.Crashed))
	default:
		r.onTrial = false
		s.dispatchAny(r)
	}
}

func (s *simulation) trialAgent(fingerprint uint64, crashed []string) *agent {
	names := make([]string, 0, targetCount)
	byName := map[string]*agent{}
	for _, a := range s.agents {
		names = append(names, a.name)
		byName[a.name] = a
	}
	chosen, _ := poison.TrialTarget(fingerprint, names, crashed)
	return byName[chosen]
}

// dispatchTrial sends a suspected request to the target of its trial.
func (s *simulation) dispatchTrial(r *request, a *agent) {
	assessment := a.ledger.Assess(r.fingerprint, s.virtualTime())
	s.onAssessment(r.fingerprint, assessment)
	switch {
	case assessment.Level == poison.Refused:
		r.done(assessment.Failure(s.virtualTime()))
	case assessment.Level == poison.Held:
		s.schedule(assessment.Until.Sub(s.virtualTime()), func() { s.dispatch(r) })
	case !a.up || !a.trials.Begin(r.fingerprint):
		s.schedule(busyRetryDelay, func() { s.dispatch(r) })
	default:
		s.run(r, a)
	}
}

func (s *simulation) dispatchAny(r *request) {
	up := make([]*agent, 0, targetCount)
	for _, a := range s.agents {
		if a.up {
			up = append(up, a)
		}
	}
	if len(up) == 0 {
		s.schedule(busyRetryDelay, func() { s.dispatch(r) })
		return
	}
	s.run(r, up[s.random.IntN(len(up))])
}

// run starts an attempt of a request on the engine of an agent.
func (s *simulation) run(r *request, a *agent) {
	r.attempts++
	a.running[r] = true
	if s.poisonous[r.fingerprint] {
		s.schedule(s.randomDelay(s.delays.crash), func() {
			if a.running[r] {
				s.onCrash(s.now)
				s.crashEngine(a)
			}
		})
		return
	}
	s.schedule(s.randomDelay(s.delays.run), func() { s.complete(r, a) })
}

func (s *simulation) complete(r *request, a *agent) {
	if !a.running[r] {
		return
	}
	delete(a.running, r)
	if r.onTrial {
		a.trials.End()
	}
	a.ledger.Completed(r.fingerprint, s.virtualTime())
	s.schedule(networkDelay, func() {
		if r.entry.ledger.Completed(r.fingerprint, s.virtualTime()) {
			s.gossip(r.entry)
		}
		r.done(nil)
	})
}
