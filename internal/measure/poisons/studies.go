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
	runCount      = 100
	simulatedTime = 40 * time.Second
	incidentTime  = 3 * time.Second
	// repeatedRequests is the number of innocent requests that are sent continuously,
	// with repeatedCopies of each in flight. Every uniqueInterval an innocent request
	// with a new fingerprint is sent; these fingerprints start at firstUnique.
	repeatedRequests  = 6
	repeatedCopies    = 4
	uniqueInterval    = 40 * time.Millisecond
	firstUnique       = 1000
	poisonFingerprint = 666
	resendDelay       = 10 * time.Millisecond
	lostTargetCount   = 4
	lossWindow        = 500 * time.Millisecond
	checkInterval     = 50 * time.Millisecond

	maxCrashes        = 2
	maxRefusalSeconds = 3
)

// Studies returns the studies of this package.
func Studies() []measure.Study {
	return []measure.Study{
		{Name: "poison-request", Deterministic: true, Run: measurePoison},
		{Name: "poison-power-cut", Deterministic: true, Run: measureTargetLoss},
		{Name: "poison-in-a-power-cut", Deterministic: true, Run: measurePoisonAndLoss},
		{Name: "poison-late-reports", Deterministic: true, Run: measureLateReports},
	}
}

// simulationResult holds the observations of one run.
type simulationResult struct {
	// crashes counts the targets that the poisonous request crashed.
	crashes int
	// lastCrash is the time of the last of these crashes, refusedAt the time from which
	// all entries refuse the poisonous request.
	lastCrash, refusedAt time.Duration
	// refusedInnocent counts the assessments and periodic checks that found an innocent
	// request refused;
	// answered and failed count the outcomes of innocent requests.
	refusedInnocent, answered, failed int
}

func sortRequests(list []*request) {
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
}

// simulate runs one simulation of innocent requests, optionally with a poisonous request
// that its caller sends repeatedly, and with the simultaneous loss of several targets.
func simulate(seed uint64, d delays, withPoison, withLoss bool) *simulationResult {
	s := newSimulation(seed, d)
	result := &simulationResult{}
	s.onAssessment = func(fingerprint uint64, assessment poison.Assessment) {
		if fingerprint != poisonFingerprint && assessment.Level == poison.Refused {
			result.refusedInnocent++
		}
	}
	s.onCrash = func(at time.Duration) {
		result.crashes++
		result.lastCrash = at
	}
	s.startInnocent(result)
	if withPoison {
		s.poisonous[poisonFingerprint] = true
		s.schedule(incidentTime, func() { s.resendPoison() })
	}
	if withLoss {
		s.schedule(incidentTime, func() { s.loseTargets() })
	}
	s.checkRefusals(result)
	s.runUntil(simulatedTime)
	return result
}

// startInnocent starts the senders of innocent requests.
func (s *simulation) startInnocent(result *simulationResult) {
	for fingerprint := range uint64(repeatedRequests) {
		for range repeatedCopies {
			s.sendRepeated(result, fingerprint)
		}
	}
	s.sendUnique(result, firstUnique)
}

func (r *simulationResult) count(err *failure.Error) {
	if err == nil {
		r.answered++
		return
	}
	r.failed++
}

func (s *simulation) sendRepeated(result *simulationResult, fingerprint uint64) {
	s.send(fingerprint, func(err *failure.Error) {
		result.count(err)
		s.schedule(resendDelay, func() { s.sendRepeated(result, fingerprint) })
	})
}

func (s *simulation) sendUnique(result *simulationResult, fingerprint uint64) {
	s.send(fingerprint, result.count)
	s.schedule(uniqueInterval, func() { s.sendUnique(result, fingerprint+1) })
}

// resendPoison sends the poisonous request repeatedly, whatever the failure says about
// retrying.
func (s *simulation) resendPoison() {
	s.send(poisonFingerprint, func(*failure.Error) { s.schedule(resendDelay, s.resendPoison) })
}

