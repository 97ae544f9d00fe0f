package dispatch

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// MaxPause bounds the pause that a target may ask for. A target that still wants no
	// requests then asks again, and a wrong value does not take it out for good.
	MaxPause = 10 * time.Minute
	// resumeSpreadShare and maxResumeSpread bound the random time by which a process
	// prolongs a pause, as a share of it, so that not all processes resume together.
	resumeSpreadShare = 0.25
	maxResumeSpread   = 500 * time.Millisecond
	// rampStep is the time after a pause per request that the target may get, until
	// rampTime has passed.
	rampStep = 50 * time.Millisecond
	rampTime = time.Second
)

// pause is the time for which a target has asked this process to send it nothing.
type pause struct {
	// resumesAt is when the target may get requests again; zero if it never paused.
	resumesAt time.Time
	// startsSince counts the requests that it got since then.
	startsSince int
}

func (p *pause) active(now time.Time) bool { return now.Before(p.resumesAt) }

// allowsStart reports whether the target may get another request. After the pause it gets
// them one by one, not all that have queued at once.
func (p *pause) allowsStart(now time.Time) bool {
	return p.resumesAt.IsZero() || p.rampAllowsStart(now)
}

func (p *pause) rampAllowsStart(now time.Time) bool {
	since := now.Sub(p.resumesAt)
	switch {
	case since >= rampTime:
		return true
	case since < 0:
		return false
	default:
		return p.startsSince <= int(since/rampStep)
	}
}

// Pause records that a target has refused a request and asked this process to send it
// nothing for a time. That is not a failure of the target. It reports whether the target
// did not pause before.
func (d *Dispatcher) Pause(t *Target, wait time.Duration, now time.Time) bool {
	wait = min(wait, MaxPause)
	if wait <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	paused := d.pauseOf(t.incarnationID()).active(now)
	spread := min(time.Duration(resumeSpreadShare*float64(wait)), maxResumeSpread)
	end := now.Add(wait + time.Duration(rand.Float64()*float64(spread)))
	if end.After(d.pauseOf(t.incarnationID()).resumesAt) {
		d.applyPause(t.incarnationID(), &pause{resumesAt: end}, now)
	}
	return !paused
}

// applyPause sets the pause of an incarnation, also where that has another registration by
// now, and rejects the waiters that no target can serve in time any more.
func (d *Dispatcher) applyPause(id incarnationID, p *pause, now time.Time) {
	d.pauses[id] = p
	for _, pool := range d.pools {
		if t := pool.targets[id.target]; t != nil && t.incarnation == id.incarnation {
			t.pause = p
			d.rejectHopeless(pool, now)
		}
	}
}

// pauseOf returns the pause of an incarnation, which outlasts the removal of its target.
func (d *Dispatcher) pauseOf(id incarnationID) *pause {
	if known := d.pauses[id]; known != nil {
		return known
	}
	return &pause{}
}

// dropPauses forgets the pauses that have no effect any more.
func (d *Dispatcher) dropPauses(now time.Time) {
	maps.DeleteFunc(d.pauses, func(_ incarnationID, p *pause) bool { return now.Sub(p.resumesAt) >= rampTime })
}

// ResumesIn returns how long all usable targets of a service pause, or 0 if one of them
// does not.
func (d *Dispatcher) ResumesIn(service string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var first time.Duration
	for _, t := range d.pool(service).targets {
		if !t.usable(d.domainsOut) {
			continue
		}
		if !t.pause.active(now) {
			return 0
		}
		if left := t.pause.resumesAt.Sub(now); first == 0 || left < first {
			first = left
		}
	}
	return first
}

// MayStart reports whether a target that was chosen a moment ago may still get the
// request.
func (d *Dispatcher) MayStart(t *Target, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return t.usable(d.domainsOut) && !t.pause.active(now)
}
