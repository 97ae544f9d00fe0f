package dispatch

import "time"

// recentProgress is how recently a target of the service must have made progress for
// a silent target to be considered at fault. If all are silent, another target is no
// better.
const recentProgress = 300 * time.Millisecond

// usualWait estimates how long requests of a service wait for the first part of their
// response. It lies near the longer ones: it rises quickly with longer waits and falls
// slowly with shorter ones.
type usualWait time.Duration

const (
	// riseShare and fallShare are the parts of the difference by which the estimate
	// follows a longer and a shorter wait.
	riseShare = 0.1
	fallShare = 0.01
	// silenceWaits is the least silence of a target at fault in multiples of the usual
	// wait. Without it, requests that wait behind others at a busy target would be sent
	// to another one, where they wait again.
	silenceWaits = 2
	// maxTimeoutFactor limits that to a multiple of the timeout: later, callers of a target
	// that has stalled give up before another target could answer.
	maxTimeoutFactor = 1.5
)

func (u *usualWait) record(wait time.Duration) {
	share := fallShare
	if wait > time.Duration(*u) {
		share = riseShare
	}
	*u += usualWait(share * float64(wait-time.Duration(*u)))
}

// Progress records that a target has responded or continued a stream.
func (d *Dispatcher) Progress(t *Target, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.lastProgress = now
	d.pool(t.registration.Service).lastProgress = now
}

// FirstProgress records the first part of a response, for which the request has waited at
// the target for the given time.
func (d *Dispatcher) FirstProgress(t *Target, wait time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pool(t.registration.Service)
	pool.usualWait.record(wait)
	pool.responseTimes.Observe(t.fullness(), wait, now)
	t.lastProgress, pool.lastProgress = now, now
}

// IsSilent reports whether a target is at fault for the silence of one of its requests:
// neither that request nor any other of this process has made progress there for the
// timeout, and for clearly longer than requests of the service usually wait, while other
// targets of the service have made progress.
func (d *Dispatcher) IsSilent(t *Target, silence, timeout time.Duration, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pool(t.registration.Service)
	timeout = max(timeout, min(silenceWaits*time.Duration(pool.usualWait), time.Duration(maxTimeoutFactor*float64(timeout))))
	return silence >= timeout && now.Sub(t.lastProgress) >= timeout && now.Sub(pool.lastProgress) < recentProgress
}
