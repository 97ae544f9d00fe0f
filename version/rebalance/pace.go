package rebalance

import "time"

// paceSpan is the time over which the time of a step is taken.
const paceSpan = 500 * time.Millisecond

// pace follows how long a group's steps take beside the longest pause that a
// stream may have: each writing stream gets one event a step.
type pace struct {
	gap time.Duration
	// began is when the span began, first the step then.
	began time.Time
	first uint64
	// took is the time of a step in the last span.
	took time.Duration
}

// note takes in the last step that was begun.
func (p *pace) note(step uint64, now time.Time) {
	if p.began.IsZero() || step < p.first {
		p.began, p.first = now, step
		return
	}
	span := now.Sub(p.began)
	if span < paceSpan {
		return
	}
	p.took = 0
	if steps := step - p.first; steps > 0 {
		p.took = span / time.Duration(steps)
	}
	p.began, p.first = now, step
}

// share is the time of a step over the longest pause of a stream; 1 if no pause
// is known.
func (p *pace) share() float64 {
	if p.gap <= 0 {
		return 1
	}
	return float64(p.took) / float64(p.gap)
}
