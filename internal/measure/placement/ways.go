package placement

import (
	"time"

	"verbenaseam.example/verbenaseam/version/placement"
)

// Way decides on a map.
type Way struct {
	Name   string
	Decide func(in placement.Input, current *placement.Map) (placement.Plan, error)
}

// decisionWorkers bounds the layers decided at once.
const decisionWorkers = 4

// Ways are the ways compared; the first is the reference for bytes, the last the
// product's.
func Ways() []Way {
	return []Way{fullRepack(), static(), splitsOnly(), localSearch(), budgeted(), product()}
}

// static keeps the map of the start.
func static() Way {
	return Way{"static", func(_ placement.Input, current *placement.Map) (placement.Plan, error) {
		return placement.Plan{Map: current}, nil
	}}
}

// splitsOnly keeps the placement of the start and solves the flow problem of the
// splits each time.
func splitsOnly() Way {
	return Way{"flow of splits alone", func(in placement.Input, current *placement.Map) (placement.Plan, error) {
		settings := placement.DefaultSettings()
		settings.MaxMoves, settings.MinSplitGain, settings.Workers = 0, 0, decisionWorkers
		return placement.Improve(in, current, settings)
	}}
}

// fullRepack packs anew each time and moves what differs.
func fullRepack() Way {
	return Way{"full greedy repack", func(in placement.Input, current *placement.Map) (placement.Plan, error) {
		plan, err := placement.Pack(in, decisionWorkers)
		if err != nil {
			return plan, err
		}
		plan.Moves = missing(current, plan.Map)
		return plan, nil
	}}
}

// localSearch climbs from the current map as far as it gets, however small the
// gain.
func localSearch() Way {
	return Way{"local search", func(in placement.Input, current *placement.Map) (placement.Plan, error) {
		return placement.Improve(in, current, placement.Settings{
			StartSkew: 1.001, StopSkew: 1.001, MinGain: 0, MinSplitGain: 0, MaxMoves: 32, Workers: decisionWorkers,
		})
	}}
}

// product is what the product does.
func product() Way {
	return Way{"incremental with hysteresis", func(in placement.Input, current *placement.Map) (placement.Plan, error) {
		settings := placement.DefaultSettings()
		settings.Workers = decisionWorkers
		return placement.Improve(in, current, settings)
	}}
}

// The budget of budgeted: a tenth of a store of 1 GB/s, and ten minutes to repay.
const (
	storeShare   = 100e6 // bytes a second
	storeBurst   = 10e9  // bytes
	repayHorizon = 10 * time.Minute
	loadCost     = 0.1
)

// budgeted is the product under a Budget; a refused plan leaves the splits.
func budgeted() Way {
	budget := placement.NewBudget(placement.BudgetConfig{
		BytesPerSecond: storeShare, BurstBytes: storeBurst, Horizon: repayHorizon, LoadCost: loadCost,
	})
	now := time.Unix(0, 0)
	free, splits := product(), splitsOnly()
	return Way{"incremental under a budget", func(in placement.Input, current *placement.Map) (placement.Plan, error) {
		now = now.Add(decideEvery)
		plan, err := free.Decide(in, current)
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

// missing lists the weights of next that current does not hold.
func missing(current, next *placement.Map) []placement.Move {
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
