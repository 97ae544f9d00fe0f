package rank

import (
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// refresh reads the engine's report and follows the group from incarnation to
// incarnation.
func (a *Agent) refresh(now time.Time) {
	a.reported = now
	var report expertmap.RankReport
	var err error
	if a.driver == nil {
		err = a.attach(now)
		report = a.engine.LastReport()
	} else {
		report, err = a.engine.Refresh()
	}
	if err != nil {
		if !a.failing {
			a.log.WithError(err).Warn("target lost")
		}
		a.failing = true
		return
	}
	if a.failing {
		a.failing = false
		a.log.Info("target regained")
	}
	a.notePace(report.Slowdown)
	if a.driver != nil && a.place != placeOf(report) {
		a.formed(report, now)
	}
}

// notePace tells when the target turns slow and when it is back.
func (a *Agent) notePace(pace float64) {
	before := a.pace
	a.pace = pace
	if (before >= presence.SlowdownThreshold) == (pace >= presence.SlowdownThreshold) {
		return
	}
	a.log.WithFields(logrus.Fields{"pace": pace, "before": before}).Info("target's pace changed")
}

// attach connects to the engine for the first time.
func (a *Agent) attach(now time.Time) error {
	driver, err := expertmap.NewDriver(now, expertmap.Config{
		Incarnation: a.incarnation, PollInterval: patience, PollStagger: stagger,
	}, a.engine, transport{a}, a)
	if err != nil {
		return err
	}
	if a.engine.LastReport().Size == 0 {
		return nil
	}
	a.driver = driver
	a.formed(a.engine.LastReport(), now)
	return nil
}

// place is which rank of which incarnation of a group an engine is; an engine that
// has started anew has another one. Any call may read the report that brings it, so
// that it is not told from the report before.
type place struct {
	incarnation uint64
	rank        int
	born        int64
}

func placeOf(report expertmap.RankReport) place {
	return place{report.Incarnation, report.Rank, report.StartedAt.UnixMilli()}
}

// formed starts anew with another incarnation of the group.
func (a *Agent) formed(report expertmap.RankReport, now time.Time) {
	a.place = placeOf(report)
	a.driver.Formed(now, a.engine.State())
	a.planner, a.directive, a.since = nil, nil, now
	a.counts, a.counted = platform.Counts{}, time.Time{}
	a.assembly = rebalance.MapAssembler{}
	a.preparing = preparation{}
	a.log.WithFields(logrus.Fields{
		"group": report.Group, "incarnation": report.Incarnation, "rank": report.Rank, "size": report.Size, "running": report.Running,
	}).Info("group formed")
}

// dropStray lets a group go that is held for no proposal.
func (a *Agent) dropStray(now time.Time) {
	if !a.engine.LastReport().Holding || !a.driver.Agent().Idle() {
		a.stray = time.Time{}
		return
	}
	if a.stray.IsZero() {
		a.stray = now
	}
	if err := a.engine.ReleaseStrayHold(now, a.stray, a.driver.Agent().Current()); err != nil {
		a.log.WithError(err).Debug("stray hold not dropped")
	}
}
