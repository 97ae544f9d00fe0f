package group

import (
	"time"

	"verbenaseam.example/verbenaseam/version/placement"
)

// decisionInterval is the time between two decisions about a group.
const decisionInterval = time.Second

// Planner decides when a group gets another map. It is not safe for concurrent
// use; the budget it shares with other planners is.
type Planner struct {
	pool    string
	budget  *placement.Budget
	metrics *placement.Metrics

	telemetry   *placement.Telemetry
	layers      int
	experts     int
	slots       [][]int // by layer and rank
	heard       []bool
	expertBytes int
	decided     time.Time
}

// NewPlanner returns a planner that has heard of no rank.
func NewPlanner(pool string, size int, budget *placement.Budget, metrics *placement.Metrics) *Planner {
	return &Planner{pool: pool, budget: budget, metrics: metrics, heard: make([]bool, size)}
}

// Load takes a rank's load.
func (p *Planner) Load(now time.Time, load Load) {
	rank := load.Report.Rank
	if rank < 0 || rank >= len(p.heard) || len(load.Report.Routed) == 0 || len(load.Slots) != len(load.Report.Routed) {
		return
	}
	if p.telemetry == nil {
		p.shape(load)
	}
	if len(load.Slots) != p.layers || !p.telemetry.AddReport(now, load.Report) {
		return
	}
	for layer, slots := range load.Slots {
		p.slots[layer][rank] = slots
	}
	p.heard[rank] = true
	p.expertBytes = load.ExpertBytes
}

func (p *Planner) shape(load Load) {
	p.layers, p.experts = len(load.Report.Routed), len(load.Report.Routed[0])
	p.telemetry = placement.NewTelemetry(len(p.heard), p.layers, p.experts)
	p.slots = make([][]int, p.layers)
	for layer := range p.slots {
		p.slots[layer] = make([]int, len(p.heard))
	}
}

// Decide returns a change from the present map if one pays and the budget allows
// it; the budget's place is then taken until Ended. While paused, only changes
// that move no weights are returned.
func (p *Planner) Decide(now time.Time, present *placement.Map, domains []string, paused bool) (Change, bool) {
	if now.Sub(p.decided) < decisionInterval || !p.complete() {
		return Change{}, false
	}
	p.decided = now
	loads, heard := p.telemetry.Loads()
	if !heard {
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

// complete tells whether every rank was heard.
func (p *Planner) complete() bool {
	for _, heard := range p.heard {
		if !heard {
			return false
		}
	}
	return p.telemetry != nil
}

// Ended notes the end of a change.
func (p *Planner) Ended(ending Ending) {
	p.budget.End(p.pool)
	p.metrics.ObserveSwitch(p.pool, ending.Decision.String(), ending.Took)
	p.metrics.AddMoves(p.pool, ending.Change.Moves, ending.Change.Bytes)
}
