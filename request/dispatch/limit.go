package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"verbenaseam.example/verbenaseam/process/presence"
)

const (
	// limitTTL is how long the limit of an incarnation that is not registered is kept.
	limitTTL = 10 * time.Minute
	// liftedTTL is how long a lifted limit is kept, to overrule earlier statements that
	// other processes report.
	liftedTTL = 30 * time.Second
)

// rateLimit is the latest of what is known of the requests a second that an incarnation
// takes from all processes together.
type rateLimit struct {
	perSecond float64
	// lifted is set if it names no limit any more.
	lifted bool
	// statedAt is when it last said so to any process, ownAt when to this process; zero
	// for never. changedAt is when this process learned of the rate, or of its end.
	statedAt, ownAt, changedAt time.Time
	// lastStart is when this process last sent the target a request, or when its part of the
	// limit began.
	lastStart time.Time
	part      limitPart
}

// same reports whether both state the same rate, or both none.
func (l *rateLimit) same(other *rateLimit) bool {
	return l.lifted == other.lifted && (l.lifted || l.perSecond == other.perSecond)
}

// ValidRate reports whether a number can be a limit, in requests a second.
func ValidRate(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 1) }

// RecordLimit records how many requests a second a target told this process that it takes
// from all processes together. It reports whether that is news.
func (d *Dispatcher) RecordLimit(t *Target, perSecond float64, now time.Time) bool {
	if !ValidRate(perSecond) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t.limitKnown = true
	return d.applyLimit(t.incarnationID(), rateLimit{perSecond: perSecond, statedAt: now, ownAt: now}, now)
}

// RecordNoLimit records that a target named no limit in the response to a request that was
// sent at the given time. That lifts an earlier limit unless it has named one since. It
// reports whether a limit is lifted.
func (d *Dispatcher) RecordNoLimit(t *Target, sent, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.limitKnown = true
	known := d.limits[t.incarnationID()]
	if known == nil || known.lifted || sent.Before(known.statedAt) {
		return false
	}
	return d.applyLimit(t.incarnationID(), rateLimit{lifted: true, statedAt: now, ownAt: now}, now)
}

// applyLimit records a statement unless a later one is known. It reports whether that is news.
func (d *Dispatcher) applyLimit(id incarnationID, stated rateLimit, now time.Time) bool {
	known := d.limits[id]
	if known == nil {
		if stated.lifted {
			return false
		}
		known = &rateLimit{lifted: true}
		d.limits[id] = known
	}
	if stated.statedAt.Before(known.statedAt) {
		return false
	}
	changed := !known.same(&stated)
	begins := known.lifted && !stated.lifted
	if changed {
		known.perSecond, known.lifted, known.ownAt, known.changedAt = stated.perSecond, stated.lifted, time.Time{}, now
	}
	known.statedAt = stated.statedAt
	if !stated.ownAt.IsZero() {
		known.ownAt = stated.ownAt
	}
	if begins {
		d.beginLimit(id, known, now)
	}
	if changed {
		d.setLimit(id, known, now)
	}
	return changed
}

// MergeLimits records the limits that targets named to another process. It returns those
// that were not known.
func (d *Dispatcher) MergeLimits(reported []presence.TargetLimit, now time.Time) []presence.TargetLimit {
	if len(reported) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var news []presence.TargetLimit
	for _, report := range reported {
		if !ValidRate(report.PerSecond) || report.Age() >= limitTTL {
			continue
		}
		stated := rateLimit{perSecond: report.PerSecond, lifted: report.Lifted, statedAt: now.Add(-report.Age())}
		if d.applyLimit(incarnationID{report.Target, report.Incarnation}, stated, now) {
			news = append(news, report)
		}
	}
	return news
}

// Limits returns what targets told this process of their limits, to be reported in the next
// heartbeat: the latest news, and one of the others in turn.
func (d *Dispatcher) Limits(now time.Time) []presence.TargetLimit {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reportLimits(d.limitReports.next(d.ownLimits(), now), now)
}

// AllLimits returns all that targets told this process of their limits, for a process that
// has just started.
func (d *Dispatcher) AllLimits(now time.Time) []presence.TargetLimit {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reportLimits(slices.SortedFunc(maps.Keys(d.ownLimits()), compareIncarnations), now)
}

// ownLimits returns when this process learned of the limits that targets told it.
func (d *Dispatcher) ownLimits() map[incarnationID]time.Time {
	own := map[incarnationID]time.Time{}
	for id, limit := range d.limits {
		if !limit.ownAt.IsZero() {
			own[id] = limit.changedAt
		}
	}
	return own
}

func (d *Dispatcher) reportLimits(ids []incarnationID, now time.Time) []presence.TargetLimit {
	var reports []presence.TargetLimit
	for _, id := range ids {
		limit := d.limits[id]
		reports = append(reports, presence.TargetLimit{
			Target: id.target, Incarnation: id.incarnation, PerSecond: limit.perSecond, Lifted: limit.lifted,
			AgeMillis: now.Sub(limit.ownAt).Milliseconds(),
		})
	}
	return reports
}

// dropLimits forgets the limits that were lifted, or of incarnations that have ended.
func (d *Dispatcher) dropLimits(now time.Time) {
	for id, limit := range d.limits {
		age := now.Sub(limit.statedAt)
		if limit.lifted && age >= liftedTTL || age >= limitTTL && !d.registered(id) {
			delete(d.limits, id)
			d.setLimit(id, nil, now)
		}
	}
}

// registered reports whether an incarnation is registered.
func (d *Dispatcher) registered(id incarnationID) bool {
	for _, pool := range d.pools {
		if t := pool.targets[id.target]; t != nil && t.incarnation == id.incarnation {
			return true
		}
	}
	return false
}
