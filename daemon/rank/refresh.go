package rank

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// refresh reads the engine's report, and resets the agent if the engine's identity has
// changed.
func (a *Agent) refresh(now time.Time) {
	a.reportReadAt = now
	var report expertmap.RankReport
	var err error
	if a.driver == nil {
		err = a.attach(now)
		report = a.engine.LastReport()
	} else {
		report, err = a.engine.Refresh()
	}
	if err != nil {
		if !a.reportReadFailed {
			a.log.WithError(err).Warn("reading the target's report failed")
		}
		a.reportReadFailed = true
		return
	}
	if a.reportReadFailed {
		a.reportReadFailed = false
		a.log.Info("target's report available again")
	}
	a.updateSlowdown(report.Slowdown)
	a.updateLeaving(report)
	if a.driver != nil && a.identity != identityOf(report) {
		a.resetForGroup(report, now)
	}
}

// updateSlowdown stores the target's slowdown. It logs when the target becomes slow and
// when it recovers.
func (a *Agent) updateSlowdown(slowdown float64) {
	before := a.slowdown
	a.slowdown = slowdown
	if (before >= presence.SlowdownThreshold) == (slowdown >= presence.SlowdownThreshold) {
		return
	}
	a.log.WithFields(logrus.Fields{"pace": slowdown, "before": before}).Info("target's pace changed")
}

// updateLeaving stores whether the target said that it leaves. One report that says so holds
// until the target is another incarnation.
func (a *Agent) updateLeaving(report expertmap.RankReport) {
	if !report.StartedAt.Equal(a.targetStartedAt) {
		a.targetStartedAt, a.targetLeaving = report.StartedAt, false
	}
	if report.Leaving && !a.targetLeaving {
		a.targetLeaving = true
		a.log.WithField("target", a.settings.TargetAddress).Info("target leaves")
	}
}

// ErrGroupUnnamed reports an engine whose group has no name. Its agent takes part in no
// votes, since it could not tell the messages of its group from those of others.
var ErrGroupUnnamed = eris.New("the engine's group has no name")

// attach creates the driver from the engine's first report. It does nothing while the
// engine belongs to no group, and fails with ErrGroupUnnamed or the engine's error.
func (a *Agent) attach(now time.Time) error {
	driver, err := expertmap.NewDriver(now, expertmap.Config{
		Incarnation: a.incarnation, PollInterval: pollInterval, PollStagger: pollStagger,
	}, a.engine, transport{a}, a)
	if err != nil {
		return err
	}
	report := a.engine.LastReport()
	if report.Size == 0 {
		return nil
	}
	if report.Group.Name == "" {
		return ErrGroupUnnamed
	}
	a.driver = driver
	a.resetForGroup(report, now)
	return nil
}

// engineIdentity identifies a run of an engine as a rank in one incarnation of a group;
// a restarted engine has a new one. It is compared with the identity for which the
// driver was last reset, not with that of the previous report: any call, not only
// refresh, may have read the first report with a new identity.
type engineIdentity struct {
	group       expertmap.GroupID
	rank        int
	startedAtMS int64
}

func identityOf(report expertmap.RankReport) engineIdentity {
	return engineIdentity{report.Group, report.Rank, report.StartedAt.UnixMilli()}
}

// resetForGroup resets the agent's state for a new incarnation of the group or of the
// engine.
func (a *Agent) resetForGroup(report expertmap.RankReport, now time.Time) {
	a.identity = identityOf(report)
	a.driver.Formed(now, a.engine.State())
	a.planner, a.directive, a.formedAt = nil, nil, now
	a.resetCounts(report.Rank, report.Size, now)
	a.assembly = rebalance.NewMapAssembler(report.Size)
	a.preparing, a.copiedSums = preparation{}, nil
	a.log.WithFields(logrus.Fields{
		"group": report.Group.String(), "rank": report.Rank, "size": report.Size, "running": report.Running,
	}).Info("group formed")
}

// releaseStrayHold makes the engine release the group if it holds the group for no
// proposal.
func (a *Agent) releaseStrayHold(now time.Time) {
	if !a.engine.LastReport().Holding || !a.driver.Agent().Idle() {
		a.strayHoldSince = time.Time{}
		return
	}
	if a.strayHoldSince.IsZero() {
		a.strayHoldSince = now
	}
	if err := a.engine.ReleaseStrayHold(now, a.strayHoldSince, a.driver.Agent().Current()); err != nil {
		a.log.WithError(err).Debug("releasing a stray hold failed")
	}
}
