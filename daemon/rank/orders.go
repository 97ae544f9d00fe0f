package rank

import (
	"context"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// orders gives orders to the engine on this host.
type orders struct{ target *platform.Rank }

// Report implements expertmap.EngineCommands.
func (o orders) Report() (expertmap.RankReport, error) {
	return o.target.Report(context.Background())
}

// Arm implements expertmap.EngineCommands.
func (o orders) Arm(given, incarnation, version, step uint64) (bool, error) {
	return o.target.Arm(context.Background(), platform.Order{Orders: given, Incarnation: incarnation}, version, step)
}

// Disarm implements expertmap.EngineCommands.
func (o orders) Disarm(given, incarnation, version uint64) (bool, error) {
	return o.target.Disarm(context.Background(), platform.Order{Orders: given, Incarnation: incarnation}, version)
}

// Hold implements expertmap.EngineCommands.
func (o orders) Hold(given, incarnation, step uint64) (bool, error) {
	return o.target.Hold(context.Background(), platform.Order{Orders: given, Incarnation: incarnation}, step)
}

// Go implements expertmap.EngineCommands.
func (o orders) Go(given, incarnation, step uint64) (bool, error) {
	return o.target.Go(context.Background(), platform.Order{Orders: given, Incarnation: incarnation}, step)
}

// Copy implements expertmap.EngineCommands.
func (o orders) Copy(given, incarnation, version uint64) (bool, error) {
	ctx := context.Background()
	report, err := o.target.Report(ctx)
	if err != nil {
		return false, err
	}
	counts, err := o.target.Counts(ctx)
	if err != nil {
		return false, err
	}
	_, held, err := o.target.Held(ctx)
	if err != nil {
		return false, err
	}
	experts, err := rebalance.MapKeepingRank(held, report.Rank, report.Size, len(counts.Experts))
	if err != nil {
		return false, err
	}
	return o.target.Prepare(ctx, platform.Order{Orders: given, Incarnation: incarnation}, version, experts)
}
