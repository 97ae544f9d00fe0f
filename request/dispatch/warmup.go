package dispatch

import "time"

// sendWindow is the sliding window in which requests to a cold target are counted.
const sendWindow = time.Second

// Warmup bounds the requests per second that all processes together send to a cold
// target: the target's own warm-up rate times Share, plus Slack.
type Warmup struct {
	Share float64
	Slack float64
}

// total returns how many requests per second all processes together may send to a cold
// target with the given warm-up rate.
func (w Warmup) total(rate float64) int { return int(rate*w.Share + w.Slack) }

// warmupPart is the number of requests per second that this process may send to a target
// while that is cold.
type warmupPart struct {
	// rate and generation are those for which perSecond was derived.
	rate       float64
	generation uint64
	perSecond  int
}

// allowance returns how many requests per second this process may send to a cold target
// without coordinating with the others. It is 0 for some processes if there are more of
// them than requests that the target bears.
func (d *Dispatcher) allowance(t *Target) int {
	rate := t.service.WarmupRate
	if t.warmup.generation != d.generation || t.warmup.rate != rate {
		t.warmup = warmupPart{rate: rate, generation: d.generation, perSecond: d.processes.part(d.warmup.total(rate), t.ID())}
	}
	return t.warmup.perSecond
}

// cold reports whether the target is still warming up.
func (t *Target) cold(now time.Time) bool {
	return t.service != nil && t.service.WarmupRate > 0 && now.Before(t.coldUntil)
}

// warmupExhausted reports whether the target is cold and this process has sent its
// allowance within the last sendWindow.
func (d *Dispatcher) warmupExhausted(t *Target, now time.Time) bool {
	if !t.cold(now) {
		return false
	}
	t.pruneSends(now)
	return len(t.sends) >= d.allowance(t)
}

// recordSend records the time of a request to the target, if its service limits
// requests to cold targets.
func (t *Target) recordSend(now time.Time) {
	if t.service == nil || t.service.WarmupRate <= 0 {
		return
	}
	t.pruneSends(now)
	t.sends = append(t.sends, now)
}

func (t *Target) pruneSends(now time.Time) {
	expired := 0
	for expired < len(t.sends) && now.Sub(t.sends[expired]) >= sendWindow {
		expired++
	}
	t.sends = t.sends[expired:]
}
