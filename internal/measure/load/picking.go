package load

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/request/pick"
)

const (
	pickNetworkDelay = time.Millisecond
	reportPeriod     = time.Second
	minReportLag     = time.Second
	maxReportLag     = 5 * time.Second
	minEventLag      = 500 * time.Millisecond
	maxEventLag      = 3 * time.Second
	// eventLossRate is the share of cache events that are lost.
	eventLossRate   = 0.2
	pickBlockTokens = 128
	pickSlots       = 48
	domainCount     = 3
)

// pickEngine is a warm engine that queues the requests for which it has no free slot.
var pickEngine = engineConfig{
	slots: pickSlots, prefillRate: 8000, tokenTime: 10 * time.Millisecond,
	cacheBlocks: 600, blockTokens: pickBlockTokens,
}

// pickWorkload is one kind of load on a pool.
type pickWorkload struct {
	name     string
	workload workload
	// rate is the number of requests a second for each target.
	rate float64
}

var pickWorkloads = []pickWorkload{
	{"even", workload{promptTokens: 700, outputTokens: 80, sigma: 0.2}, 8},
	{"heavy-tailed", workload{promptTokens: 350, outputTokens: 60, sigma: 1.2}, 8},
	{"shared prefixes", workload{prefixes: 400, zipfExponent: 1, prefixBlocks: 8, blockTokens: pickBlockTokens, promptTokens: 150, outputTokens: 80, sigma: 0.2}, 7},
	{"mixed", workload{prefixes: 400, zipfExponent: 1, prefixBlocks: 8, blockTokens: pickBlockTokens, promptTokens: 120, outputTokens: 60, sigma: 1.2}, 7},
}

// pickSize is one size of a pool and of the fleet of entries.
type pickSize struct {
	targets, entries, subset int
	warmUp, measured         time.Duration
}

var pickSizes = []pickSize{
	{targets: 15, entries: 4, warmUp: 30 * time.Second, measured: 150 * time.Second},
	{targets: 1000, entries: 8, warmUp: 5 * time.Second, measured: 4 * time.Second},
}

// pickPolicies are the policies that are compared. The first one is the product's
// default, whose p99 must be at least as good as that of the best other policy.
var pickPolicies = []string{pick.PolicyScore, pick.PolicyTwoChoices, pick.PolicyLeastInFlight, pick.PolicyRoundRobin}

// pickRun is one combination of size, workload and policy.
type pickRun struct {
	size   pickSize
	load   pickWorkload
	policy string
}

// pickOutcome holds the results of one run.
type pickOutcome struct {
	// p50 and p99 are percentiles of the time to the first token, in milliseconds.
	p50, p99 float64
	// cacheHits is the share of prompt tokens that were found in prefix caches.
	cacheHits float64
	// imbalance is the greatest number of requests at one target divided by the mean.
	imbalance float64
}

// pickSim is the state of one run.
type pickSim struct {
	run     pickRun
	loop    *eventLoop
	engines []*engine
	sets    []*pick.Set
	// source draws the requests, and noise all other random values.
	source *generator
	noise  *generator

	// latencies are the times to the first token of the measured requests, in
	// milliseconds.
	latencies []float64
	// tokens counts the prompt tokens of the measured requests, and cached those that
	// were found in prefix caches.
	tokens, cached float64
	// counts holds the number of measured requests of each target.
	counts []float64
}

// run runs the simulation and returns its results.
func (r pickRun) run() pickOutcome {
	s := &pickSim{
		run:    r,
		loop:   newEventLoop(),
		source: newGenerator(r.load.workload, 7),
		noise:  newGenerator(workload{}, 8),
		counts: make([]float64, r.size.targets),
	}
	s.build()
	s.loop.after(0, s.arrive)
	s.loop.every(reportPeriod, s.report)
	s.loop.runUntil(r.size.warmUp + r.size.measured)
	return s.outcome()
}

// build creates the engines, and one set of candidates for each entry.
func (s *pickSim) build() {
	targets := make([]pick.Target, s.run.size.targets)
	for i := range targets {
		targets[i] = pick.Target{Name: targetName(i), FailureDomain: fmt.Sprint("d", i%domainCount)}
		e := newEngine(s.loop, pickEngine)
		e.onCache = func(hash uint64, stored bool) { s.cacheEvent(targets[i].Name, hash, stored) }
		s.engines = append(s.engines, e)
	}
	for i := range s.run.size.entries {
		subset := pick.SubsetConfig{Owner: fmt.Sprint("entry-", i), Size: s.run.size.subset}
		s.sets = append(s.sets, pick.NewSet(s.run.policy, targets, nil, subset))
	}
}

// targetName returns the name of the i-th target. targetIndex is its inverse.
func targetName(i int) string { return fmt.Sprintf("%05d", i) }

// targetIndex returns the index of the target with the given name.
func targetIndex(name string) int {
	index := 0
	for _, digit := range name {
		index = index*10 + int(digit-'0')
	}
	return index
}

