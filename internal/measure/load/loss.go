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
	lossEntries = 4
	lossDomains = 3
	lossGrowth  = 0.25
	// lossCapacity is the requests a second that one warm target carries.
	lossCapacity = 24.0
	// lossQueued bounds an entry's queue for one pool.
	lossQueued = 150
	// lostDomain is the failure domain that goes away.
	lostDomain = 1
	// The times of a run.
	lossFrom   = 180 * time.Second
	lossAt     = 260 * time.Second
	returnAt   = 320 * time.Second
	lossEnd    = 460 * time.Second
	lossSettle = 5 * time.Second
	// lossDrain is the time for the last requests to end.
	lossDrain = 40 * time.Second
	// callerTimeout is the time after which a caller leaves an entry that fell
	// silent.
	callerTimeout = time.Second
	// orderShare is the share of requests that must not run twice.
	orderShare = 0.05
)

// lossPools are the targets of the two pools.
var lossPools = []int{12, 3}

// lossWeights are the organisations' shares of the load; three are large.
var lossWeights = []float64{4, 4, 4, 1, 1, 1, 1, 1, 1, 1}

// classShares are the parts of the load by class, from the lowest up.
var classShares = []float64{0.3, 0.5, 0.2}

// lossUser is one of the users: one way between failure domains and to callers.
type lossUser struct {
	name            string
	between, client time.Duration
}

var lossUsers = []lossUser{
	{"himal", 1500 * time.Microsecond, 3 * time.Millisecond},
	{"kowalczyk", time.Millisecond, time.Millisecond},
}

// lossSim is a user's whole installation, of which a failure domain goes away
// without warning and comes back cold.
type lossSim struct {
	loop    *loop
	user    lossUser
	load    float64
	targets []*lossTarget
	entries []*lossEntry
	source  *generator
	noise   *generator
	// answers are the entries that each organisation was told last.
	answers  [][]int
	requests []*lossRequest
	// untyped counts sheddings without a typed failure.
	untyped int
}

// runLoss runs a user's installation at a part of its capacity.
func runLoss(user lossUser, load float64, seed uint64) *lossSim {
	s := &lossSim{
		loop:   newLoop(),
		user:   user,
		load:   load,
		source: newGenerator(coldWorkload, seed),
		noise:  newGenerator(workload{}, seed+1),
	}
	s.build()
	s.loop.after(0, s.refreshAnswers)
	s.loop.every(steer.LeavingTTL, s.refreshAnswers)
	s.loop.every(creditsEvery, s.heartbeats)
	s.loop.every(reportEvery, s.reports)
	for pool := range lossPools {
		s.loop.after(time.Second, func() { s.arrive(pool) })
	}
	s.loop.after(lossAt, s.lose)
	s.loop.after(returnAt, s.bringBack)
	s.loop.runUntil(lossEnd + lossDrain)
	return s
}

// build makes targets and entries.
func (s *lossSim) build() {
	for pool, n := range lossPools {
		for range n {
			index := len(s.targets)
			s.targets = append(s.targets, newLossTarget(s, index, pool, index%lossDomains))
		}
	}
	for i := range lossEntries {
		e := &lossEntry{sim: s, index: i, domain: i % lossDomains}
		e.start()
		s.entries = append(s.entries, e)
	}
}

// target returns the target with the name.
func (s *lossSim) target(name string) *lossTarget { return s.targets[targetIndex(name)] }

// delay is the one-way time between failure domains.
func (s *lossSim) delay(from, to int) time.Duration {
	if from == to {
		return s.user.between / 10
	}
	return s.user.between
}

func organisationName(i int) string { return fmt.Sprint("organisation-", i) }

// refreshAnswers lets the callers ask which entries to use.
func (s *lossSim) refreshAnswers() {
	var fleet []steer.Entry
	for _, e := range s.entries {
		fleet = append(fleet, steer.Entry{Name: fmt.Sprint(e.index), FailureDomain: fmt.Sprint(e.domain), Leaving: !e.up})
	}
	s.answers = nil
	for i, weight := range lossWeights {
		var answer []int
		for _, entry := range steer.Choose(steer.Organisation{Name: organisationName(i), Weight: weight}, fleet, steer.Config{}).Entries {
			answer = append(answer, int(entry.Name[0]-'0'))
		}
		s.answers = append(s.answers, answer)
	}
}

