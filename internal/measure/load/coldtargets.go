package load

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/request/admit"
)

const (
	coldLimit = 4
	// warmSlots is the number of concurrent requests that a warm engine supports.
	// gateMaximum, the maximum limit of the gate, leaves headroom below it.
	warmSlots   = 80
	gateMaximum = 56
	coldEntries = 4
	coldSeeds   = 3
	// staleEntryConcurrency is the number of requests that one entry keeps in flight at
	// a target: a quarter more than its share of the gate's maximum.
	staleEntryConcurrency = gateMaximum * 5 / 4 / coldEntries
	// coldDuration is the time that is simulated after the targets became cold.
	// Scenarios that start warm run for half of it before.
	coldDuration         = 240 * time.Second
	coldNetworkDelay     = 2 * time.Millisecond
	staleEntryMinBackoff = 200 * time.Millisecond
	fullRateFraction     = 0.9
)

// coldEngine returns an engine that fails on overload and gains the given number of
// slots with each completed request.
func coldEngine(slotsPerCompletion float64) engineConfig {
	return engineConfig{
		slots: warmSlots, coldSlots: coldLimit, slotsPerCompletion: slotsPerCompletion, coldPrefillFactor: 8, failsOnOverload: true,
		prefillRate: 16000, tokenTime: 15 * time.Millisecond, restartDelay: 2 * time.Second,
	}
}

// coldWorkload has short prompts, and answers that take about two seconds.
var coldWorkload = workload{promptTokens: 300, outputTokens: 80, sigma: 0.5}

// staleEntry models an entry with outdated state: it keeps a fixed number of requests
// in flight at a target, as though the target accepted its full share, whatever the
// target's state is.
type staleEntry struct {
	loop     *eventLoop
	requests *generator
	target   *gatedEngine
	// concurrency is the number of requests kept in flight at the target.
	concurrency int
}

// gatedEngine is an engine behind an admission gate. With a nil gate, all requests
// are admitted.
type gatedEngine struct {
	loop   *eventLoop
	gate   *admit.Gate
	engine *engine
	// served counts completed requests, and refused those that the gate refused.
	served, refused int
}

// newGatedEngine returns an engine behind a gate with the given limiter. An empty
// limiter means no gate.
func newGatedEngine(l *eventLoop, cfg engineConfig, limiter admit.LimiterKind) *gatedEngine {
	g := &gatedEngine{loop: l, engine: newEngine(l, cfg)}
	if limiter == "" {
		return g
	}
	g.gate = admit.NewGate(admit.GateConfig{ColdLimit: coldLimit, Maximum: gateMaximum, Limiter: limiter, Clock: l.clock})
	g.gate.EngineStarted("1")
	g.engine.onStart = func(incarnation int) { g.gate.EngineStarted(strconv.Itoa(incarnation)) }
	return g
}

// submit passes a request through the gate to the engine. It calls onDone at the end
// of an admitted request, or onRefused with the time to wait before the next try.
func (g *gatedEngine) submit(r *engineRequest, onDone func(ok bool), onRefused func(wait time.Duration)) {
	if !g.engine.up {
		onRefused(time.Second)
		return
	}
	if g.gate == nil {
		r.firstToken = func(int) {}
		r.done = onDone
		g.engine.receive(r)
		return
	}
	ticket, err := g.gate.AdmitSized(r.promptTokens)
	if err != nil {
		g.refused++
		onRefused(retryAfter(err))
		return
	}
	start := g.loop.now
	first := r.firstToken
	r.firstToken = func(cached int) {
		ticket.FirstToken(g.loop.now - start)
		if first != nil {
			first(cached)
		}
	}
	r.done = func(ok bool) {
		if ok {
			g.served++
		}
		ticket.Done(admit.Result{OK: ok, Tokens: r.outputTokens, PromptTokens: r.promptTokens})
		onDone(ok)
	}
	g.engine.receive(r)
}

// start issues the initial requests, as many as the configured concurrency.
func (s *staleEntry) start() {
	for range s.concurrency {
		s.loop.after(coldNetworkDelay, s.send)
	}
}

// send submits one request and schedules the next for when it ends or is refused.
func (s *staleEntry) send() {
	s.target.submit(s.requests.next(),
		func(ok bool) {
			if !ok {
				s.loop.after(time.Second, s.send)
				return
			}
			s.loop.after(coldNetworkDelay, s.send)
		},
		func(wait time.Duration) { s.loop.after(max(wait, staleEntryMinBackoff), s.send) })
}

// coldOutcome holds the results of one run.
type coldOutcome struct {
	overloads int
	// timeToFullRate is the time from the cold state until the limits of all gates
	// reached nine tenths of the maximum. It is coldDuration if they did not.
	timeToFullRate time.Duration
	served         int
}

// coldScenario is one way in which targets become cold.
type coldScenario struct {
	name    string
	targets int
	// warmFirst runs the targets until they are warm before event is called.
	warmFirst bool
	event     func(targets []*gatedEngine)
}

var coldScenarios = []coldScenario{
	{name: "start", targets: 1},
	{name: "cold without restart", targets: 1, warmFirst: true, event: func(targets []*gatedEngine) {
		for _, g := range targets {
			g.engine.resetWarmUp()
		}
	}},
	{name: "failure domain returns", targets: 4, warmFirst: true, event: func(targets []*gatedEngine) {
		for _, g := range targets {
			g.engine.fail(10 * time.Second)
		}
	}},
}

