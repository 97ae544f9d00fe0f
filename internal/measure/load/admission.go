package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"verbenaseam.example/verbenaseam/process/target"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/version/config"
)

// The admission model has several entries, each with a Dispatcher of its own, in front of
// engines. Entries report to one another every 100 ms. Engines that are full queue a few
// requests and get slower with their load. Callers that are rejected come back, three in ten
// of them at once.
const (
	admissionEntries = 4
	admissionTargets = 12
	admissionSlots   = 12
	// admissionEngineQueue is how many requests an engine queues before it refuses.
	admissionEngineQueue = 20
	// admissionCapacity is about how many requests per second the engines finish when full.
	admissionCapacity = 88
	// admissionLoad is the usual load, as a share of that.
	admissionLoad     = 0.8
	admissionDuration = 20 * time.Second
	// admissionDeadline is how long callers wait, admissionAttempts how often they try.
	admissionDeadline = 8 * time.Second
	admissionAttempts = 6
	// impatientShare is the share of callers that come back at once.
	impatientShare = 0.3
	// admissionHeartbeat is the time between two reports of an entry, admissionTick that
	// between two calls of Tick.
	admissionHeartbeat = 100 * time.Millisecond
	admissionTick      = 50 * time.Millisecond
	// admissionDelay is the one-way delay between any two processes.
	admissionDelay         = time.Millisecond
	admissionOrganisations = 24
)

// admissionKind is a kind of request.
type admissionKind struct {
	urgency       int
	share         float64
	objective     time.Duration
	inTime, tardy float64
}

// kindCount is the number of kinds of request.
const kindCount = 3

// admissionKinds are the streams of deployment A, by urgency.
var admissionKinds = [kindCount]admissionKind{
	{urgency: 0, share: 0.364, objective: 500 * time.Millisecond, inTime: 3, tardy: 0.3},
	{urgency: 1, share: 0.476, objective: 500 * time.Millisecond, inTime: 1.6, tardy: 0.41},
	{urgency: 2, share: 0.16, objective: time.Second, inTime: 0.8, tardy: 0.3},
}

// admissionPolicy is a way to decide which requests start.
type admissionPolicy struct {
	name string
	// deadlineAware lets requests wait as long as they can still be in time, instead of for
	// 0.6 of their objective, and derives Retry-After from the queue.
	deadlineAware bool
	// urgencyAware shares the demand by urgency among the entries and states the urgency to
	// engines.
	urgencyAware bool
}

// admissionLoadCase is a load.
type admissionLoadCase struct {
	name string
	// factor returns how many times the usual requests of a kind arrive.
	factor func(kind int, now time.Duration) float64
	// largeShare is the share of one organisation in all requests.
	largeShare float64
}

func between(now, from, until time.Duration) bool { return now >= from && now < until }

var (
	// kindBursts is a burst of the least urgent kind, then one of the most urgent.
	kindBursts = admissionLoadCase{name: "bursts by kind", largeShare: 0.2, factor: func(kind int, now time.Duration) float64 {
		switch {
		case kind == 2 && between(now, 3*time.Second, 11*time.Second):
			return 6
		case kind == 0 && between(now, 13*time.Second, 17*time.Second):
			return 2
		}
		return 1
	}}
	doubleLoad = admissionLoadCase{name: "overload x 2", largeShare: 0.2, factor: func(_ int, now time.Duration) float64 {
		if between(now, 3*time.Second, 15*time.Second) {
			return 2
		}
		return 1
	}}
	largeOrganisation = admissionLoadCase{name: "large organisation", largeShare: 0.7, factor: doubleLoad.factor}
	usualLoad         = admissionLoadCase{name: "usual load", largeShare: 0.2, factor: func(int, time.Duration) float64 { return 1 }}
)

// admissionSim is one run of the model.
type admissionSim struct {
	loop *eventLoop
	// arrivals and random are sources of randomness; arrivals are used for callers alone, so
	// that they are the same under each policy.
	arrivals [kindCount]*rand.Rand
	random   *rand.Rand
	policy   admissionPolicy
	load     admissionLoadCase
	entries  []*admissionEntry
	engines  map[string]*admissionEngine
	outcome  admissionOutcome
}

// admissionOutcome is the result of a run.
type admissionOutcome struct {
	kinds         [kindCount]admissionCount
	organisations [admissionOrganisations]admissionCount
	// refusals counts the rejections by entries, engineWaits the requests that found the
	// slots of their engine taken.
	refusals, engineWaits int
}

// admissionCount counts callers, those that were served, and in time, and the value earned.
type admissionCount struct {
	callers, served, inTime int
	value, possible         float64
}

func (c admissionCount) servedShare() float64 { return float64(c.served) / float64(max(c.callers, 1)) }

func (c admissionCount) valueShare() float64 { return c.value / c.possible }

