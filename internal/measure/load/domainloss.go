package load

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/request/pick"
	"verbenaseam.example/verbenaseam/request/steer"
)

const (
	lossEntries            = 4
	lossDomainCount        = 3
	lossSlotsPerCompletion = 0.25
	// lossTargetRate is the number of requests a second that one warm target can
	// serve.
	lossTargetRate = 24.0
	// lossMaxQueued is the limit of an entry's queue for one pool.
	lossMaxQueued = 150
	// lostDomain is the index of the failure domain that is lost.
	lostDomain = 1
	// Figures cover the requests that arrive from lossMeasureFrom to lossEnd. The
	// failure domain is lost at lossAt and returns at lossReturnAt. lossPhase is the
	// length of the phases after each event that are reported separately.
	lossMeasureFrom = 180 * time.Second
	lossAt          = 260 * time.Second
	lossReturnAt    = 320 * time.Second
	lossEnd         = 460 * time.Second
	lossPhase       = 5 * time.Second
	// lossDrain is the time after lossEnd in which the last requests can finish.
	lossDrain = 40 * time.Second
	// callerTimeout is the time after which a caller gives up on an entry that
	// stopped answering.
	callerTimeout = time.Second
	// orderShare is the share of requests that are orders, which must not run twice.
	orderShare = 0.05
)

// lossPoolSizes are the numbers of targets of the two pools.
var lossPoolSizes = []int{12, 3}

// organisationWeights are the organisations' relative shares of the load. Three of
// them are large.
var organisationWeights = []float64{4, 4, 4, 1, 1, 1, 1, 1, 1, 1}

// classShares are the shares of the load by class, from the lowest class up.
var classShares = []float64{0.3, 0.5, 0.2}

// lossUser describes the installation of one user of the product. domainDelay is the
// one-way network delay between failure domains, and callerDelay that between callers
// and entries.
type lossUser struct {
	name                     string
	domainDelay, callerDelay time.Duration
}

var lossUsers = []lossUser{
	{"himal", 1500 * time.Microsecond, 3 * time.Millisecond},
	{"kowalczyk", time.Millisecond, time.Millisecond},
}

// lossSim simulates the whole installation of a user. One failure domain is lost
// without warning and later returns cold.
type lossSim struct {
	loop    *eventLoop
	user    lossUser
	load    float64
	targets []*lossTarget
	entries []*lossEntry
	// source draws the requests, and noise all other random values.
	source *generator
	noise  *generator
	// choices holds, for each organisation, the entries that its callers currently
	// use.
	choices  [][]int
	requests []*lossRequest
	// untypedShed counts requests that were shed without a typed failure.
	untypedShed int
}

// runDomainLoss simulates a user's installation. load is the request rate as a fraction
// of the installation's capacity.
func runDomainLoss(user lossUser, load float64, seed uint64) *lossSim {
	s := &lossSim{
		loop:   newEventLoop(),
		user:   user,
		load:   load,
		source: newGenerator(coldWorkload, seed),
		noise:  newGenerator(workload{}, seed+1),
	}
	s.build()
	s.loop.after(0, s.refreshChoices)
	s.loop.every(steer.LeavingTTL, s.refreshChoices)
	s.loop.every(creditPeriod, s.sendCredits)
	s.loop.every(reportPeriod, s.sendLoadReports)
	for pool := range lossPoolSizes {
		s.loop.after(time.Second, func() { s.arrive(pool) })
	}
	s.loop.after(lossAt, s.loseDomain)
	s.loop.after(lossReturnAt, s.restoreDomain)
	s.loop.runUntil(lossEnd + lossDrain)
	return s
}

// build creates the targets and the entries.
func (s *lossSim) build() {
	for pool, n := range lossPoolSizes {
		for range n {
			index := len(s.targets)
			s.targets = append(s.targets, newLossTarget(s, index, pool, index%lossDomainCount))
		}
	}
	for i := range lossEntries {
		e := &lossEntry{sim: s, index: i, domain: i % lossDomainCount}
		e.start()
		s.entries = append(s.entries, e)
	}
}

// target returns the target with the given name.
func (s *lossSim) target(name string) *lossTarget { return s.targets[targetIndex(name)] }

// delay returns the one-way network delay between two failure domains, or within one.
func (s *lossSim) delay(from, to int) time.Duration {
	if from == to {
		return s.user.domainDelay / 10
	}
	return s.user.domainDelay
}

func organisationName(i int) string { return fmt.Sprint("organisation-", i) }

// refreshChoices updates the entries that the callers of each organisation use, as
// their lookups return them.
func (s *lossSim) refreshChoices() {
	var fleet []steer.Entry
	for _, e := range s.entries {
		fleet = append(fleet, steer.Entry{Name: fmt.Sprint(e.index), FailureDomain: fmt.Sprint(e.domain), Leaving: !e.up})
	}
	s.choices = nil
	for i, weight := range organisationWeights {
		var chosen []int
		for _, entry := range steer.SelectEntries(steer.Organisation{Name: organisationName(i), Weight: weight}, fleet, steer.Config{}).Entries {
			chosen = append(chosen, int(entry.Name[0]-'0'))
		}
		s.choices = append(s.choices, chosen)
	}
}

