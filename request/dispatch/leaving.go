package dispatch

import (
	"cmp"
	"time"

	"verbenaseam.example/verbenaseam/process/presence"
)

const (
	// leavingTTL is how long this process remembers that a target told it that it leaves;
	// the target has ended long before.
	leavingTTL = 10 * time.Minute
	// reportedLeavingTTL is how long it believes another process that says so.
	reportedLeavingTTL = 30 * time.Second
)

// incarnationID identifies an incarnation of a target.
type incarnationID struct{ target, incarnation string }

func (t *Target) incarnationID() incarnationID { return incarnationID{t.ID(), t.incarnation} }

// leavingNotice is what is known of an incarnation that said that it leaves. It may say
// so only once, and to one process.
type leavingNotice struct {
	// at is when it said so.
	at time.Time
	// own is set if it told this process, and not only another one.
	own bool
}

func (n leavingNotice) valid(now time.Time) bool {
	if n.own {
		return now.Sub(n.at) < leavingTTL
	}
	return now.Sub(n.at) < reportedLeavingTTL
}

// RecordLeaving records that a target told this process that it leaves. It gets no new
// requests from then on, whatever its registration says; another incarnation does. The
// result is false if that was known.
func (d *Dispatcher) RecordLeaving(t *Target, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := t.incarnationID()
	known := d.leaving[id]
	if known.own {
		return false
	}
	d.leaving[id] = leavingNotice{at: now, own: true}
	d.applyLeaving(id, now)
	return known.at.IsZero()
}

// IsLeaving reports whether a target has registered or said that it leaves.
func (d *Dispatcher) IsLeaving(t *Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return t.registration.Leaving || t.saidLeaving
}

// TargetsAt returns the leaving reports of the targets that have registered with an address
// and a time of their start, for an agent that knows its target by these only.
func (d *Dispatcher) TargetsAt(address string, startedAt time.Time) []presence.TargetLeaving {
	d.mu.Lock()
	defer d.mu.Unlock()
	var reports []presence.TargetLeaving
	for _, pool := range d.pools {
		for _, t := range pool.targets {
			if t.registration.Address == address && t.registration.StartedAt.Equal(startedAt) {
				reports = append(reports, presence.NewTargetLeaving(t.ID(), t.incarnation, 0))
			}
		}
	}
	return reports
}

// MergeLeavings records the targets that told another process that they leave. It returns
// those that were not known.
func (d *Dispatcher) MergeLeavings(reported []presence.TargetLeaving, now time.Time) []presence.TargetLeaving {
	if len(reported) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var added []presence.TargetLeaving
	for _, report := range reported {
		id := incarnationID{report.Target, report.Incarnation}
		notice := leavingNotice{at: now.Add(-report.Age())}
		known, exists := d.leaving[id]
		if !notice.valid(now) || exists && (known.own || !notice.at.After(known.at)) {
			continue
		}
		d.leaving[id] = notice
		d.applyLeaving(id, now)
		if !exists {
			added = append(added, report)
		}
	}
	return added
}

// applyLeaving marks the target with the given ID, if it is registered, and rejects the
// waiters that no target can serve any more.
func (d *Dispatcher) applyLeaving(id incarnationID, now time.Time) {
	for _, pool := range d.pools {
		if t := pool.targets[id.target]; t != nil && t.incarnation == id.incarnation && !t.saidLeaving {
			t.saidLeaving = true
			d.rejectHopeless(pool, now)
		}
	}
}

// dropLeavings forgets the notices that are no longer valid.
func (d *Dispatcher) dropLeavings(now time.Time) {
	for id, notice := range d.leaving {
		if notice.valid(now) {
			continue
		}
		delete(d.leaving, id)
		for _, pool := range d.pools {
			if t := pool.targets[id.target]; t != nil && t.incarnation == id.incarnation {
				t.saidLeaving = false
			}
		}
	}
}

// Leavings returns the targets that told this process that they leave, to be reported in
// the next heartbeat: the latest ones, and one of the earlier ones in turn.
func (d *Dispatcher) Leavings(now time.Time) []presence.TargetLeaving {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := map[incarnationID]time.Time{}
	for id, notice := range d.leaving {
		if notice.own {
			own[id] = notice.at
		}
	}
	var reports []presence.TargetLeaving
	for _, id := range d.leavingReports.next(own, now) {
		reports = append(reports, presence.NewTargetLeaving(id.target, id.incarnation, now.Sub(own[id])))
	}
	return reports
}

func compareIncarnations(a, b incarnationID) int {
	return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(a.incarnation, b.incarnation))
}
