package direct

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/request/dispatch"
)

const (
	// crossingInterval is the time over which the share of requests that cross to other
	// failure domains is determined.
	crossingInterval = 5 * time.Second
	// crossingChange is the change of this share that is logged, and minCrossingRequests the
	// number of requests below which it says nothing.
	crossingChange      = 0.2
	minCrossingRequests = 20
)

// choiceReporter logs and counts how the dispatcher chooses targets.
type choiceReporter struct {
	entry *Entry
	log   *logrus.Entry
	// next is when the shares are next determined.
	next time.Time
	// counts are those at the last time, counted those that the metrics contain, and logged
	// the shares last logged, by service.
	counts, counted map[string]dispatch.CrossingCount
	logged          map[string]float64
}

func newChoiceReporter(e *Entry, log *logrus.Entry) *choiceReporter {
	return &choiceReporter{
		entry: e, log: log, counts: map[string]dispatch.CrossingCount{},
		counted: map[string]dispatch.CrossingCount{}, logged: map[string]float64{},
	}
}

// tick reports what has changed since the last call.
func (r *choiceReporter) tick(now time.Time) {
	for _, change := range r.entry.dispatcher.PaceChanges() {
		r.log.WithFields(logrus.Fields{
			"target": change.Target, "service": change.Service, "pace": change.Pace, "slow": change.Slow,
		}).Info("target's pace relative to the others changed")
	}
	if now.Before(r.next) {
		return
	}
	r.next = now.Add(crossingInterval)
	for service, count := range r.entry.dispatcher.CrossingCounts() {
		counted := r.counted[service]
		r.entry.metrics.AddCrossings(service, count.Crossed-counted.Crossed, count.Total-counted.Total)
		r.counted[service] = count
		before := r.counts[service]
		total := count.Total - before.Total
		if total < minCrossingRequests {
			continue
		}
		r.counts[service] = count
		share := float64(count.Crossed-before.Crossed) / float64(total)
		if math.Abs(share-r.logged[service]) >= crossingChange {
			r.log.WithFields(logrus.Fields{
				"service": service, "share": share, "before": r.logged[service], "requests": total,
			}).Info("share of requests sent to other failure domains changed")
			r.logged[service] = share
		}
	}
}
