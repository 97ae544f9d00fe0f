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
	targetCount     = 15
	requestCount    = 20000
	arrivalInterval = time.Millisecond
	timeout         = 5 * time.Second
	// Latencies are log-normal with this median and standard deviation of the logarithm.
	medianLatency    = 40 * time.Millisecond
	latencyLogStdDev = 0.4
	// slowFactor is the factor by which the latencies of slow targets are longer.
	slowFactor            = 20
	maxAttemptsPerRequest = 1.1
	percent               = 100
)

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "retry-outage", Deterministic: true, Run: measureOutage},
		{Name: "retry-one-target-fails", Deterministic: true, Run: measureOneFailingTarget},
		{Name: "retry-hedging", Deterministic: true, Run: measureHedging},
	}
}

// pool simulates targets that answer after a random time or fail immediately.
type pool struct {
	random  *rand.Rand
	now     time.Time
	budget  *retry.Budget
	latency *retry.Latency
	// failing and slow mark the targets that fail all requests or are slower by
	// slowFactor.
	failing, slow [targetCount]bool
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

func targetName(target int) string { return string(rune('a' + target)) }

// pickTarget returns a random target that is not in the avoid set.
func (p *pool) pickTarget(avoid retry.AvoidSet) int {
	for {
		target := p.random.IntN(targetCount)
		if !avoid.Excludes(targetName(target)) {
			return target
		}
	}
}

// send makes one attempt and returns its latency, or false if the attempt fails.
func (p *pool) send(s *retry.Session) (time.Duration, bool) {
	_, avoid := s.Begin()
	target := p.pickTarget(avoid)
	s.RecordTarget(targetName(target))
	p.attempts++
	if p.failing[target] {
		return 0, false
	}
	latency := time.Duration(float64(medianLatency) * math.Exp(latencyLogStdDev*p.random.NormFloat64()))
	if p.slow[target] {
		latency *= slowFactor
	}
	return latency, true
}

// runRequest makes one request, with retries, and returns its latency, or false if the
// request fails.
func (p *pool) runRequest(maxAttempts int, hedge bool) (time.Duration, bool) {
	p.now = p.now.Add(arrivalInterval)
	policy := p.policy(maxAttempts, hedge)
	s := retry.NewSession(policy)
	now := p.now
	for {
		latency, ok := p.send(s)
		if ok {
			return p.finish(s, policy, now, latency)
		}
		attemptErr := failure.New(failure.EngineFailed, failure.Unknown, "target fails")
		decision := s.Failed(attemptErr, now, p.random.Float64())
		if !decision.Retry {
			return 0, false
		}
		now = now.Add(decision.Delay)
	}
}

// finish completes a request whose attempt succeeds after latency. If that exceeds the
// hedging delay, it sends a hedge and uses the first answer.
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

// runRequests makes requestCount requests and returns the sorted latencies of those that succeed.
func (p *pool) runRequests(maxAttempts int, hedge bool) []time.Duration {
	p.attempts = 0
	latencies := make([]time.Duration, 0, requestCount)
	for range requestCount {
		if latency, ok := p.runRequest(maxAttempts, hedge); ok {
			latencies = append(latencies, latency)
		}
	}
	slices.Sort(latencies)
	return latencies
}

func (p *pool) attemptsPerRequest() float64 { return float64(p.attempts) / requestCount }

// measureOutage measures attempts while all targets fail, after normal operation and from the
// start.
func measureOutage(context.Context) (measure.Result, error) {
	warm, cold := newPool(), newPool()
	warm.runRequests(retry.DefaultMaxAttempts, true)
	for target := range targetCount {
		warm.failing[target], cold.failing[target] = true, true
	}
	warm.runRequests(retry.DefaultMaxAttempts, true)
	cold.runRequests(retry.DefaultMaxAttempts, true)
	return measure.Result{Figures: []measure.Figure{
		attemptsFigure("attempts per request, full outage after normal operation", warm.attemptsPerRequest()),
		attemptsFigure("attempts per request, full outage from the start", cold.attemptsPerRequest()),
	}}, nil
}

func attemptsFigure(name string, value float64) measure.Figure {
	return measure.Figure{Name: name, Value: value, Unit: "ratio", Limit: measure.AtMost, Bound: maxAttemptsPerRequest}
}

// measureOneFailingTarget compares the success rate with and without retries while one target
// fails all requests.
func measureOneFailingTarget(context.Context) (measure.Result, error) {
	without, with := newPool(), newPool()
	without.failing[0], with.failing[0] = true, true
	once := without.runRequests(1, false)
	retried := with.runRequests(retry.DefaultMaxAttempts, false)
	share := func(l []time.Duration) float64 { return percent * float64(len(l)) / requestCount }
	return measure.Result{Figures: []measure.Figure{
		{Name: "requests that succeed, 1 of 15 targets failing, no retries", Value: share(once), Unit: "%"},
		{Name: "requests that succeed, 1 of 15 targets failing, retries", Value: share(retried), Unit: "%"},
		attemptsFigure("attempts per request, 1 of 15 targets failing, retries", with.attemptsPerRequest()),
	}}, nil
}

// measureHedging compares the tail latency with and without hedging while one target is slow.
func measureHedging(context.Context) (measure.Result, error) {
	plain, hedged := newPool(), newPool()
	plain.slow[0], hedged.slow[0] = true, true
	without := plain.runRequests(retry.DefaultMaxAttempts, false)
	with := hedged.runRequests(retry.DefaultMaxAttempts, true)
	p99 := func(l []time.Duration) float64 {
		return float64(l[len(l)*99/percent].Microseconds()) / 1000
	}
	return measure.Result{Figures: []measure.Figure{
		{Name: "p99 latency, 1 of 15 targets 20 times slower, no hedging", Value: p99(without), Unit: "ms"},
		{Name: "p99 latency, 1 of 15 targets 20 times slower, hedging", Value: p99(with), Unit: "ms"},
		attemptsFigure("attempts per request, 1 of 15 targets 20 times slower, hedging", hedged.attemptsPerRequest()),
	}}, nil
}