// runColdScenario runs a scenario with one engine configuration, limiter and seed.
func runColdScenario(scenario coldScenario, engine engineConfig, limiter admit.LimiterKind, seed uint64) coldOutcome {
	l := newEventLoop()
	var targets []*gatedEngine
	for i := range scenario.targets {
		g := newGatedEngine(l, engine, limiter)
		targets = append(targets, g)
		for entry := range coldEntries {
			s := &staleEntry{loop: l, target: g, concurrency: staleEntryConcurrency}
			s.requests = newGenerator(coldWorkload, seed+uint64(100*i+entry))
			s.start()
		}
	}
	coldAt := time.Duration(0)
	if scenario.warmFirst {
		coldAt = coldDuration / 2
		l.after(coldAt, func() { scenario.event(targets) })
	}
	l.runUntil(coldAt + time.Millisecond)
	return measureRecovery(l, targets, coldAt)
}

// measureRecovery runs the simulation to its end and collects the results. coldAt is
// the time at which the targets became cold.
func measureRecovery(l *eventLoop, targets []*gatedEngine, coldAt time.Duration) coldOutcome {
	outcome := coldOutcome{timeToFullRate: coldDuration}
	for end := l.now; end < coldAt+coldDuration; end += 100 * time.Millisecond {
		l.runUntil(end)
		if outcome.timeToFullRate == coldDuration && allNearMaximum(targets) && l.now > coldAt+time.Second {
			outcome.timeToFullRate = l.now - coldAt
		}
	}
	for _, g := range targets {
		outcome.overloads += g.engine.overloads
		outcome.served += g.served
	}
	return outcome
}

// allNearMaximum reports whether the limits of all gates have reached
// fullRateFraction of the maximum.
func allNearMaximum(targets []*gatedEngine) bool {
	for _, g := range targets {
		if g.gate == nil || float64(g.gate.State().Limit) < fullRateFraction*gateMaximum {
			return false
		}
	}
	return true
}

// warmUpProfile is one way in which an engine gains capacity after it has become
// cold.
type warmUpProfile struct {
	name   string
	engine engineConfig
}

var warmUpProfiles = []warmUpProfile{
	{"0.1 slots a request", coldEngine(0.1)},
	{"0.25 slots a request", coldEngine(0.25)},
	{"1 slot a request", coldEngine(1)},
	{"all slots after 30 s", steppedWarmUpEngine(30 * time.Second)},
}

// steppedWarmUpEngine returns an engine that keeps its cold slots for the given time
// after it became cold, and then has all slots at once.
func steppedWarmUpEngine(after time.Duration) engineConfig {
	cfg := coldEngine(0)
	cfg.warmAfter = after
	return cfg
}

// coldCase is one combination of limiter, scenario and warm-up profile.
type coldCase struct {
	limiter  admit.LimiterKind
	scenario coldScenario
	profile  warmUpProfile
}

// coldCases returns all combinations that the study runs.
func coldCases() []coldCase {
	var cases []coldCase
	for _, limiter := range []admit.LimiterKind{admit.LimiterGradient, admit.LimiterAIMD, ""} {
		for _, scenario := range coldScenarios {
			for _, profile := range warmUpProfiles {
				cases = append(cases, coldCase{limiter, scenario, profile})
			}
		}
	}
	return cases
}

// studyColdTargets compares the limiters on cold targets over several seeds. Its runs
// without a gate verify that the modelled engine does overload when nothing limits
// admission.
func studyColdTargets(ctx context.Context) (measure.Result, error) {
	cases := coldCases()
	figures := make([][]measure.Figure, len(cases))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(studyWorkers)
	for i, c := range cases {
		group.Go(func() error {
			figures[i] = c.figures()
			return ctx.Err()
		})
	}
	err := group.Wait()
	return measure.Result{Figures: slices.Concat(figures...)}, err
}

// figures runs the case with each seed and returns the total of overloads and the
// slowest recovery.
func (c coldCase) figures() []measure.Figure {
	overloads, slowest := 0, time.Duration(0)
	for seed := range coldSeeds {
		outcome := runColdScenario(c.scenario, c.profile.engine, c.limiter, uint64(1000*seed+1))
		overloads += outcome.overloads
		slowest = max(slowest, outcome.timeToFullRate)
	}
	name := fmt.Sprintf("%s, %s, %s: ", c.scenario.name, c.profile.name, limiterName(c.limiter))
	overloadFigure := measure.Figure{Name: name + "overloads", Value: float64(overloads), Unit: "count", Limit: measure.AtMost}
	if c.limiter == "" {
		overloadFigure.Limit, overloadFigure.Bound = measure.AtLeast, 1
		return []measure.Figure{overloadFigure}
	}
	fullRate := measure.Figure{Name: name + "time to full rate, worst seed", Value: slowest.Seconds(), Unit: "s"}
	return []measure.Figure{overloadFigure, fullRate}
}

func limiterName(limiter admit.LimiterKind) string {
	if limiter == "" {
		return "no gate"
	}
	return string(limiter)
}