// loseTargets crashes several targets within lossWindow.
func (s *simulation) loseTargets() {
	for _, at := range s.random.Perm(targetCount)[:lostTargetCount] {
		s.schedule(time.Duration(s.random.Int64N(int64(lossWindow))), func() { s.crashEngine(s.agents[at]) })
	}
}

// checkRefusals periodically inspects which requests the entries refuse. Innocent
// requests must never be refused, and the poisonous request must eventually be refused
// by all entries.
func (s *simulation) checkRefusals(result *simulationResult) {
	refusing := 0
	for _, e := range s.entries {
		for _, fingerprint := range e.ledger.Refused(s.virtualTime()) {
			if fingerprint == poisonFingerprint {
				refusing++
				continue
			}
			result.refusedInnocent++
		}
	}
	if refusing < entryCount {
		result.refusedAt = s.now + checkInterval
	}
	s.schedule(checkInterval, func() { s.checkRefusals(result) })
}

// measurePoison simulates a poisonous request among innocent ones.
func measurePoison(ctx context.Context) (measure.Result, error) {
	return runSimulations(ctx, defaultDelays, true, false, "one poisonous request")
}

// measureTargetLoss simulates the simultaneous loss of 4 of 12 targets.
func measureTargetLoss(ctx context.Context) (measure.Result, error) {
	return runSimulations(ctx, defaultDelays, false, true, "4 of 12 targets lost at once")
}

// measurePoisonAndLoss simulates a poisonous request and the loss of 4 targets at the
// same time.
func measurePoisonAndLoss(ctx context.Context) (measure.Result, error) {
	result, err := runSimulations(ctx, defaultDelays, true, true, "one poisonous request and 4 of 12 targets lost at once")
	return withoutBounds(result), err
}

// measureLateReports simulates a poisonous request with delayed crash reports.
func measureLateReports(ctx context.Context) (measure.Result, error) {
	delayed := defaultDelays
	delayed.report = time.Second
	result, err := runSimulations(ctx, delayed, true, false, "one poisonous request, crash reports up to 1 s late")
	return withoutBounds(result), err
}

// withoutBounds removes all bounds except the one on refused innocent requests, because
// the others are stated for a poisonous request alone with timely reports.
func withoutBounds(result measure.Result) measure.Result {
	for i := range result.Figures {
		if i > 0 {
			result.Figures[i].Limit = measure.NoBound
		}
	}
	return result
}

// runSimulations simulates a scenario with runCount seeds and returns its figures.
func runSimulations(ctx context.Context, d delays, withPoison, withLoss bool, scenario string) (measure.Result, error) {
	var crashes, refused, failed int
	var refusalDelay time.Duration
	for seed := range uint64(runCount) {
		if err := ctx.Err(); err != nil {
			return measure.Result{}, err
		}
		result := simulate(seed, d, withPoison, withLoss)
		crashes, refusalDelay = max(crashes, result.crashes), max(refusalDelay, result.refusedAt-result.lastCrash)
		refused += result.refusedInnocent
		failed += result.failed
	}
	figures := []measure.Figure{
		{Name: "innocent requests refused, " + scenario, Value: float64(refused), Unit: "requests",
			Limit: measure.AtMost, Bound: 0},
		{Name: "innocent requests failed, " + scenario, Value: float64(failed), Unit: "requests"},
	}
	if withPoison {
		figures = append(figures,
			measure.Figure{Name: "targets crashed by the request, " + scenario, Value: float64(crashes),
				Unit: "targets", Limit: measure.AtMost, Bound: maxCrashes},
			measure.Figure{Name: "time from the request's last crash until every entry refuses it, " + scenario,
				Value: refusalDelay.Seconds(), Unit: "s", Limit: measure.AtMost, Bound: maxRefusalSeconds})
	}
	return measure.Result{Figures: figures}, nil
}
