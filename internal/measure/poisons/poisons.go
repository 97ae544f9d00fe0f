package poisons

import (
	"cmp"
	"context"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/internal/measure"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/poison"
)

const (
	plays        = 100
	playTime     = 40 * time.Second
	incidentTime = 3 * time.Second
	// hotRequests are innocent requests that are always under way, hotCopies of
	// each; every lonelyInterval comes one that nobody else sends.
	hotRequests    = 6
	hotCopies      = 4
	lonelyInterval = 40 * time.Millisecond
	firstLonely    = 1000
	poisonous      = 666
	resendDelay    = 10 * time.Millisecond
	lostTargets    = 4
	lossSpread     = 500 * time.Millisecond
	watchInterval  = 50 * time.Millisecond

	maximumCrashes = 2
	maximumSpread  = 3
)

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "poison-request", Deterministic: true, Run: poisonStudy},
		{Name: "poison-power-cut", Deterministic: true, Run: powerCutStudy},
		{Name: "poison-in-a-power-cut", Deterministic: true, Run: bothStudy},
		{Name: "poison-late-reports", Deterministic: true, Run: lateStudy},
	}
}

// tally is what a play showed.
type tally struct {
	// crashes counts the targets that the poisonous request took down.
	crashes int
	// last is when it took the last, refusedAt when the last entry began to
	// refuse it.
	last, refusedAt time.Duration
	// condemned counts innocent requests met by a refusal; answered and failed
	// count their ends.
	condemned, answered, failed int
}

func sortRequests(list []*request) {
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.number, b.number) })
}

// play runs one play: innocent requests, and if wanted a poisonous request that
// its caller sends over and over, and a loss of several targets at once.
func play(seed uint64, d delays, withPoison, withLoss bool) *tally {
	m := newModel(seed, d)
	t := &tally{}
	m.observe = func(fingerprint uint64, verdict poison.Assessment) {
		if fingerprint != poisonous && verdict.Level == poison.Refused {
			t.condemned++
		}
	}
	m.crashed = func(at time.Duration) {
		t.crashes++
		t.last = at
	}
	m.background(t)
	if withPoison {
		m.poisonous[poisonous] = true
		m.after(incidentTime, func() { m.resend() })
	}
	if withLoss {
		m.after(incidentTime, func() { m.lose() })
	}
	m.watch(t)
	m.play(playTime)
	return t
}

// background keeps innocent requests coming.
func (m *model) background(t *tally) {
	for fingerprint := range uint64(hotRequests) {
		for range hotCopies {
			m.hot(t, fingerprint)
		}
	}
	m.lonely(t, firstLonely)
}

func (t *tally) count(err *failure.Error) {
	if err == nil {
		t.answered++
		return
	}
	t.failed++
}

func (m *model) hot(t *tally, fingerprint uint64) {
	m.send(fingerprint, func(err *failure.Error) {
		t.count(err)
		m.after(resendDelay, func() { m.hot(t, fingerprint) })
	})
}

func (m *model) lonely(t *tally, fingerprint uint64) {
	m.send(fingerprint, t.count)
	m.after(lonelyInterval, func() { m.lonely(t, fingerprint+1) })
}

// resend is the caller of the poisonous request: it heeds no advice.
func (m *model) resend() {
	m.send(poisonous, func(*failure.Error) { m.after(resendDelay, m.resend) })
}

// lose ends several targets at nearly the same time.
func (m *model) lose() {
	for _, at := range m.random.Perm(targetCount)[:lostTargets] {
		m.after(time.Duration(m.random.Int64N(int64(lossSpread))), func() { m.end(m.agents[at]) })
	}
}

// watch looks at what the entries refuse: innocents never, the poisonous
// request from some time on everywhere.
func (m *model) watch(t *tally) {
	refusing := 0
	for _, e := range m.entries {
		for _, fingerprint := range e.ledger.Refused(m.clock()) {
			if fingerprint == poisonous {
				refusing++
				continue
			}
			t.condemned++
		}
	}
	if refusing < entryCount {
		t.refusedAt = m.now + watchInterval
	}
	m.after(watchInterval, func() { m.watch(t) })
}

// poisonStudy plays a poisonous request among innocent ones.
func poisonStudy(ctx context.Context) (measure.Result, error) {
	return study(ctx, usualDelays, true, false, "one poisonous request")
}

// powerCutStudy plays the loss of 4 of 12 targets at once.
func powerCutStudy(ctx context.Context) (measure.Result, error) {
	return study(ctx, usualDelays, false, true, "4 of 12 targets lost at once")
}

// bothStudy plays both at the same moment.
func bothStudy(ctx context.Context) (measure.Result, error) {
	result, err := study(ctx, usualDelays, true, true, "both at once")
	return withoutBounds(result), err
}

// lateStudy plays a poisonous request with crash reports that come late.
func lateStudy(ctx context.Context) (measure.Result, error) {
	late := usualDelays
	late.push = time.Second
	result, err := study(ctx, late, true, false, "reports up to 1 s late")
	return withoutBounds(result), err
}

// withoutBounds keeps the bound on innocent requests only: the others are
// stated for a poisonous request on its own and reports that come in time.
func withoutBounds(result measure.Result) measure.Result {
	for i := range result.Figures {
		if i > 0 {
			result.Figures[i].Limit = measure.Report
		}
	}
	return result
}

func study(ctx context.Context, d delays, withPoison, withLoss bool, what string) (measure.Result, error) {
	var crashes, condemned, failed int
	var spread time.Duration
	for seed := range uint64(plays) {
		if err := ctx.Err(); err != nil {
			return measure.Result{}, err
		}
		t := play(seed, d, withPoison, withLoss)
		crashes, spread = max(crashes, t.crashes), max(spread, t.refusedAt-t.last)
		condemned += t.condemned
		failed += t.failed
	}
	figures := []measure.Figure{
		{Name: "innocent requests refused, " + what, Value: float64(condemned), Unit: "requests",
			Limit: measure.AtMost, Bound: 0},
		{Name: "innocent requests failed, " + what, Value: float64(failed), Unit: "requests"},
	}
	if withPoison {
		figures = append(figures,
			measure.Figure{Name: "targets taken down by the request, " + what, Value: float64(crashes),
				Unit: "targets", Limit: measure.AtMost, Bound: maximumCrashes},
			measure.Figure{Name: "from its last crash until every entry refuses it, " + what,
				Value: spread.Seconds(), Unit: "s", Limit: measure.AtMost, Bound: maximumSpread})
	}
	return measure.Result{Figures: figures}, nil
}