// total returns the sum over all kinds.
func (o admissionOutcome) total() admissionCount {
	var sum admissionCount
	for _, kind := range o.kinds {
		sum.add(kind)
	}
	return sum
}

func (c *admissionCount) add(other admissionCount) {
	c.callers += other.callers
	c.served += other.served
	c.inTime += other.inTime
	c.value += other.value
	c.possible += other.possible
}

// clockBase is the time at the start of a run.
var clockBase = time.Unix(1_000_000, 0)

func (s *admissionSim) now() time.Time { return clockBase.Add(s.loop.now) }

// newAdmissionSim returns a run that has not started.
func newAdmissionSim(policy admissionPolicy, load admissionLoadCase, seed uint64) *admissionSim {
	s := &admissionSim{
		loop: newEventLoop(), random: newRandom(seed + 1), policy: policy, load: load, engines: map[string]*admissionEngine{},
	}
	for kind := range s.arrivals {
		s.arrivals[kind] = newRandom(hashPair(seed, uint64(kind)))
	}
	service := &config.Service{Name: "s", MixedUrgency: policy.urgencyAware}
	var names []string
	for n := range admissionEntries {
		names = append(names, fmt.Sprint("entry-", n))
	}
	for n := range admissionEntries {
		d := dispatch.New(dispatch.Config{FailureDomain: "d", Random: s.random.Float64})
		d.SetServices(map[string]*config.Service{"s": service}, s.now())
		d.SetProcesses(dispatch.NewProcesses(names[n], names))
		s.entries = append(s.entries, &admissionEntry{sim: s, name: names[n], dispatcher: d})
	}
	for n := range admissionTargets {
		registration := target.Registration{
			ID: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint("10.0.0.", n, ":80"), FailureDomain: "d", Capacity: admissionSlots,
		}
		s.engines[registration.ID] = &admissionEngine{sim: s}
		for _, e := range s.entries {
			e.dispatcher.Register(registration, s.now())
		}
	}
	return s
}

// run simulates the load and returns the outcome.
func (s *admissionSim) run() admissionOutcome {
	for n, e := range s.entries {
		s.loop.after(admissionHeartbeat*time.Duration(n)/admissionEntries, func() { s.loop.every(admissionHeartbeat, e.report) })
		s.loop.every(admissionTick, func() { e.dispatcher.Tick(s.now()); e.collect() })
	}
	for kind := range admissionKinds {
		s.arrive(kind)
	}
	s.loop.runUntil(admissionDuration + admissionDeadline)
	return s.outcome
}

// arrive starts one caller of a kind and schedules the next.
func (s *admissionSim) arrive(kind int) {
	rate := admissionCapacity * admissionLoad * admissionKinds[kind].share * s.load.factor(kind, s.loop.now)
	source := s.arrivals[kind]
	s.loop.after(time.Duration(source.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.loop.now >= admissionDuration {
			return
		}
		organisation := 0
		if source.Float64() >= s.load.largeShare {
			organisation = 1 + source.IntN(admissionOrganisations-1)
		}
		c := &admissionCaller{sim: s, kind: kind, organisation: organisation, started: s.loop.now}
		for _, count := range c.counts() {
			count.callers++
			count.possible += admissionKinds[kind].inTime
		}
		c.attempt()
		s.arrive(kind)
	})
}

// admissionCaller is a caller with one request.
type admissionCaller struct {
	sim                *admissionSim
	kind, organisation int
	started            time.Duration
	attempts           int
}

func (c *admissionCaller) counts() [2]*admissionCount {
	return [2]*admissionCount{&c.sim.outcome.kinds[c.kind], &c.sim.outcome.organisations[c.organisation]}
}

func (c *admissionCaller) left() time.Duration {
	return c.started + admissionDeadline - c.sim.loop.now
}

// attempt sends the request to a random entry.
func (c *admissionCaller) attempt() {
	c.attempts++
	e := c.sim.entries[c.sim.random.IntN(len(c.sim.entries))]
	left := c.left()
	c.sim.loop.after(admissionDelay, func() { e.handle(c, left) })
}

// rejected brings the caller back, unless it has too little time or attempts left.
func (c *admissionCaller) rejected(retryAfter time.Duration) {
	c.sim.outcome.refusals++
	if c.attempts >= admissionAttempts {
		return
	}
	wait := min(retryAfter, c.left()/3)
	if float64(c.organisation%10)/10 < impatientShare {
		wait = 20 * time.Millisecond
	}
	if c.left() < wait+100*time.Millisecond {
		return
	}
	c.sim.loop.after(wait, c.attempt)
}

// responded records the first event at the caller.
func (c *admissionCaller) responded() {
	kind := admissionKinds[c.kind]
	for _, count := range c.counts() {
		count.served++
		if c.sim.loop.now+admissionDelay-c.started <= kind.objective {
			count.inTime++
			count.value += kind.inTime
		} else {
			count.value += kind.tardy
		}
	}
}
