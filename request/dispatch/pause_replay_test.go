package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	replayStep = time.Millisecond
	// replayTrip is the time from a start until the target refuses the request, and
	// replayService until it has served it.
	replayTrip    = 3 * time.Millisecond
	replayService = 40 * time.Millisecond
	// replayExcused is how long after a refusal requests that are on their way may arrive.
	replayExcused = 500 * time.Millisecond
)

// replayedRequest is a request at a target.
type replayedRequest struct {
	to     *Target
	ends   time.Time
	served bool
}

// pauseReplay sends a steady load to targets of which the first refuses at some times, with
// a pause, and counts what reaches it.
type pauseReplay struct {
	d *Dispatcher
	// refuses reports for how long the first target asks to be left alone at a time; 0 if
	// it serves.
	refuses func(elapsed time.Duration) time.Duration
	running []replayedRequest
	waiting []*Waiter
	// served counts the requests served by the first target and by the others.
	servedFirst, servedOthers int
	// pauses are the spans in which nothing may reach the first target, and intruders how
	// many requests did.
	pauses    []pauseSpan
	intruders int
}

type pauseSpan struct{ from, to time.Time }

func (r *pauseReplay) run(length, arrivalInterval time.Duration) {
	for now := start; now.Sub(start) < length; now = now.Add(replayStep) {
		r.end(now)
		r.d.Tick(now)
		r.collect(now)
		if now.Sub(start)%arrivalInterval == 0 {
			to, waiter := r.d.Acquire(Request{Service: "s", QueueDeadline: now.Add(300 * time.Millisecond)}, now)
			if to != nil {
				r.begin(to, now)
			} else if waiter != nil {
				r.waiting = append(r.waiting, waiter)
			}
		}
	}
}

// collect starts the waiting requests that have been granted a target.
func (r *pauseReplay) collect(now time.Time) {
	r.waiting = slices.DeleteFunc(r.waiting, func(w *Waiter) bool {
		granted := drain(w)
		if len(granted) > 0 && granted[0] != nil {
			r.begin(granted[0], now)
		}
		return len(granted) > 0
	})
}

func (r *pauseReplay) begin(to *Target, now time.Time) {
	request := replayedRequest{to: to, ends: now.Add(replayService), served: true}
	if to.ID() == "t0" {
		if slices.ContainsFunc(r.pauses, func(p pauseSpan) bool { return now.After(p.from) && now.Before(p.to) }) {
			r.intruders++
		}
		if r.refuses(now.Sub(start)) > 0 {
			request.ends, request.served = now.Add(replayTrip), false
		}
	}
	r.running = append(r.running, request)
}

// end ends the requests that are due.
func (r *pauseReplay) end(now time.Time) {
	r.running = slices.DeleteFunc(r.running, func(request replayedRequest) bool {
		if now.Before(request.ends) {
			return false
		}
		switch wait := r.refuses(now.Sub(start)); {
		case !request.served:
			r.d.Pause(request.to, wait, now)
			r.d.Release(request.to, Full, now)
			r.pauses = append(r.pauses, pauseSpan{now.Add(replayExcused), now.Add(wait)})
		case request.to.ID() == "t0":
			r.servedFirst++
			r.d.Release(request.to, Served, now)
		default:
			r.servedOthers++
			r.d.Release(request.to, Served, now)
		}
		return true
	})
}

// TestTargetThatPausesInTurnWithServingIsUsed replays a load on a target that serves for two
// seconds and then wants nothing for two, again and again. It guards against requests within
// the pauses, and against a target that stays unused, or is ejected, when it serves again.
func TestTargetThatPausesInTurnWithServingIsUsed(t *testing.T) {
	const (
		phase           = 2 * time.Second
		cycles          = 10
		arrivalInterval = 6 * time.Millisecond
	)
	r := &pauseReplay{d: newDispatcher(2, 4), refuses: func(elapsed time.Duration) time.Duration {
		if into := elapsed % (2 * phase); into >= phase {
			return 2*phase - into
		}
		return 0
	}}
	r.run(cycles*2*phase, arrivalInterval)
	require.Zero(t, r.intruders)
	require.NotEmpty(t, r.pauses)
	// After each pause it gets what the gentle return allows, and then half of the load.
	ramped, shared := int(rampTime/rampStep), int((phase-rampTime-maxResumeSpread)/arrivalInterval/2)
	require.GreaterOrEqual(t, r.servedFirst, cycles*(ramped+shared))
	require.False(t, r.d.pool("s").targets["t0"].health.ejected(start.Add(cycles*2*phase)))
}

// TestTargetThatPausesAgainAndAgainGetsFewRequests replays a load on a target that refuses
// whenever it is asked. It guards against a queue that meets it after each pause.
func TestTargetThatPausesAgainAndAgainGetsFewRequests(t *testing.T) {
	for _, wait := range []time.Duration{400 * time.Millisecond, 2 * time.Second} {
		r := &pauseReplay{d: newDispatcher(2, 4), refuses: func(time.Duration) time.Duration { return wait }}
		const length = 20 * time.Second
		r.run(length, 6*time.Millisecond)
		require.Zero(t, r.intruders)
		require.Zero(t, r.servedFirst)
		require.LessOrEqual(t, len(r.pauses), 2*int(length/wait), "at most two requests a pause, after the first ones")
		require.Positive(t, r.servedOthers)
	}
}
