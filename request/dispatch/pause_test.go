package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/process/target"
)

// TestPausingTargetGetsNothing guards against requests to a target that asked for a pause,
// against a pause that counts as a failure, and against a later answer that shortens it.
func TestPausingTargetGetsNothing(t *testing.T) {
	d := newDispatcher(1, 4)
	only := take(t, d, start)
	d.Release(only, Full, start)
	require.True(t, d.Pause(only, 2*time.Second, start))
	require.False(t, d.Pause(only, 400*time.Millisecond, start), "it pauses already")
	for _, now := range []time.Duration{0, time.Second, 2*time.Second - time.Millisecond} {
		taken, waiter := d.Acquire(Request{Service: "s", QueueDeadline: at(now + 300*time.Millisecond)}, at(now))
		require.Nil(t, taken)
		if now < time.Second {
			require.Nil(t, waiter, "the pause does not end in time")
		} else if waiter != nil {
			d.CancelWait(waiter)
		}
	}
	require.False(t, only.health.ejected(start))
	require.NotNil(t, take(t, d, at(2*time.Second+maxResumeSpread)))
}

// TestWaitersAreRejectedWhenThePauseEndsTooLate guards against requests that are held until
// their time is up although it is known that nobody will take them.
func TestWaitersAreRejectedWhenThePauseEndsTooLate(t *testing.T) {
	d := newDispatcher(1, 1)
	only := take(t, d, start)
	patient, impatient := work(1), work(1)
	patient.QueueDeadline, impatient.QueueDeadline = at(5*time.Second), at(300*time.Millisecond)
	_, waits := d.Acquire(patient, start)
	_, rejected := d.Acquire(impatient, start)
	d.Pause(only, 2*time.Second, start)
	d.Release(only, Full, start)
	require.Contains(t, drain(rejected), (*Target)(nil))
	require.Empty(t, drain(waits))
	require.InDelta(t, 2.25, d.ResumesIn("s", start).Seconds(), 0.25)
	d.Tick(at(2*time.Second + maxResumeSpread))
	require.Equal(t, []*Target{only}, drain(waits))
}

// TestQueueDoesNotFallOnTargetAtTheEndOfItsPause guards against all queued requests being
// sent at the same instant to a target that has just asked for a pause.
func TestQueueDoesNotFallOnTargetAtTheEndOfItsPause(t *testing.T) {
	d := newDispatcher(1, 12)
	d.Pause(d.pool("s").targets["t0"], time.Second, start)
	patient := work(1)
	patient.QueueDeadline = at(10 * time.Second)
	for range 12 {
		_, waiter := d.Acquire(patient, start)
		require.NotNil(t, waiter)
	}
	resumes := start.Add(d.ResumesIn("s", start))
	d.Tick(resumes)
	require.Equal(t, map[string]int{"t0": 1}, d.Load())
	d.Tick(resumes.Add(4 * rampStep))
	require.Equal(t, map[string]int{"t0": 5}, d.Load())
	d.Tick(resumes.Add(rampTime))
	require.Equal(t, map[string]int{"t0": 12}, d.Load())
}

// TestPausedTargetsAreNoSpareCapacity guards against requests being taken from slow targets,
// or kept from ejected ones, for the sake of targets that pause.
func TestPausedTargetsAreNoSpareCapacity(t *testing.T) {
	d := newDispatcher(4, 4)
	targets := d.pool("s").targets
	for _, id := range []string{"t2", "t3"} {
		d.Pause(targets[id], time.Minute, start)
	}
	for _, id := range []string{"t0", "t1"} {
		targets[id].health.ejectedUntil = at(time.Minute)
	}
	require.Contains(t, []string{"t0", "t1"}, take(t, d, start).ID(), "all that do not pause are ejected")
}

// TestPauseIsBounded guards against a target that is out for good because of a wrong value.
func TestPauseIsBounded(t *testing.T) {
	d := newDispatcher(1, 1)
	only := take(t, d, start)
	d.Release(only, Full, start)
	require.False(t, d.Pause(only, 0, start))
	require.False(t, d.Pause(only, -time.Second, start))
	d.Pause(only, 1000*time.Hour, start)
	require.NotNil(t, take(t, d, at(MaxPause+maxResumeSpread)))
}

// noticeModel checks a dispatcher against what its targets have said.
type noticeModel struct {
	t   *rapid.T
	d   *Dispatcher
	now time.Time
	// left holds the incarnations that said that they leave, pausedUntil the end of the
	// pauses that they asked for.
	left        map[incarnationID]bool
	pausedUntil map[incarnationID]time.Time
	// incarnation is the current one of each target, by number.
	incarnation map[int]int64
	taken       []*Target
	waiters     []*Waiter
}

