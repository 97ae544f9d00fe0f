package group

import (
	"time"

	"verbenaseam.example/verbenaseam/version/placement"
)

// decisionInterval is the time between two decisions about a group.
const decisionInterval = time.Second

// Planner decides on changes of a group's map. It is not safe for concurrent use, but the
// budget that it shares with other planners is.
type Planner struct {
	pool    string
	budget  *placement.Budget
	metrics *placement.Metrics

	telemetry    *placement.Telemetry
	layers       int
	experts      int
	slots        [][]int // by layer and rank
	reported     []bool  // by rank
	expertBytes  int
	lastDecision time.Time
}

// NewPlanner returns a planner that has received no load reports.
func NewPlanner(pool string, size int, budget *placement.Budget, metrics *placement.Metrics) *Planner {
	return &Planner{pool: pool, budget: budget, metrics: metrics, reported: make([]bool, size)}
}

// HandleLoad processes a rank's load report. It ignores reports that do not match the group or
// the layers of earlier reports.
func (p *Planner) HandleLoad(now time.Time, load Load) {
	rank := load.Report.Rank
	if rank < 0 || rank >= len(p.reported) || len(load.Report.Routed) == 0 || len(load.Slots) != len(load.Report.Routed) {
		return
	}
	if p.telemetry == nil {
		p.initTelemetry(load)
	}
	if len(load.Slots) != p.layers || !p.telemetry.AddReport(now, load.Report) {
		return
	}
	for layer, slots := range load.Slots {
		p.slots[layer][rank] = slots
	}
	p.reported[rank] = true
	p.expertBytes = load.ExpertBytes
}

func (p *Planner) initTelemetry(load Load) {
	p.layers, p.experts = len(load.Report.Routed), len(load.Report.Routed[0])
	p.telemetry = placement.NewTelemetry(len(p.reported), p.layers, p.experts)
	p.slots = make([][]int, p.layers)
	for layer := range p.slots {
		p.slots[layer] = make([]int, len(p.reported))
	}
}

// Decide returns a change from the map in use if one is worth its cost and the budget
// allows it. The group then occupies the budget until HandleOutcome is called. While paused, only
// changes that move no weights are returned.
func (p *Planner) Decide(now time.Time, present *placement.Map, domains []string, paused bool) (Change, bool) {
	if now.Sub(p.lastDecision) < decisionInterval || !p.allReported() {
		return Change{}, false
	}
	p.lastDecision = now
	loads, known := p.telemetry.Loads()
	if !known {
		return Change{}, false
	}
	input := placement.Input{Loads: loads, Speeds: p.telemetry.Speeds(), Slots: p.slots}
	plan, err := placement.Improve(input, present, placement.DefaultSettings())
	if err != nil {
		return Change{}, false
	}
	p.metrics.ObserveSkew(p.pool, plan.SkewBefore)
	if !plan.Changed {
		return Change{}, false
	}
	if paused && len(plan.Moves) > 0 {
		p.metrics.AddRefusal(p.pool, placement.Paused)
		return Change{}, false
	}
	bytes := len(plan.Moves) * p.expertBytes
	refusal := p.budget.Begin(now, placement.MoveRequest{
		Group: p.pool, FailureDomains: domains, Bytes: bytes, SkewBefore: plan.SkewBefore, SkewAfter: plan.SkewAfter,
	})
	if refusal != placement.Allowed {
		p.metrics.AddRefusal(p.pool, refusal)
		return Change{}, false
	}
	return Change{Content: plan.Map, Moves: len(plan.Moves), Bytes: bytes}, true
}

// allReported reports whether every rank has sent its load.
func (p *Planner) allReported() bool {
	for _, reported := range p.reported {
		if !reported {
			return false
		}
	}
	return p.telemetry != nil
}

// HandleOutcome releases the budget that a change occupied, and updates the metrics.
func (p *Planner) HandleOutcome(outcome ChangeOutcome) {
	p.budget.End(p.pool)
	p.metrics.ObserveSwitch(p.pool, outcome.Decision.String(), outcome.Took)
	p.metrics.AddMoves(p.pool, outcome.Change.Moves, outcome.Change.Bytes)
}