// arrive makes one request of a pool and schedules the next.
func (s *lossSim) arrive(pool int) {
	if s.loop.now > lossEnd {
		return
	}
	rate := s.load * lossCapacity * float64(lossPools[pool])
	s.loop.after(s.source.gap(rate), func() { s.arrive(pool) })
	c := s.source.next()
	r := &lossRequest{
		number:       len(s.requests),
		organisation: draw(s.noise, lossWeights),
		class:        draw(s.noise, classShares),
		pool:         pool,
		promptTokens: c.promptTokens,
		outTokens:    c.outTokens,
		order:        s.noise.random.Float64() < orderShare,
		arrived:      s.loop.now,
	}
	answer := s.answers[r.organisation]
	offset := s.noise.random.IntN(len(answer))
	r.entries = append(slices.Clone(answer[offset:]), answer[:offset]...)
	s.requests = append(s.requests, r)
	s.send(r)
}

// draw picks an index with a chance in proportion to its weight.
func draw(g *generator, weights []float64) int {
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

// send lets a caller send a request to its entry; it leaves an entry that fell
// silent.
func (s *lossSim) send(r *lossRequest) {
	e := s.entries[r.entries[r.moved%len(r.entries)]]
	s.loop.after(s.user.client, func() { e.receive(r) })
	if !e.up {
		s.loop.after(callerTimeout, func() { s.resend(r) })
	}
}

// resend turns to another entry. An order that an engine has run is not run
// again: its record tells, or its outcome is unknown.
func (s *lossSim) resend(r *lossRequest) {
	if r.outcome != lossPending {
		return
	}
	if r.order && r.runs > 0 {
		r.outcome = lossUnknown
		s.ended(r)
		return
	}
	r.moved++
	r.attempt = nil
	s.send(r)
}

// lose takes a failure domain away without warning.
func (s *lossSim) lose() {
	for _, t := range s.targets {
		if t.domain == lostDomain {
			t.engine.fail(-1)
			for _, e := range s.entries {
				s.loop.after(linkTimeout, func() { e.lost(t) })
			}
		}
	}
	for _, e := range s.entries {
		if e.domain == lostDomain {
			s.loseEntry(e)
		}
	}
}

// loseEntry stops an entry; its callers notice.
func (s *lossSim) loseEntry(e *lossEntry) {
	e.stop()
	for _, r := range s.requests {
		if r.outcome == lossPending && r.entries[r.moved%len(r.entries)] == e.index {
			s.loop.after(callerTimeout, func() { s.resend(r) })
		}
	}
}

// bringBack starts what went away, cold.
func (s *lossSim) bringBack() {
	for _, t := range s.targets {
		t.engine.start()
	}
	for _, e := range s.entries {
		if !e.up {
			e.start()
		}
	}
}

// heartbeats carry credits from the targets to the entries.
func (s *lossSim) heartbeats() {
	for _, t := range s.targets {
		if !t.engine.up {
			continue
		}
		credits := t.gate.Credits(lossEntries)
		for _, e := range s.entries {
			s.loop.after(s.delay(t.domain, e.domain), func() {
				if t.engine.up {
					e.credits(t, credits)
				}
			})
		}
	}
}

// reports carry the targets' load to the entries, late.
func (s *lossSim) reports() {
	for _, t := range s.targets {
		load := pick.Load{InFlight: len(t.engine.running), Waiting: t.engine.prefillBacklog(), Limit: t.gate.State().Limit, At: s.loop.now}
		for _, e := range s.entries {
			lag := reportLeast + time.Duration(s.noise.random.Int64N(int64(reportMost-reportLeast)))
			s.loop.after(lag, func() {
				if e.up {
					e.pools[t.pool].set.Find(t.name).UpdateLoad(load)
				}
			})
		}
	}
}

// shed ends a request with the failure that the queue gave.
func (s *lossSim) shed(r *lossRequest, err error) {
	if !isOverloaded(err) {
		s.untyped++
	}
	r.outcome = lossShed
	s.ended(r)
}

// ended notes that a request's caller has its outcome.
func (s *lossSim) ended(r *lossRequest) { r.ended = s.loop.now + s.user.client }

// lossSeeds are the runs of which the worst figures are shown.
var lossSeeds = []uint64{41, 141, 241}

// studyLoss runs both users' installations with each seed.
func studyLoss(ctx context.Context) (measure.Result, error) {
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
				s := runLoss(c.user, c.load, seed)
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
		result.Figures = append(result.Figures, worst(runs)...)
	}
	return result, nil
}
