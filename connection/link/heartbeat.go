package link

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// smoothedRTTDivisor is the inverse weight of a new sample in the moving average
// of the round-trip time.
const smoothedRTTDivisor = 8

// heartbeat tracks the outstanding ping of a link and the round-trip time.
type heartbeat struct {
	// mu guards the fields below.
	mu           sync.Mutex
	timer        clockwork.Timer
	stopped      bool
	nonce        uint64
	sentAt       time.Time
	awaitingPong bool
	lastTick     time.Time
	smoothedRTT  time.Duration
}

func (l *Link) startHeartbeat() {
	h := &l.heartbeat
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastTick = l.config.Clock.Now()
	h.timer = l.config.Clock.AfterFunc(l.config.HeartbeatInterval, l.heartbeatTick)
}

// heartbeatTick runs at every HeartbeatInterval. It sends a ping, or ends the link
// if the outstanding ping is overdue.
func (l *Link) heartbeatTick() {
	nonce, pingAge := l.heartbeat.tick(l.config)
	if pingAge > 0 {
		l.fail(&HeartbeatTimeoutError{PingAge: pingAge})
		return
	}
	if nonce != 0 {
		l.putUrgent(&frame{Kind: framePing, Value: nonce})
	}
}

// tick returns the nonce of a ping to send, or 0 for none. If the outstanding ping
// is overdue, pingAge is its age, else 0.
func (h *heartbeat) tick(config Config) (nonce uint64, pingAge time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return 0, 0
	}
	now := config.Clock.Now()
	tickLate := now.Sub(h.lastTick) > 2*config.HeartbeatInterval
	h.lastTick = now
	h.timer.Reset(config.HeartbeatInterval)
	if !h.awaitingPong {
		h.nonce++
		h.awaitingPong = true
		h.sentAt = now
		return h.nonce, 0
	}
	if tickLate {
		// The tick is late because this process was suspended or starved of CPU
		// time. The pong may have arrived without having been read yet, so the
		// time-out is restarted.
		h.sentAt = now
		return 0, 0
	}
	if age := now.Sub(h.sentAt); age >= config.HeartbeatTimeout {
		return 0, age
	}
	return 0, 0
}

// handlePong records the reply to a ping. It returns false if no ping with this
// nonce is outstanding.
func (h *heartbeat) handlePong(nonce uint64, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.awaitingPong || nonce != h.nonce {
		return false
	}
	h.awaitingPong = false
	sample := now.Sub(h.sentAt)
	if h.smoothedRTT == 0 {
		h.smoothedRTT = sample
		return true
	}
	h.smoothedRTT += (sample - h.smoothedRTT) / smoothedRTTDivisor
	return true
}

func (h *heartbeat) roundTrip() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.smoothedRTT
}

func (h *heartbeat) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	if h.timer != nil {
		h.timer.Stop()
	}
}
