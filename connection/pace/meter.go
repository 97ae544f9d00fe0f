// Package pace decides whether a peer moves bytes at a minimum rate: whether it reads what is
// sent to it and sends what it has begun to send.
//
// The load it is for: callers that read a byte now and then while events of a stream wait for
// them, targets that send a response or read a request body a few bytes at a time. The time of
// the last byte doesn't show that such a peer has stalled.
//
// Lock order: Monitor.mu is a leaf lock, except that Monitor.poll may lock the file descriptor.
package pace

import "time"

// Rate is the least progress of a peer that is not stalled: Bytes in each Window.
type Rate struct {
	Bytes  int64
	Window time.Duration
}

// Default is the rate that applies to callers and targets. A stream of tokens has 1 to 3 KB/s,
// and a peer at 128 B/s needs over a minute for the 8 KB of a short response. The window is
// longer than the 4.5 s for which hosts have been seen to freeze, and shorter than the 8 s that
// callers wait for a stream.
var Default = Rate{Bytes: 768, Window: 6 * time.Second}

// Meter measures progress while bytes wait for a peer. It does no I/O; times are passed in.
type Meter struct {
	rate    Rate
	waiting bool
	// windowStart is when the current window began; moved counts the bytes moved in it.
	windowStart time.Time
	moved       int64
}

// NewMeter returns a meter that isn't waiting.
func NewMeter(rate Rate) Meter { return Meter{rate: rate} }

// Wait records that bytes wait for the peer. It has no effect if some waited before.
func (m *Meter) Wait(now time.Time) {
	if !m.waiting {
		m.waiting, m.windowStart, m.moved = true, now, 0
	}
}

// Restart begins the window anew, without the bytes moved so far.
func (m *Meter) Restart(now time.Time) { m.windowStart, m.moved = now, 0 }

// Idle records that no bytes wait for the peer.
func (m *Meter) Idle() { m.waiting = false }

// Moved records n moved bytes. A window ends with the byte that completes Rate.Bytes.
func (m *Meter) Moved(n int64, now time.Time) {
	m.moved += n
	if m.moved >= m.rate.Bytes {
		m.windowStart, m.moved = now, 0
	}
}

// Stalled reports whether the peer has stalled. If it has not, left is the time until it has,
// unless bytes move; 0 if none wait.
func (m *Meter) Stalled(now time.Time) (stalled bool, left time.Duration) {
	if !m.waiting {
		return false, 0
	}
	left = m.windowStart.Add(m.rate.Window).Sub(now)
	return left <= 0, max(left, 0)
}
