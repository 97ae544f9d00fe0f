package rebalance

import "time"

// stepWindow is the time over which the mean step time is measured.
const stepWindow = 500 * time.Millisecond

// stepTimer measures the mean step time of a group and compares it with the longest
// gap allowed between two events of a stream. Every active stream receives one
// event per step.
type stepTimer struct {
	maxGap time.Duration
	// windowStart is the start of the current window, firstStep the step at that
	// time.
	windowStart time.Time
	firstStep   uint64
	// stepTime is the mean step time in the last complete window; 0 if no step
	// started in it.
	stepTime time.Duration
}

// record takes the number of the last step that has started.
func (t *stepTimer) record(step uint64, now time.Time) {
	if t.windowStart.IsZero() || step < t.firstStep {
		t.windowStart, t.firstStep = now, step
		return
	}
	elapsed := now.Sub(t.windowStart)
	if elapsed < stepWindow {
		return
	}
	t.stepTime = 0
	if steps := step - t.firstStep; steps > 0 {
		t.stepTime = elapsed / time.Duration(steps)
	}
	t.windowStart, t.firstStep = now, step
}

// gapShare returns the ratio of the mean step time to the longest allowed gap; 1 if
// no such gap is known.
func (t *stepTimer) gapShare() float64 {
	if t.maxGap <= 0 {
		return 1
	}
	return float64(t.stepTime) / float64(t.maxGap)
}
