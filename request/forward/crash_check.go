package forward

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/poison"
)

const (
	// checkRounds is how often a target is checked after it interrupted a request, and
	// checkInterval the time between. The second round finds a process that was still
	// closing its sockets in the first one.
	checkRounds   = 2
	checkInterval = 50 * time.Millisecond
	// checkTimeout limits one check.
	checkTimeout = 500 * time.Millisecond
)

// targetChecks holds the targets that are being checked for a crash.
type targetChecks struct {
	// mu guards rounds; it is a leaf lock.
	mu sync.Mutex
	// rounds holds how many rounds are left, by target.
	rounds map[*dispatch.Target]int
}

func newTargetChecks() *targetChecks {
	return &targetChecks{rounds: map[*dispatch.Target]int{}}
}

// request asks for all rounds. It reports whether the caller must run them, because
// nobody does yet.
func (c *targetChecks) request(t *dispatch.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, running := c.rounds[t]
	c.rounds[t] = checkRounds
	return !running
}

// next reports whether another round is to be run.
func (c *targetChecks) next(t *dispatch.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rounds[t] == 0 {
		delete(c.rounds, t)
		return false
	}
	c.rounds[t]--
	return true
}

// checkTarget finds out whether a target that interrupted a request has crashed. Without
// it, that would show only in the next request to the target, which may come too late or
// once the target is back.
func (h *Handler) checkTarget(t *dispatch.Target) {
	if !h.dispatcher.IsRegistered(t) || !h.checks.request(t) {
		return
	}
	go func() {
		for h.checks.next(t) {
			if err := h.connect(t); errors.Is(err, syscall.ECONNREFUSED) {
				h.crashes.TargetEnded(t.ID(), t.Incarnation(), poison.ConnectionRefused)
			}
			<-h.clock.After(checkInterval)
		}
	}()
}

// checkParts finds out whether a target still lives after it interrupted a stream that had
// begun. If so, the parts of the stream's prompt have not crashed it.
func (h *Handler) checkParts(parts []uint64, t *dispatch.Target) {
	if len(parts) == 0 {
		return
	}
	<-h.clock.After(checkRounds * checkInterval)
	if h.connect(t) == nil {
		h.crashes.PartsRan(parts)
	}
}

func (h *Handler) connect(t *dispatch.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return h.connections(t).Check(ctx)
}

// updateCrashEvidence reports to the crash detector what a response to a request that was
// sent at the given time, or the error err in place of one, implies about a crash of the
// target.
func (h *Handler) updateCrashEvidence(c *call, t *dispatch.Target, sent time.Time, err error, v verdict) {
	if c.trial != 0 && v.missedTarget(err) {
		h.crashes.TrialUnsent(c.trial)
	}
	switch {
	case v.result == dispatch.AddressReused:
		h.crashes.TargetEnded(t.ID(), t.Incarnation(), poison.AddressTaken)
	case errors.Is(err, syscall.ECONNREFUSED):
		h.crashes.TargetEnded(t.ID(), t.Incarnation(), poison.ConnectionRefused)
	case err == nil:
		h.crashes.TargetResponded(t.ID(), t.Incarnation(), sent)
	case v.failedAfterSend() && !h.dispatcher.IsLeaving(t):
		h.crashes.RequestInterrupted(t.ID(), t.Incarnation(), poison.Interruption{
			Subject: c.suspected(), Trial: c.trial, ConnectedAt: h.connections(t).LastDial(),
		})
		h.checkTarget(t)
		if !c.firstEvent.IsZero() && !c.ran {
			go h.checkParts(c.subject.Parts, t)
		}
	}
}
