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

// delays are the bounds of random times.
type delays struct {
	// push is how long an agent's crash report takes to an entry.
	push time.Duration
	// gossip is how long an entry takes to pass it on.
	gossip time.Duration
	// crash is how long a poisonous request runs before the engine ends.
	crash time.Duration
	// run is how long any other request runs.
	run time.Duration
}

var usualDelays = delays{
	push:   100 * time.Millisecond,
	gossip: time.Second,
	crash:  500 * time.Millisecond,
	run:    2 * time.Second,
}

// event is something that happens at a time.
type event struct {
	at     time.Duration
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model is one play.
type model struct {
	random  *rand.Rand
	delays  delays
	now     time.Duration
	queue   events
	number  int
	entries []*entry
	agents  []*agent
	// poisonous are the fingerprints that crash engines.
	poisonous map[uint64]bool
	// observe sees each verdict that a request meets.
	observe func(fingerprint uint64, verdict poison.Assessment)
	// crashed sees each engine's end that a request caused.
	crashed func(at time.Duration)
}

type entry struct {
	ledger *poison.Ledger
}

type agent struct {
	name        string
	ledger      *poison.Ledger
	trials      poison.Trials
	incarnation int
	up          bool
	running     map[*request]bool
}

// request is one call of a caller at an entry.
type request struct {
	// number tells requests apart, in the order of their sending.
	number      int
	fingerprint uint64
	entry       *entry
	started     time.Duration
	attempts    int
	onTrial     bool
	// done takes the end: nil for an answer.
	done func(*failure.Error)
}

func newModel(seed uint64, d delays) *model {
	m := &model{
		random:    rand.New(rand.NewPCG(seed, seed)),
		delays:    d,
		poisonous: map[uint64]bool{},
		observe:   func(uint64, poison.Assessment) {},
		crashed:   func(time.Duration) {},
	}
	for range entryCount {
		m.entries = append(m.entries, &entry{ledger: poison.NewLedger(poison.Config{})})
	}
	for i := range targetCount {
		m.agents = append(m.agents, &agent{
			name:    "target-" + strconv.Itoa(i),
			ledger:  poison.NewLedger(poison.Config{}),
			up:      true,
			running: map[*request]bool{},
		})
	}
	return m
}

func (m *model) clock() time.Time { return time.Unix(0, 0).Add(m.now) }

func (m *model) after(delay time.Duration, do func()) {
	m.number++
	heap.Push(&m.queue, event{at: m.now + delay, number: m.number, do: do})
}

// below returns a random time between a tenth of the bound and the bound.
func (m *model) below(bound time.Duration) time.Duration {
	return bound/10 + time.Duration(m.random.Int64N(int64(bound-bound/10)))
}

// play runs until a time.
func (m *model) play(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		next := heap.Pop(&m.queue).(event)
		m.now = next.at
		next.do()
	}
	m.now = until
}

// send makes a request at a random entry.
func (m *model) send(fingerprint uint64, done func(*failure.Error)) {
	m.number++
	m.dispatch(&request{
		number:      m.number,
		fingerprint: fingerprint,
		entry:       m.entries[m.random.IntN(entryCount)],
		started:     m.now,
		done:        done,
	})
}

// dispatch does what an entry does with a request before each attempt.
func (m *model) dispatch(r *request) {
	if m.now-r.started > requestTimeout {
		r.done(failure.New(failure.DeadlineExceeded, failure.NotRun, "timeout"))
		return
	}
	verdict := r.entry.ledger.Assess(r.fingerprint, m.clock())
	m.observe(r.fingerprint, verdict)
	switch verdict.Level {
	case poison.Refused:
		r.done(verdict.Failure(m.clock()))
	case poison.Held:
		m.after(verdict.Until.Sub(m.clock()), func() { m.dispatch(r) })
	case poison.OnTrial:
		r.onTrial = true
		m.tryAlone(r, m.trialAgent(r.fingerprint, verdict.Crashed))
	default:
		r.onTrial = false
		m.tryAnywhere(r)
	}
}

func (m *model) trialAgent(fingerprint uint64, crashed []string) *agent {
	names := make([]string, 0, targetCount)
	byName := map[string]*agent{}
	for _, a := range m.agents {
		names = append(names, a.name)
		byName[a.name] = a
	}
	chosen, _ := poison.TrialTarget(fingerprint, names, crashed)
	return byName[chosen]
}

// tryAlone sends a suspect to the target of its trial.
func (m *model) tryAlone(r *request, a *agent) {
	verdict := a.ledger.Assess(r.fingerprint, m.clock())
	m.observe(r.fingerprint, verdict)
	switch {
	case verdict.Level == poison.Refused:
		r.done(verdict.Failure(m.clock()))
	case verdict.Level == poison.Held:
		m.after(verdict.Until.Sub(m.clock()), func() { m.dispatch(r) })
	case !a.up || !a.trials.Begin(r.fingerprint):
		m.after(busyRetryDelay, func() { m.dispatch(r) })
	default:
		m.run(r, a)
	}
}

func (m *model) tryAnywhere(r *request) {
	up := make([]*agent, 0, targetCount)
	for _, a := range m.agents {
		if a.up {
			up = append(up, a)
		}
	}
	if len(up) == 0 {
		m.after(busyRetryDelay, func() { m.dispatch(r) })
		return
	}
	m.run(r, up[m.random.IntN(len(up))])
}

// run puts a request on an engine.
func (m *model) run(r *request, a *agent) {
	r.attempts++
	a.running[r] = true
	if m.poisonous[r.fingerprint] {
		m.after(m.below(m.delays.crash), func() {
			if a.running[r] {
				m.crashed(m.now)
				m.end(a)
			}
		})
		return
	}
	m.after(m.below(m.delays.run), func() { m.complete(r, a) })
}

func (m *model) complete(r *request, a *agent) {
	if !a.running[r] {
		return
	}
	delete(a.running, r)
	if r.onTrial {
		a.trials.End()
	}
	a.ledger.Completed(r.fingerprint, m.clock())
	m.after(networkDelay, func() {
		if r.entry.ledger.Completed(r.fingerprint, m.clock()) {
			m.gossip(r.entry)
		}
		r.done(nil)
	})
}
