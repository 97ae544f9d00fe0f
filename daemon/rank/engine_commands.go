package rank

import (
	"context"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// engineCommands implements expertmap.EngineCommands with calls to a target's engine, on
// this host or another.
type engineCommands struct{ target *platform.RankClient }

// Report implements expertmap.EngineCommands.
func (c engineCommands) Report() (expertmap.RankReport, error) {
	return c.target.Report(context.Background())
}

// FreshReport implements expertmap.EngineCommands.
func (c engineCommands) FreshReport() (expertmap.RankReport, error) {
	return c.target.FreshReport(context.Background())
}

// Arm implements expertmap.EngineCommands.
func (c engineCommands) Arm(commandCount, incarnation, version, step uint64) (bool, error) {
	return c.target.Arm(context.Background(), platform.CommandPrecondition{CommandCount: commandCount, Incarnation: incarnation}, version, step)
}

// Disarm implements expertmap.EngineCommands.
func (c engineCommands) Disarm(commandCount, incarnation, version uint64) (bool, error) {
	return c.target.Disarm(context.Background(), platform.CommandPrecondition{CommandCount: commandCount, Incarnation: incarnation}, version)
}

// Hold implements expertmap.EngineCommands.
func (c engineCommands) Hold(commandCount, incarnation, step uint64) (bool, error) {
	return c.target.Hold(context.Background(), platform.CommandPrecondition{CommandCount: commandCount, Incarnation: incarnation}, step)
}

// Go implements expertmap.EngineCommands.
func (c engineCommands) Go(commandCount, incarnation, step uint64) (bool, error) {
	return c.target.Go(context.Background(), platform.CommandPrecondition{CommandCount: commandCount, Incarnation: incarnation}, step)
}

// Copy implements expertmap.EngineCommands. The map that the engine is to copy is one in
// which its rank keeps the experts that it holds.
func (c engineCommands) Copy(commandCount, incarnation, version uint64) (bool, error) {
	ctx := context.Background()
	report, err := c.target.Report(ctx)
	if err != nil {
		return false, err
	}
	counts, err := c.target.ExpertCounts(ctx)
	if err != nil {
		return false, err
	}
	_, held, err := c.target.HeldExperts(ctx)
	if err != nil {
		return false, err
	}
	experts, err := rebalance.MapKeepingRank(held, report.Rank, report.Size, len(counts.Experts))
	if err != nil {
		return false, err
	}
	return c.target.Prepare(ctx, platform.CommandPrecondition{CommandCount: commandCount, Incarnation: incarnation}, version, experts)
}
