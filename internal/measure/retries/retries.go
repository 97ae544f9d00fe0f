package retries

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/retry"
)

const (
	seed            = 41
	targets         = 15
	requests        = 20000
	arrivalInterval = time.Millisecond
	timeout         = 5 * time.Second
	typicalLatency  = 40 * time.Millisecond
	latencySpread   = 0.4
	slowFactor      = 20
	maximumAttempts = 1.1
	percent         = 100
)

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "retry-outage", Deterministic: true, Run: outage},
		{Name: "retry-one-target-fails", Deterministic: true, Run: oneFails},
		{Name: "retry-hedging", Deterministic: true, Run: hedging},
	}
}

// pool models targets that answer after a random time or fail at once.
type pool struct {
	random  *rand.Rand
	now     time.Time
	budget  *retry.Budget
	latency *retry.Latency
	// failing and slow tell how the targets behave.
	failing, slow [targets]bool
	attempts      int
}

func newPool() *pool {
	return &pool{
		random:  rand.New(rand.NewPCG(seed, seed)),
		now:     time.Unix(0, 0),
		budget:  retry.NewBudget(retry.DefaultBudgetRatio, retry.DefaultBudgetCapacity),
		latency: retry.NewLatency(),
	}
}

func (p *pool) policy(maxAttempts int, hedge bool) retry.Policy {
	policy := retry.Policy{
		MaxAttempts: maxAttempts,
		Deadline:    p.now.Add(timeout),
		Backoff:     retry.Backoff{Base: retry.DefaultBackoffBase, Max: retry.DefaultBackoffMax},
		Budget:      p.budget,
	}
	if hedge {
		policy.HedgeAfter = p.latency.HedgeAfter()
	}
	return policy
}

func name(target int) string { return string(rune('a' + target)) }

// pick chooses a target at random among those not to avoid.
func (p *pool) pick(avoid retry.AvoidSet) int {
	for {
		target := p.random.IntN(targets)
		if !avoid.Excludes(name(target)) {
			return target
		}
	}
}

// send makes one attempt and returns its latency, or false if it fails.
func (p *pool) send(s *retry.Session) (time.Duration, bool) {
	_, avoid := s.Begin()
	target := p.pick(avoid)
	s.RecordTarget(name(target))
	p.attempts++
	if p.failing[target] {
		return 0, false
	}
	latency := time.Duration(float64(typicalLatency) * math.Exp(latencySpread*p.random.NormFloat64()))
	if p.slow[target] {
		latency *= slowFactor
	}
	return latency, true
}

// request makes one request and returns its latency, or false if it fails.
func (p *pool) request(maxAttempts int, hedge bool) (time.Duration, bool) {
	p.now = p.now.Add(arrivalInterval)
	policy := p.policy(maxAttempts, hedge)
	s := retry.NewSession(policy)
	now := p.now
	for {
		latency, ok := p.send(s)
		if ok {
			return p.finish(s, policy, now, latency)
		}
		crashed := failure.New(failure.EngineFailed, failure.Unknown, "target fails")
		decision := s.Failed(crashed, now, p.random.Float64())
		if !decision.Retry {
			return 0, false
		}
		now = now.Add(decision.Delay)
	}
}

// finish hedges an attempt that would take long and takes the first answer.
func (p *pool) finish(s *retry.Session, policy retry.Policy, now time.Time, latency time.Duration) (time.Duration, bool) {
	if policy.HedgeAfter > 0 && latency > policy.HedgeAfter && s.Hedge(now.Add(policy.HedgeAfter)) {
		if second, ok := p.send(s); ok {
			latency = min(latency, policy.HedgeAfter+second)
		}
	}
	end := now.Add(latency)
	if !s.Succeeded(end) {
		return 0, false
	}
	p.latency.Record(latency, p.now)
	return end.Sub(p.now), true
}

// serve makes requests and returns the latencies of those that succeed, sorted.
func (p *pool) serve(maxAttempts int, hedge bool) []time.Duration {
	p.attempts = 0
	latencies := make([]time.Duration, 0, requests)
	for range requests {
		if latency, ok := p.request(maxAttempts, hedge); ok {
			latencies = append(latencies, latency)
		}
	}
	slices.Sort(latencies)
	return latencies
}

func (p *pool) attemptsARequest() float64 { return float64(p.attempts) / requests }

// outage fails all targets after a time of health, and from the start.
func outage(context.Context) (measure.Result, error) {
	after, cold := newPool(), newPool()
	after.serve(retry.DefaultMaxAttempts, true)
	for target := range targets {
		after.failing[target], cold.failing[target] = true, true
	}
	after.serve(retry.DefaultMaxAttempts, true)
	cold.serve(retry.DefaultMaxAttempts, true)
	return measure.Result{Figures: []measure.Figure{
		bounded("attempts a request, full outage after health", after.attemptsARequest()),
		bounded("attempts a request, full outage from the start", cold.attemptsARequest()),
	}}, nil
}

func bounded(what string, value float64) measure.Figure {
	return measure.Figure{Name: what, Value: value, Unit: "ratio", Limit: measure.AtMost, Bound: maximumAttempts}
}

// oneFails compares requests that succeed with and without retries while one
// target refuses all.
func oneFails(context.Context) (measure.Result, error) {
	without, with := newPool(), newPool()
	without.failing[0], with.failing[0] = true, true
	once := without.serve(1, false)
	retried := with.serve(retry.DefaultMaxAttempts, false)
	share := func(l []time.Duration) float64 { return percent * float64(len(l)) / requests }
	return measure.Result{Figures: []measure.Figure{
		{Name: "requests that succeed, 1 of 15 targets failing, no retries", Value: share(once), Unit: "%"},
		{Name: "requests that succeed, 1 of 15 targets failing, retries", Value: share(retried), Unit: "%"},
		bounded("attempts a request, 1 of 15 targets failing, retries", with.attemptsARequest()),
	}}, nil
}

// hedging compares the slowest answers while one target is slow.
func hedging(context.Context) (measure.Result, error) {
	plain, hedged := newPool(), newPool()
	plain.slow[0], hedged.slow[0] = true, true
	without := plain.serve(retry.DefaultMaxAttempts, false)
	with := hedged.serve(retry.DefaultMaxAttempts, true)
	p99 := func(l []time.Duration) float64 {
		return float64(l[len(l)*99/percent].Microseconds()) / 1000
	}
	return measure.Result{Figures: []measure.Figure{
		{Name: "p99 of answers, 1 of 15 targets 20 times slower, no hedges", Value: p99(without), Unit: "ms"},
		{Name: "p99 of answers, 1 of 15 targets 20 times slower, hedges", Value: p99(with), Unit: "ms"},
		bounded("attempts a request, 1 of 15 targets 20 times slower, hedges", hedged.attemptsARequest()),
	}}, nil
}