// arrive sends one request to a pool and schedules the next arrival.
func (s *lossSim) arrive(pool int) {
	if s.loop.now > lossEnd {
		return
	}
	rate := s.load * lossTargetRate * float64(lossPoolSizes[pool])
	s.loop.after(s.source.drawInterarrivalTime(rate), func() { s.arrive(pool) })
	drawn := s.source.next()
	r := &lossRequest{
		number:       len(s.requests),
		organisation: drawWeighted(s.noise, organisationWeights),
		class:        drawWeighted(s.noise, classShares),
		pool:         pool,
		promptTokens: drawn.promptTokens,
		outputTokens: drawn.outputTokens,
		order:        s.noise.random.Float64() < orderShare,
		arrived:      s.loop.now,
	}
	chosen := s.choices[r.organisation]
	offset := s.noise.random.IntN(len(chosen))
	r.entries = append(slices.Clone(chosen[offset:]), chosen[:offset]...)
	s.requests = append(s.requests, r)
	s.send(r)
}

// drawWeighted returns a random index, with a probability in proportion to its
// weight.
func drawWeighted(g *generator, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := g.random.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// send sends a request to the entry that its caller currently uses. If the entry is
// down, the caller fails over after callerTimeout.
func (s *lossSim) send(r *lossRequest) {
	e := s.entries[r.entries[r.failovers%len(r.entries)]]
	s.loop.after(s.user.callerDelay, func() { e.receive(r) })
	if !e.up {
		s.loop.after(callerTimeout, func() { s.failOver(r) })
	}
}

// failOver sends a request to the next entry. An order that an engine has already run
// is not run again: the next entry answers with the recorded result of the order, or
// with an unknown outcome. Both count as unknown here.
func (s *lossSim) failOver(r *lossRequest) {
	if r.outcome != lossPending {
		return
	}
	if r.order && r.runs > 0 {
		r.outcome = lossUnknown
		s.recordEnd(r)
		return
	}
	r.failovers++
	r.attempt = nil
	s.send(r)
}

// loseDomain stops all targets and entries of the lost failure domain without
// warning.
func (s *lossSim) loseDomain() {
	for _, t := range s.targets {
		if t.domain == lostDomain {
			t.engine.fail(-1)
			for _, e := range s.entries {
				s.loop.after(linkTimeout, func() { e.handleLinkLoss(t) })
			}
		}
	}
	for _, e := range s.entries {
		if e.domain == lostDomain {
			s.stopEntry(e)
		}
	}
}

// stopEntry stops an entry. Callers with a request pending at it fail over after
// callerTimeout.
func (s *lossSim) stopEntry(e *lossEntry) {
	e.stop()
	for _, r := range s.requests {
		if r.outcome == lossPending && r.entries[r.failovers%len(r.entries)] == e.index {
			s.loop.after(callerTimeout, func() { s.failOver(r) })
		}
	}
}

// restoreDomain starts the stopped targets, which are cold, and the stopped entries.
func (s *lossSim) restoreDomain() {
	for _, t := range s.targets {
		t.engine.start()
	}
	for _, e := range s.entries {
		if !e.up {
			e.start()
		}
	}
}

// sendCredits sends the heartbeats that carry credits from the targets to the
// entries.
func (s *lossSim) sendCredits() {
	for _, t := range s.targets {
		if !t.engine.up {
			continue
		}
		credits := t.gate.Credits(lossEntries)
		for _, e := range s.entries {
			s.loop.after(s.delay(t.domain, e.domain), func() {
				if t.engine.up {
					e.updateCredits(t, credits)
				}
			})
		}
	}
}

// sendLoadReports sends the targets' load to the entries, each report with a random
// lag.
func (s *lossSim) sendLoadReports() {
	for _, t := range s.targets {
		load := pick.Load{InFlight: len(t.engine.running), WaitingCost: t.engine.prefillBacklog(), Limit: t.gate.State().Limit, At: s.loop.now}
		for _, e := range s.entries {
			lag := minReportLag + time.Duration(s.noise.random.Int64N(int64(maxReportLag-minReportLag)))
			s.loop.after(lag, func() {
				if e.up {
					e.pools[t.pool].set.Find(t.name).UpdateLoad(load)
				}
			})
		}
	}
}

// shed ends a request with the error that the queue returned.
func (s *lossSim) shed(r *lossRequest, err error) {
	if !isOverloaded(err) {
		s.untypedShed++
	}
	r.outcome = lossShed
	s.recordEnd(r)
}

// recordEnd records when the caller of a request gets its outcome.
func (s *lossSim) recordEnd(r *lossRequest) { r.ended = s.loop.now + s.user.callerDelay }

// lossSeeds are the seeds of the runs. Of each figure, the worst value is reported.
var lossSeeds = []uint64{41, 141, 241}

// studyDomainLoss simulates the installations of both users, at two levels of load,
// with each seed.
func studyDomainLoss(ctx context.Context) (measure.Result, error) {
	var cases []lossCase
	for _, user := range lossUsers {
		cases = append(cases, lossCase{user, 0.6}, lossCase{user, 0.8})
	}
	figures := make([][][]measure.Figure, len(cases))
	plots := make([]measure.Plot, len(cases))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(studyWorkers)
	for i, c := range cases {
		figures[i] = make([][]measure.Figure, len(lossSeeds))
		for j, seed := range lossSeeds {
			group.Go(func() error {
				s := runDomainLoss(c.user, c.load, seed)
				figures[i][j] = c.figures(s)
				if j == 0 {
					plots[i] = c.plot(s)
				}
				return ctx.Err()
			})
		}
	}
	if err := group.Wait(); err != nil {
		return measure.Result{}, err
	}
	result := measure.Result{Plots: plots}
	for _, runs := range figures {
		result.Figures = append(result.Figures, worstFigures(runs)...)
	}
	return result, nil
}