const modelCapacity = 2

func newNoticeModel(t *rapid.T) *noticeModel {
	m := &noticeModel{
		t: t, d: newDispatcher(3, modelCapacity), now: start,
		left: map[incarnationID]bool{}, pausedUntil: map[incarnationID]time.Time{}, incarnation: map[int]int64{},
	}
	for n := range 3 {
		m.register(n)
	}
	return m
}

func (m *noticeModel) registration(n int) target.Registration {
	r := registration(n, modelCapacity)
	r.StartedAt = time.UnixMilli(m.incarnation[n])
	return r
}

func (m *noticeModel) register(n int) { m.d.Register(m.registration(n), m.now) }

// checkStart checks that a target may get a request now.
func (m *noticeModel) checkStart(to *Target) {
	id := to.incarnationID()
	if m.left[id] {
		m.t.Fatalf("%v said that it leaves", id)
	}
	if m.now.Before(m.pausedUntil[id]) {
		m.t.Fatalf("%v pauses until %v, now %v", id, m.pausedUntil[id], m.now)
	}
	m.taken = append(m.taken, to)
}

func (m *noticeModel) collect() {
	m.waiters = slices.DeleteFunc(m.waiters, func(w *Waiter) bool {
		granted := drain(w)
		if len(granted) > 0 && granted[0] != nil {
			m.checkStart(granted[0])
		}
		return len(granted) > 0
	})
}

// checkNobodyStarves checks that no request waits while a target has been free long enough.
func (m *noticeModel) checkNobodyStarves() {
	if len(m.waiters) == 0 {
		return
	}
	load := m.d.Load()
	for id, to := range m.d.pool("s").targets {
		free := to.usable(nil) && load[id] < modelCapacity && m.now.Sub(to.pause.resumesAt) >= rampTime && !m.now.Before(to.fullUntil)
		if free {
			m.t.Fatalf("requests wait while %s is free", id)
		}
	}
}

// TestNoticesHoldUnderRandomEvents guards against starts at targets that leave or pause, and
// against requests that wait although a target is free, over random responses,
// registrations, restarts, reports of other processes and reused addresses.
func TestNoticesHoldUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newNoticeModel(t)
		drawTaken := func() *Target {
			if len(m.taken) == 0 {
				t.Skip("nothing runs")
			}
			return rapid.SampledFrom(m.taken).Draw(t, "running at")
		}
		drawNumber := func() int { return rapid.IntRange(0, 2).Draw(t, "target") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				m.d.Tick(m.now)
				m.collect()
				m.checkNobodyStarves()
			},
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"arrive": func(t *rapid.T) {
				deadline := m.now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(t, "patience")) * time.Millisecond)
				to, waiter := m.d.Acquire(Request{Service: "s", QueueDeadline: deadline}, m.now)
				if to != nil {
					m.checkStart(to)
				} else if waiter != nil {
					m.waiters = append(m.waiters, waiter)
				}
			},
			"end": func(t *rapid.T) {
				to := drawTaken()
				i := slices.Index(m.taken, to)
				m.taken = slices.Delete(m.taken, i, i+1)
				m.d.Release(to, rapid.SampledFrom([]Result{Served, Full, Abandoned}).Draw(t, "result"), m.now)
			},
			"say leaving": func(*rapid.T) {
				to := drawTaken()
				m.d.RecordLeaving(to, m.now)
				m.left[to.incarnationID()] = true
			},
			"ask for pause": func(t *rapid.T) {
				to := drawTaken()
				wait := time.Duration(rapid.IntRange(1, 10000).Draw(t, "pause")) * time.Millisecond
				m.d.Pause(to, wait, m.now)
				if end := m.now.Add(wait); end.After(m.pausedUntil[to.incarnationID()]) {
					m.pausedUntil[to.incarnationID()] = end
				}
			},
			"register again": func(*rapid.T) { m.register(drawNumber()) },
			"remove":         func(*rapid.T) { m.d.Remove(fmt.Sprintf("t%d", drawNumber())) },
			"restart": func(*rapid.T) {
				n := drawNumber()
				m.incarnation[n]++
				m.register(n)
			},
			"reuse address": func(*rapid.T) {
				n := drawNumber()
				r := m.registration(n)
				r.Address = m.registration((n + 1) % 3).Address
				m.d.Register(r, m.now)
			},
			"hear of leaving": func(t *rapid.T) {
				n := drawNumber()
				age := time.Duration(rapid.IntRange(0, 60000).Draw(t, "age")) * time.Millisecond
				m.d.MergeLeavings([]presence.TargetLeaving{presence.NewTargetLeaving(fmt.Sprintf("t%d", n), fmt.Sprint(m.incarnation[n]), age)}, m.now)
			},
		})
	})
}
