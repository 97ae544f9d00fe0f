package rank

import (
	"context"
	"math"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

const (
	// countsInterval is the shortest time between two reports of a rank's counts.
	countsInterval = 100 * time.Millisecond
	// countsLinkShare is the share of the planner's link that the counts of all ranks may
	// use. Ranks of large groups report them less often.
	countsLinkShare = 0.4
	// maxCountsWindow is the longest time that counts cover, because older selections say
	// little about the demand to come.
	maxCountsWindow = 400 * time.Millisecond
)

// countsReporter is the state of the reports of a rank's expert counts.
type countsReporter struct {
	// baseline holds the counts from which the next report starts.
	baseline platform.ExpertCounts
	// baselineDue is set if the baseline must be read before the next report, dueAt is
	// when that report is due.
	baselineDue bool
	dueAt       time.Time
}

// countsCycle returns the time in which each rank of a group reports its counts once.
// Reports of all experts take one byte per expert and must fit on the planner's link,
// whose bandwidth is taken to be that of this host.
func (a *Agent) countsCycle(size int) time.Duration {
	bytesPerSecond := countsLinkShare * a.settings.Bandwidth * bitsPerMegabit / bitsPerByte
	total := float64(size * len(a.counts.baseline.Experts))
	rounds := math.Ceil(total / max(bytesPerSecond*countsInterval.Seconds(), 1))
	return time.Duration(max(rounds, 1)) * countsInterval
}

// resetCounts discards the counts of an earlier incarnation. The ranks report in turn, so
// that their reports do not fill the planner's link together.
func (a *Agent) resetCounts(rank, size int, now time.Time) {
	a.counts = countsReporter{}
	counts, err := a.target.ExpertCounts(context.Background())
	if err != nil {
		a.log.WithError(err).Debug("reading the expert counts failed")
	}
	a.counts.baseline = counts
	a.counts.dueAt = now.Add(a.countsCycle(size) * time.Duration(rank) / time.Duration(max(size, 1)))
}

// readCountsBaseline reads the counts from which the next report starts, once that report
// is due within maxCountsWindow.
func (a *Agent) readCountsBaseline(ctx context.Context, now time.Time) {
	if a.counts.baselineDue && a.counts.dueAt.Sub(now) <= maxCountsWindow {
		a.counts.baselineDue = false
		a.newCounts(ctx)
	}
}

// countsDue reports whether it is this rank's turn to report its counts.
func (a *Agent) countsDue(now time.Time) bool { return !now.Before(a.counts.dueAt) }

// dueCounts returns the counts since the baseline, split into datagrams, if it is this
// rank's turn to report them. The next turn comes whole cycles later, so that ranks which
// learn of their planner at the same time do not report together from then on.
func (a *Agent) dueCounts(ctx context.Context, now time.Time) []rebalance.Counts {
	if !a.countsDue(now) {
		return nil
	}
	report := a.engine.LastReport()
	counts := rebalance.SplitCounts(report.Rank, a.newCounts(ctx))
	cycle := a.countsCycle(report.Size)
	a.counts.dueAt = nextTurn(a.counts.dueAt, cycle, now)
	a.counts.baselineDue = cycle > maxCountsWindow
	return counts
}

// nextTurn returns the first time after now that is whole cycles after a turn.
func nextTurn(turn time.Time, cycle time.Duration, now time.Time) time.Time {
	missed := now.Sub(turn) / cycle
	return turn.Add((missed + 1) * cycle)
}

// newCounts returns how often each expert was chosen since the baseline, or nil if the
// counts cannot be read or do not continue it. The counts read become the baseline.
func (a *Agent) newCounts(ctx context.Context) []uint64 {
	counts, err := a.target.ExpertCounts(ctx)
	if err != nil {
		a.log.WithError(err).Debug("reading the expert counts failed")
		return nil
	}
	before := a.counts.baseline
	a.counts.baseline = counts
	if before.Incarnation != counts.Incarnation || len(before.Experts) != len(counts.Experts) || counts.Step < before.Step {
		return nil
	}
	chosen := make([]uint64, len(counts.Experts))
	for expert, count := range counts.Experts {
		if count > before.Experts[expert] {
			chosen[expert] = count - before.Experts[expert]
		}
	}
	return chosen
}
