package rank

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// statusOf returns the status for a report, without sequence number and held experts.
func (a *Agent) statusOf(report expertmap.RankReport) rebalance.Status {
	epoch := a.highestEpoch
	if a.driver != nil {
		epoch = max(epoch, a.driver.Agent().Epoch())
	}
	return rebalance.Status{
		Rank: report.Rank, Size: report.Size, AgentIncarnation: a.incarnation, Running: report.Running, Prepared: report.Prepared, Armed: report.Armed,
		RunningKnown: a.assembly.Knows(report.Running), Refused: a.preparing.refusedMap, Slowdown: report.Slowdown, Epoch: epoch, Release: a.release,
		PreparedSum: a.copiedSums.of(report.Prepared), RunningSum: a.copiedSums.of(report.Running),
	}
}

// observeMap records that the engine of a rank may have been told to copy a map. No status
// shows that before the copy ends.
func (a *Agent) observeMap(number uint64) {
	a.highestEpoch = max(a.highestEpoch, expertmap.MapIDFromNumber(number).Epoch)
}

// copiedSums holds the checksums of the contents of the maps that the engine was last told to
// copy, in that order.
type copiedSums []copiedSum

type copiedSum struct{ number, sum uint64 }

// maxCopiedSums is the number of maps kept: the one in use and those given up since.
const maxCopiedSums = 8

// add records the contents of a map. Those of the map in use, which may have been copied long
// before, stay.
func (s *copiedSums) add(number, sum, running uint64) {
	kept := slices.DeleteFunc(*s, func(c copiedSum) bool { return c.number == number })
	if len(kept) == maxCopiedSums {
		oldest := 0
		if kept[0].number == running {
			oldest = 1
		}
		kept = slices.Delete(kept, oldest, oldest+1)
	}
	*s = append(kept, copiedSum{number, sum})
}

// of returns the checksum of a map's contents, 0 if it is not known.
func (s copiedSums) of(number uint64) uint64 {
	for _, c := range s {
		if c.number == number {
			return c.sum
		}
	}
	return 0
}

// sendStatus sends this rank's status, and its counts when they are due, to the planner,
// which may run in this agent.
func (a *Agent) sendStatus(ctx context.Context, now time.Time) {
	if a.planner == nil && a.directive == nil {
		return
	}
	a.sentReport = a.engine.LastReport()
	status := a.statusOf(a.sentReport)
	a.statusSequence++
	status.Sequence = a.statusSequence
	if a.planner != nil && a.planner.Directive().RequestHeld || a.directive != nil && a.directive.RequestHeld {
		a.addHeldExperts(ctx, &status)
	}
	counts := a.dueCounts(ctx, now)
	if a.planner != nil {
		a.handleStatus(status, netip.AddrPortFrom(a.host, a.port), now)
		for _, part := range counts {
			a.planner.HandleCounts(part, now)
		}
		return
	}
	first := rebalance.Envelope{Status: &status}
	if len(counts) > 0 && counts[0].FitsWithStatus(&status) {
		first.Counts = &counts[0]
		counts = counts[1:]
	}
	a.send(a.plannerAddress, first)
	for _, part := range counts {
		a.send(a.plannerAddress, rebalance.Envelope{Counts: &part})
	}
}

// addHeldExperts adds the experts that the rank holds to the status, if they belong to
// the map that the status gives as running.
func (a *Agent) addHeldExperts(ctx context.Context, status *rebalance.Status) {
	version, held, err := a.target.HeldExperts(ctx)
	if err != nil {
		a.log.WithError(err).Debug("reading the held experts failed")
		return
	}
	if version == status.Running {
		status.Held = held
	}
}

// recordCopy records the contents of a map that the engine is told to copy.
func (a *Agent) recordCopy(wanted *rebalance.Map) {
	number, sum := wanted.ID.Number(), wanted.Sum()
	a.observeMap(number)
	a.copiedSums.add(number, sum, a.engine.LastReport().Running)
	a.engine.RecordCopy(number, sum)
}

// preparation is the state of this rank's copy of a map.
type preparation struct {
	mapNumber uint64
	// accepted is set when the engine has accepted the command to copy the map.
	accepted bool
	// refusals is the number of times the engine refused the command.
	refusals int
	// refusedMap is the number of the map if its copy was given up; 0 otherwise.
	refusedMap uint64
}

// maxCopyRefusals is the number of refusals after which the copy of a map is given up.
const maxCopyRefusals = 8

// mapToPrepare returns the map that this rank is to copy, or nil for none.
func (a *Agent) mapToPrepare() *rebalance.Map {
	var wanted *rebalance.Map
	if a.planner != nil {
		wanted = a.planner.MapToCopy()
	} else if a.directive != nil {
		wanted, _ = a.assembly.Map(a.directive.Prepare)
	}
	if wanted == nil || a.engine.LastReport().Prepared >= wanted.ID.Number() || a.engine.LastReport().Running >= wanted.ID.Number() {
		return nil
	}
	return wanted
}

// prepareMap sends the engine the command to copy the map that the planner wants, unless
// it has already accepted that command, the copy was given up or a switch is armed.
func (a *Agent) prepareMap(ctx context.Context, _ time.Time) {
	wanted := a.mapToPrepare()
	if wanted == nil {
		return
	}
	number := wanted.ID.Number()
	if a.preparing.mapNumber != number {
		a.preparing = preparation{mapNumber: number}
	}
	report := a.engine.LastReport()
	if a.preparing.accepted || a.preparing.refusedMap == number || report.Armed != 0 {
		return
	}
	a.recordCopy(wanted)
	preconditions := platform.CommandPrecondition{CommandCount: report.CommandCount, Incarnation: report.Group.Incarnation}
	ok, err := a.target.Prepare(ctx, preconditions, number, wanted.Experts)
	if ok {
		a.preparing.accepted = true
		return
	}
	if err != nil {
		a.log.WithError(err).Debug("command to copy the map failed")
	}
	after, reportErr := a.engine.Refresh()
	if reportErr != nil {
		return
	}
	// Only this agent sends commands to the engine, except for the hold commands of
	// proposers, so a higher command count is taken to mean that the engine accepted this
	// one although the answer was lost.
	if after.CommandCount > report.CommandCount {
		a.preparing.accepted = true
		return
	}
	if err == nil {
		a.preparing.refusals++
	}
	if a.preparing.refusals >= maxCopyRefusals {
		a.preparing.refusedMap = number
		a.log.WithField("map", number).Warn("engine refused to copy the map")
	}
}