// arrive sends one request and schedules the next arrival.
func (s *pickSim) arrive() {
	s.loop.after(s.source.drawInterarrivalTime(s.run.load.rate*float64(s.run.size.targets)), s.arrive)
	r := s.source.next()
	set := s.sets[s.noise.random.IntN(len(s.sets))]
	q := &pick.Query{
		PrefixHashes: r.prefix,
		Cost:         float64(r.promptTokens),
		BlockCost:    pickBlockTokens,
		Random:       s.noise.random.Uint64(),
		Now:          s.loop.now,
	}
	state, _ := set.Pick(q)
	work := state.Begin(q)
	start := s.loop.now
	target := targetIndex(state.Name())
	measured := start >= s.run.size.warmUp
	if measured {
		s.counts[target]++
	}
	r.firstToken = func(cached int) {
		s.loop.after(pickNetworkDelay, func() { state.FirstToken(&work, s.loop.now) })
		if measured {
			s.latencies = append(s.latencies, milliseconds(s.loop.now+pickNetworkDelay-start))
			s.tokens += float64(r.promptTokens)
			s.cached += float64(cached)
		}
	}
	r.done = func(ok bool) { s.loop.after(pickNetworkDelay, func() { state.End(&work, s.loop.now, ok) }) }
	s.loop.after(pickNetworkDelay, func() { s.engines[target].receive(r) })
}

// report sends the load of each engine to the entries that have it as a candidate,
// with a random lag.
func (s *pickSim) report() {
	for _, set := range s.sets {
		for _, state := range set.States() {
			e := s.engines[targetIndex(state.Name())]
			load := pick.Load{
				InFlight:    len(e.running),
				Queued:      len(e.waiting),
				WaitingCost: e.prefillBacklog(),
				Limit:       pickSlots,
				At:          s.loop.now,
			}
			s.loop.after(s.drawLag(minReportLag, maxReportLag), func() { state.UpdateLoad(load) })
		}
	}
}

// cacheEvent sends a cache event of an engine to the entries with a random lag. The
// share eventLossRate of the events is lost.
func (s *pickSim) cacheEvent(target string, hash uint64, stored bool) {
	if s.noise.random.Float64() < eventLossRate {
		return
	}
	s.loop.after(s.drawLag(minEventLag, maxEventLag), func() {
		for _, set := range s.sets {
			state := set.Find(target)
			switch {
			case state == nil:
			case stored:
				state.CacheStored(hash)
			default:
				state.CacheRemoved(hash)
			}
		}
	})
}

// drawLag returns a random delay of at least minimum and less than maximum.
func (s *pickSim) drawLag(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.noise.random.Int64N(int64(maximum-minimum)))
}

// outcome computes the results of the run.
func (s *pickSim) outcome() pickOutcome {
	sum := 0.0
	for _, n := range s.counts {
		sum += n
	}
	return pickOutcome{
		p50:       percentile(s.latencies, 0.5),
		p99:       percentile(s.latencies, 0.99),
		cacheHits: s.cached / s.tokens,
		imbalance: slices.Max(s.counts) * float64(len(s.counts)) / sum,
	}
}

// studyPicking compares the policies on all sizes and workloads.
func studyPicking(ctx context.Context) (measure.Result, error) {
	var runs []pickRun
	for _, size := range pickSizes {
		for _, load := range pickWorkloads {
			for _, policy := range pickPolicies {
				runs = append(runs, pickRun{size, load, policy})
			}
		}
	}
	outcomes := make([]pickOutcome, len(runs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(studyWorkers)
	for i, run := range runs {
		group.Go(func() error {
			if ctx.Err() == nil {
				outcomes[i] = run.run()
			}
			return ctx.Err()
		})
	}
	if err := group.Wait(); err != nil {
		return measure.Result{}, err
	}
	var result measure.Result
	for i := 0; i < len(runs); i += len(pickPolicies) {
		result.Figures = append(result.Figures, pickFigures(runs[i:i+len(pickPolicies)], outcomes[i:])...)
	}
	return result, nil
}

// pickFigures returns the figures of all policies on one size and workload.
func pickFigures(runs []pickRun, outcomes []pickOutcome) []measure.Figure {
	name := fmt.Sprintf("%d targets, %s, ", runs[0].size.targets, runs[0].load.name)
	var figures []measure.Figure
	best := 0.0
	for i, run := range runs {
		o := outcomes[i]
		label := name + run.policy + ": "
		figures = append(figures,
			measure.Figure{Name: label + "first token p50", Value: o.p50, Unit: "ms"},
			measure.Figure{Name: label + "first token p99", Value: o.p99, Unit: "ms"},
			measure.Figure{Name: label + "cache hits", Value: o.cacheHits, Unit: "share"},
			measure.Figure{Name: label + "max/mean load", Value: o.imbalance, Unit: "ratio"})
		if i > 0 && (best == 0 || o.p99 < best) {
			best = o.p99
		}
	}
	bound := 1.0
	if runs[0].load.name == "mixed" {
		bound = 1.3
	}
	gain := measure.Figure{Name: name + "p99 of the best baseline over that of the score", Value: best / outcomes[0].p99, Unit: "ratio", Limit: measure.AtLeast, Bound: bound}
	return append(figures, gain)
}
