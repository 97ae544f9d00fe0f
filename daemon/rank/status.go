package rank

import (
	"context"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// statusOf returns what a report says, without counts.
func (a *Agent) statusOf(report expertmap.RankReport) rebalance.Status {
	epoch := uint64(0)
	if a.driver != nil {
		epoch = a.driver.Agent().Epoch()
	}
	return rebalance.Status{
		Group: report.Group, Incarnation: report.Incarnation, Rank: report.Rank, Size: report.Size,
		AgentIncarnation: a.incarnation, Running: report.Running, Prepared: report.Prepared, Armed: report.ArmedVersion,
		Refused: a.preparing.refused, Slowdown: report.Slowdown, Epoch: epoch,
	}
}

// status tells the planner of this rank.
func (a *Agent) status(ctx context.Context, now time.Time) {
	if a.planner == nil && a.directive == nil {
		return
	}
	a.told = a.engine.LastReport()
	status := a.statusOf(a.told)
	a.sent++
	status.Sequence = a.sent
	if a.planner != nil && a.planner.Directive().RequestHeld || a.directive != nil && a.directive.RequestHeld {
		a.addHeld(ctx, &status)
	}
	counts := a.dueCounts(ctx, status, now)
	if a.planner != nil {
		a.planner.HandleStatus(status, a.host, now)
		for _, some := range counts {
			a.planner.HandleCounts(some, now)
		}
		return
	}
	first := rebalance.Envelope{Status: &status}
	if len(counts) > 0 && counts[0].FitsWithStatus(&status) {
		first.Counts = &counts[0]
		counts = counts[1:]
	}
	a.send(a.plannerAddress, first)
	for _, some := range counts {
		a.send(a.plannerAddress, rebalance.Envelope{Counts: &some})
	}
}

// ranksAtOnce is how many ranks the planner speaks with in each round, and hears
// counts of: in larger groups they take turns, since links are narrow.
const ranksAtOnce = 16

// rounds is how many rounds it takes for all ranks of a group to have a turn.
func rounds(size int) time.Duration {
	return time.Duration(max((size+ranksAtOnce-1)/ranksAtOnce, 1))
}

// dueCounts returns what was chosen since the counts before, if it is this rank's
// turn.
func (a *Agent) dueCounts(ctx context.Context, status rebalance.Status, now time.Time) []rebalance.Counts {
	if now.Sub(a.counted) < rounds(status.Size)*statusEvery {
		return nil
	}
	a.counted = now
	return rebalance.SplitCounts(status, a.chosen(ctx))
}

// chosen returns what was chosen since it was last asked.
func (a *Agent) chosen(ctx context.Context) []uint64 {
	counts, err := a.target.Counts(ctx)
	if err != nil {
		a.log.WithError(err).Debug("counts not read")
		return nil
	}
	before := a.counts
	a.counts = counts
	if before.Incarnation != counts.Incarnation || len(before.Experts) != len(counts.Experts) || counts.Step < before.Step {
		return nil
	}
	chosen := make([]uint64, len(counts.Experts))
	for at, count := range counts.Experts {
		if count > before.Experts[at] {
			chosen[at] = count - before.Experts[at]
		}
	}
	return chosen
}

// addHeld adds the rank's experts, if they are those of the map in use.
func (a *Agent) addHeld(ctx context.Context, status *rebalance.Status) {
	version, held, err := a.target.Held(ctx)
	if err != nil {
		a.log.WithError(err).Debug("experts not read")
		return
	}
	if version == status.Running {
		status.Held = held
	}
}

// preparation is how far this rank is with the copy of a map.
type preparation struct {
	number uint64
	// ordered tells that the engine has taken the order.
	ordered bool
	// refusals counts how often it did not.
	refusals int
	// refused is the number of a map that the engine will not copy.
	refused uint64
}

// mostRefusals is how often a copy is ordered before it is given up.
const mostRefusals = 8

// wanted returns the map that this rank is to copy, nil for none.
func (a *Agent) wanted() *rebalance.Map {
	var wanted *rebalance.Map
	if a.planner != nil {
		wanted = a.planner.Next()
	} else if a.directive != nil {
		wanted, _ = a.assembly.Map(a.directive.Prepare)
	}
	if wanted == nil || a.engine.LastReport().Prepared >= wanted.ID.Number() || a.engine.LastReport().Running >= wanted.ID.Number() {
		return nil
	}
	return wanted
}

// prepare orders the copy of the map that the planner wants.
func (a *Agent) prepare(ctx context.Context, _ time.Time) {
	wanted := a.wanted()
	if wanted == nil {
		return
	}
	number := wanted.ID.Number()
	if a.preparing.number != number {
		a.preparing = preparation{number: number}
	}
	report := a.engine.LastReport()
	if a.preparing.ordered || a.preparing.refused == number || report.ArmedVersion != 0 {
		return
	}
	order := platform.Order{Orders: report.CommandCount, Incarnation: report.Incarnation}
	ok, err := a.target.Prepare(ctx, order, number, wanted.Experts)
	if ok {
		a.preparing.ordered = true
		return
	}
	if err != nil {
		a.log.WithError(err).Debug("copy not ordered")
	}
	after, reportErr := a.engine.Refresh()
	if reportErr != nil {
		return
	}
	// Only the agent orders, so an order more means that this one was taken.
	if after.CommandCount > report.CommandCount {
		a.preparing.ordered = true
		return
	}
	if err == nil {
		a.preparing.refusals++
	}
	if a.preparing.refusals >= mostRefusals {
		a.preparing.refused = number
		a.log.WithField("map", number).Warn("copy refused")
	}
}
