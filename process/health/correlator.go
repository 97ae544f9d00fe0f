package health

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// DefaultWindow is the time within which failures count as simultaneous. It
	// covers the difference between the times at which two processes detect
	// failures that have a common cause.
	DefaultWindow = 3 * time.Second
	// DefaultHalfLife is the time in which an incident loses half of its weight.
	DefaultHalfLife = 30 * 24 * time.Hour
	// maxRecordedTargets is the maximum number of targets with recorded failures;
	// failures of further targets are ignored.
	maxRecordedTargets = 16384
)

// Config configures a Correlator.
type Config struct {
	// Window is the time within which failures count as simultaneous; 0 means
	// DefaultWindow.
	Window time.Duration
	// HalfLife is the half-life of the weight of an incident; 0 means DefaultHalfLife.
	HalfLife time.Duration
	// TargetCount is the number of all targets, 0 if unknown; see SetTargetCount.
	TargetCount int
	// Clock is the time source; nil means the real clock.
	Clock clockwork.Clock
}

// Correlator records failures and derives the groups of targets with correlated
// failures. It is safe for concurrent use; Related and Group take no lock.
type Correlator struct {
	clock    clockwork.Clock
	snapshot atomic.Pointer[groups]

	// mu guards the fields below.
	mu        sync.Mutex
	deriver   groupDeriver
	histories map[string]history
}

// NewCorrelator returns a Correlator without records.
func NewCorrelator(cfg Config) *Correlator {
	c := &Correlator{clock: cfg.Clock, histories: map[string]history{}}
	if c.clock == nil {
		c.clock = clockwork.NewRealClock()
	}
	c.deriver = groupDeriver{window: cfg.Window, halfLife: cfg.HalfLife, targetCount: cfg.TargetCount}
	if c.deriver.window <= 0 {
		c.deriver.window = DefaultWindow
	}
	if c.deriver.halfLife <= 0 {
		c.deriver.halfLife = DefaultHalfLife
	}
	c.snapshot.Store(&groups{})
	return c
}

// SetTargetCount sets the number of all targets. An incident that affects more than
// maxIncidentFraction (four fifths) of them does not count as evidence for a group.
func (c *Correlator) SetTargetCount(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deriver.targetCount = n
	c.refresh()
}

// Record merges failures that this process detected or a peer reported. It returns
// those that were new; the caller passes them on to the peers. Merging is idempotent
// and commutative.
func (c *Correlator) Record(failures ...Failure) []Failure {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fresh []Failure
	for _, f := range failures {
		if f.Target == "" || (c.histories[f.Target] == nil && len(c.histories) >= maxRecordedTargets) {
			continue
		}
		merged, changed := c.histories[f.Target].merge(f)
		if changed {
			c.histories[f.Target] = merged
			fresh = append(fresh, f)
		}
	}
	if len(fresh) > 0 {
		c.refresh()
	}
	return fresh
}

// Refresh recomputes the groups with the current weights of the incidents and drops the
// records of targets without a failure in the last four half-lives. Call it several
// times a day.
func (c *Correlator) Refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.clock.Now().Add(-4 * c.deriver.halfLife)
	for target, h := range c.histories {
		if h.last().Before(oldest) {
			delete(c.histories, target)
		}
	}
	c.refresh()
}

// refresh publishes a new snapshot of the groups. The caller holds mu.
func (c *Correlator) refresh() {
	c.snapshot.Store(c.deriver.derive(c.all(), c.clock.Now()))
}

// all returns all recorded failures. The caller holds mu.
func (c *Correlator) all() []Failure {
	var list []Failure
	for _, h := range c.histories {
		list = append(list, h...)
	}
	return list
}

// Failures returns all recorded failures, to be sent to a peer that has just started.
func (c *Correlator) Failures() []Failure {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all()
}

// CountRecentlyFailed returns the number of targets with a failure less than span
// ago.
func (c *Correlator) CountRecentlyFailed(span time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.clock.Now().Add(-span)
	count := 0
	for _, h := range c.histories {
		if h.last().After(since) {
			count++
		}
	}
	return count
}

// Related reports whether two different targets are in the same group.
func (c *Correlator) Related(a, b string) bool {
	snapshot := c.snapshot.Load()
	groupA, ok := snapshot.groupOf[a]
	if !ok || a == b {
		return false
	}
	groupB, ok := snapshot.groupOf[b]
	return ok && groupA == groupB
}

// Group returns the group of the target, including the target itself; nil if it is in
// no group. The caller must not modify it.
func (c *Correlator) Group(target string) []string {
	snapshot := c.snapshot.Load()
	id, ok := snapshot.groupOf[target]
	if !ok {
		return nil
	}
	return snapshot.members[id]
}
