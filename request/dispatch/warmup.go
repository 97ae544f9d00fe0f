package dispatch

import "time"

// coldWindow is the span over which requests to a cold target are counted.
const coldWindow = time.Second

// Warmup bounds the requests a second to a cold target over all processes: its
// own rate times Share, and Slack besides.
type Warmup struct {
	Share float64
	Slack int
}

// allowance is how many requests a second one of several processes may send to a
// cold target without a word from the others.
func (w Warmup) allowance(rate float64, processes int) int {
	total := rate*w.Share + float64(w.Slack)
	return max(int(total)/max(processes, 1), 1)
}

// cold tells whether the target is cold.
func (t *Target) cold(now time.Time) bool {
	return t.service != nil && t.service.WarmupRate > 0 && now.Before(t.coldUntil)
}

// coldFull tells whether a cold target has had its allowance of the last second.
func (t *Target) coldFull(warmup Warmup, processes int, now time.Time) bool {
	if !t.cold(now) {
		return false
	}
	t.forgetSends(now)
	return len(t.sends) >= warmup.allowance(t.service.WarmupRate, processes)
}

// noteSend remembers a request to the target.
func (t *Target) noteSend(now time.Time) {
	if t.service == nil || t.service.WarmupRate <= 0 {
		return
	}
	t.forgetSends(now)
	t.sends = append(t.sends, now)
}

func (t *Target) forgetSends(now time.Time) {
	old := 0
	for old < len(t.sends) && now.Sub(t.sends[old]) >= coldWindow {
		old++
	}
	t.sends = t.sends[old:]
}
