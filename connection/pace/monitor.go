package pace

import (
	"sync"
	"time"
)

// pollsPerWindow is how often a window is checked for bytes that moved unnoticed.
const pollsPerWindow = 8

// maxLateShare is the part of a window by which a check may be late and still judge the peer.
const maxLateShare = 8

// Monitor calls a function when a peer has stalled. It is safe for concurrent use. A nil
// Monitor does nothing.
type Monitor struct {
	rate Rate
	// poll returns how many bytes have moved since its last call, and whether bytes still wait;
	// nil if Moved and Idle report all of that.
	poll func() (moved int64, waiting bool)
	// onStall is called at most once, and not after Close has returned.
	onStall func()

	// mu guards the fields below.
	mu    sync.Mutex
	meter Meter
	// timer runs check; armed is set while it is about to.
	timer *time.Timer
	armed bool
	// due is when the timer is to run check.
	due             time.Time
	stalled, closed bool
}

// NewMonitor returns a monitor of a peer for which no bytes wait. It returns nil for a rate
// without a window. poll may be nil. The caller must call Close.
func NewMonitor(rate Rate, poll func() (moved int64, waiting bool), onStall func()) *Monitor {
	if rate.Window <= 0 {
		return nil
	}
	return &Monitor{rate: rate, poll: poll, onStall: onStall, meter: NewMeter(rate)}
}

// Wait records that bytes wait for the peer.
func (m *Monitor) Wait() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.meter.Wait(now)
	if !m.armed && !m.closed && !m.stalled {
		m.arm(m.interval(m.rate.Window), now)
	}
}

// arm has the timer run check after a time. The caller holds mu.
func (m *Monitor) arm(after time.Duration, now time.Time) {
	m.armed, m.due = true, now.Add(after)
	if m.timer == nil {
		m.timer = time.AfterFunc(after, m.check)
		return
	}
	m.timer.Reset(after)
}

// Moved records n moved bytes.
func (m *Monitor) Moved(n int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.Moved(int64(n), time.Now())
}

// Idle records that no bytes wait for the peer. The timer, if armed, is left to run: a stream
// alternates between waiting and idle with each event.
func (m *Monitor) Idle() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.Idle()
}

// Close ends the monitoring and reports whether the peer has stalled.
func (m *Monitor) Close() (stalled bool) {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	if m.timer != nil {
		m.timer.Stop()
	}
	return m.stalled
}

// Stalled reports whether the peer has stalled.
func (m *Monitor) Stalled() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stalled
}

func (m *Monitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.armed = false
	if m.closed {
		return
	}
	now := time.Now()
	if now.Sub(m.due) > m.rate.Window/maxLateShare {
		// This process was frozen or had no processor: the peer could move nothing.
		m.meter.Restart(now)
	}
	if m.poll != nil {
		moved, waiting := m.poll()
		m.meter.Moved(moved, now)
		if !waiting {
			m.meter.Idle()
		}
	}
	stalled, left := m.meter.Stalled(now)
	if stalled {
		m.stalled = true
		m.onStall()
		return
	}
	if left > 0 {
		m.arm(m.interval(left), now)
	}
}

// interval returns the time until the next check, given the time after which the peer has
// stalled if no bytes move.
func (m *Monitor) interval(left time.Duration) time.Duration {
	if m.poll == nil {
		return left
	}
	return min(left, m.rate.Window/pollsPerWindow)
}
