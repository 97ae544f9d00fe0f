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

// allowance returns how many requests per second one of several processes may send
// to a cold target without coordinating with the others.
func (w Warmup) allowance(rate float64, processes int) int {
	total := rate*w.Share + w.Slack
	return max(int(total)/max(processes, 1), 1)
}

// cold reports whether the target is still warming up.
func (t *Target) cold(now time.Time) bool {
	return t.service != nil && t.service.WarmupRate > 0 && now.Before(t.coldUntil)
}

// warmupExhausted reports whether the target is cold and this process has sent its
// allowance within the last sendWindow.
func (t *Target) warmupExhausted(warmup Warmup, processes int, now time.Time) bool {
	if !t.cold(now) {
		return false
	}
	t.pruneSends(now)
	return len(t.sends) >= warmup.allowance(t.service.WarmupRate, processes)
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
