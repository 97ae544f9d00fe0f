package placement

import (
	"time"

	"verbenaseam.example/verbenaseam/version/placement"
)

// Strategy is a named way to choose the next map.
type Strategy struct {
	Name   string
	Decide func(in placement.Input, current *placement.Map) (placement.Plan, error)
}

// decisionWorkers is the maximum number of layers decided concurrently.
const decisionWorkers = 4

// Strategies returns the compared strategies. The first is the reference for moved
// bytes, the last is the one that the product uses.
func Strategies() []Strategy {
	return []Strategy{fullRepack(), staticMap(), splitsOnly(), localSearch(), budgeted(), incremental()}
}

// staticMap keeps the initial map.
func staticMap() Strategy {
	return Strategy{"static", func(_ placement.Input, current *placement.Map) (placement.Plan, error) {
		return placement.Plan{Map: current}, nil
	}}
}

// splitsOnly keeps the initial placement and recomputes how the tokens of an expert are
// split between its replicas, by solving a flow problem at each decision.
func splitsOnly() Strategy {
	return Strategy{"splits only", func(in placement.Input, current *placement.Map) (placement.Plan, error) {
		settings := placement.DefaultSettings()
		settings.MaxMoves, settings.MinSplitGain, settings.Workers = 0, 0, decisionWorkers
		return placement.Improve(in, current, settings)
	}}
}

// fullRepack computes a new placement at each decision and moves all replicas that
// differ.
func fullRepack() Strategy {
	return Strategy{"full greedy repack", func(in placement.Input, current *placement.Map) (placement.Plan, error) {
		plan, err := placement.Pack(in, decisionWorkers)
		if err != nil {
			return plan, err
		}
		plan.Moves = addedReplicas(current, plan.Map)
		return plan, nil
	}}
}

// localSearch improves the current map to a local optimum, without a minimum gain.
func localSearch() Strategy {
	return Strategy{"local search", func(in placement.Input, current *placement.Map) (placement.Plan, error) {
		return placement.Improve(in, current, placement.Settings{
			StartSkew: 1.001, StopSkew: 1.001, MinGain: 0, MinSplitGain: 0, MaxMoves: 32, Workers: decisionWorkers,
		})
	}}
}

// incremental is the strategy that the product uses.
func incremental() Strategy {
	return Strategy{"incremental with hysteresis", func(in placement.Input, current *placement.Map) (placement.Plan, error) {
		settings := placement.DefaultSettings()
		settings.Workers = decisionWorkers
		return placement.Improve(in, current, settings)
	}}
}

// Settings of the budget that budgeted uses: a tenth of the bandwidth of a 1 GB/s store,
// and ten minutes in which a move has to pay off.
const (
	budgetBytesPerSecond = 100e6
	budgetBurstBytes     = 10e9
	budgetHorizon        = 10 * time.Minute
	budgetLoadCost       = 0.1
)

// budgeted is the incremental strategy with a Budget. If the budget refuses a plan,
// only the splits change.
func budgeted() Strategy {
	budget := placement.NewBudget(placement.BudgetConfig{
		BytesPerSecond: budgetBytesPerSecond, BurstBytes: budgetBurstBytes, Horizon: budgetHorizon, LoadCost: budgetLoadCost,
	})
	now := time.Unix(0, 0)
	unlimited, splits := incremental(), splitsOnly()
	return Strategy{"incremental under a budget", func(in placement.Input, current *placement.Map) (placement.Plan, error) {
		now = now.Add(decisionInterval)
		plan, err := unlimited.Decide(in, current)
		if err != nil || len(plan.Moves) == 0 {
			return plan, err
		}
		refusal := budget.Begin(now, placement.MoveRequest{
			Group: "group", FailureDomains: []string{"domain"}, Bytes: len(plan.Moves) * expertBytes,
			SkewBefore: plan.SkewBefore, SkewAfter: plan.SkewAfter,
		})
		if refusal != placement.Allowed {
			return splits.Decide(in, current)
		}
		budget.End("group")
		return plan, nil
	}}
}

// addedReplicas lists the replicas of next that current does not have.
func addedReplicas(current, next *placement.Map) []placement.Move {
	var moves []placement.Move
	for layer, experts := range next.Layers {
		for expert, replicas := range experts {
			held := map[int]bool{}
			for _, replica := range current.Layers[layer][expert] {
				held[replica.Rank] = true
			}
			for _, replica := range replicas {
				if !held[replica.Rank] {
					moves = append(moves, placement.Move{Layer: layer, Expert: expert, Rank: replica.Rank})
				}
			}
		}
	}
	return moves
}
