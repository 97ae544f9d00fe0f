package admit

import (
	"context"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/version/table"
)

func newTestQueue(capacity, maxQueued int) *FairQueue {
	return NewFairQueue(FairQueueConfig{Capacity: capacity, MaxQueued: maxQueued, Clock: clockwork.NewFakeClock()})
}

// mustPush queues a request without waiting for it.
func mustPush(t require.TestingT, q *FairQueue, r Request) *Waiter {
	w := newWaiter(q, r)
	if shed := q.push(w); shed != nil {
		require.NoError(t, shed)
	}
	return w
}

func (w *Waiter) hasSlot() bool {
	select {
	case <-w.ready:
		return w.shedError == nil
	default:
		return false
	}
}

// serve runs n requests one after another and counts those that ran by
// organisation and by class.
func serve(q *FairQueue, waiters []*Waiter, n int) map[string]int {
	counts := map[string]int{}
	ended := map[*Waiter]bool{}
	for range n {
		for _, w := range waiters {
			if w.hasSlot() && !ended[w] {
				ended[w] = true
				counts[w.organisation]++
				counts[fmt.Sprint("rank ", w.rank)]++
				w.Release()
				break
			}
		}
	}
	return counts
}

func TestFairQueueSharesByWeight(t *testing.T) {
	tests := []struct {
		desc     string
		requests []Request
		want     map[string]int
	}{
		{
			"equal weights share equally",
			[]Request{{Organisation: "a"}, {Organisation: "b"}},
			map[string]int{"a": 50, "b": 50},
		},
		{
			"a weight of three gets three quarters",
			[]Request{{Organisation: "a", Weight: 3}, {Organisation: "b"}},
			map[string]int{"a": 75, "b": 25},
		},
		{
			"requests count by their cost",
			[]Request{{Organisation: "a", Cost: 4}, {Organisation: "b"}},
			map[string]int{"a": 20, "b": 80},
		},
		{
			"classes share 16 to 4",
			[]Request{{Organisation: "a", Class: table.ClassHigh}, {Organisation: "b", Class: table.ClassNormal}},
			map[string]int{"a": 80, "b": 20},
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			q := newTestQueue(1, 1000)
			var waiters []*Waiter
			for range 200 {
				for _, r := range tt.requests {
					waiters = append(waiters, mustPush(t, q, r))
				}
			}
			counts := serve(q, waiters, 100)
			for organisation, want := range tt.want {
				require.InDelta(t, want, counts[organisation], 2, organisation)
			}
		})
	}
}

func TestFairQueueShedsLowestClassAndLongestQueueFirst(t *testing.T) {
	q := newTestQueue(0, 4)
	ctx := context.Background()
	low := mustPush(t, q, Request{Organisation: "a", Class: table.ClassLow})
	longest := []*Waiter{}
	for range 3 {
		longest = append(longest, mustPush(t, q, Request{Organisation: "greedy", Class: table.ClassNormal}))
	}
	mustPush(t, q, Request{Organisation: "b", Class: table.ClassNormal})
	require.Equal(t, failure.Overloaded, low.shedError.Kind)
	require.Equal(t, failure.NotRun, low.shedError.Outcome)
	require.Positive(t, low.shedError.RetryAfter)

	mustPush(t, q, Request{Organisation: "c", Class: table.ClassNormal})
	require.NotNil(t, longest[2].shedError, "the newest request of the longest queue is shed")
	require.Nil(t, longest[1].shedError)

	_, err := q.Acquire(ctx, Request{Organisation: "greedy", Class: table.ClassNormal})
	require.Equal(t, failure.Overloaded, failure.From(err).Kind, "the longest queue does not grow")
	_, err = q.Acquire(ctx, Request{Organisation: "d", Class: table.ClassLow})
	require.Equal(t, failure.Overloaded, failure.From(err).Kind, "there is no lower class to shed")
	require.EqualValues(t, 2, q.State().Shed[table.ClassLow])
	require.Zero(t, q.State().Shed[table.ClassHigh])
}

func TestFairQueueRequeueKeepsPosition(t *testing.T) {
	q := newTestQueue(1, 10)
	first := mustPush(t, q, Request{Organisation: "a"})
	second := mustPush(t, q, Request{Organisation: "a"})
	q.SetCapacity(0)
	first.Requeue()
	require.False(t, first.hasSlot())
	q.SetCapacity(1)
	require.True(t, first.hasSlot(), "ahead of the others of its organisation")
	require.False(t, second.hasSlot())
	first.Release()
	first.Requeue()
	require.True(t, second.hasSlot())
	second.Release()
	require.Zero(t, q.State().Running)
	require.Zero(t, q.State().Queued)
}

func TestFairQueueSetLowestClassShedsLowerClasses(t *testing.T) {
	q := newTestQueue(0, 10)
	low := mustPush(t, q, Request{Class: table.ClassLow})
	high := mustPush(t, q, Request{Class: table.ClassHigh})
	q.SetLowestClass(table.ClassNormal)
	require.NotNil(t, low.shedError)
	require.Nil(t, high.shedError)
	require.NotNil(t, q.push(newWaiter(q, Request{Class: table.ClassLow})))
	q.SetLowestClass(table.ClassLow)
	require.Nil(t, q.push(newWaiter(q, Request{Class: table.ClassLow})))
}

func TestFairQueueAcquireEndsWithContext(t *testing.T) {
	q := newTestQueue(0, 10)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := q.Acquire(ctx, Request{Organisation: "a"})
	require.Equal(t, failure.DeadlineExceeded, failure.From(err).Kind)
	require.Equal(t, failure.NotRun, failure.From(err).Outcome)
	require.Zero(t, q.State().Organisations, "an idle organisation has no state")
	q.SetCapacity(1)
	release, err := q.Acquire(context.Background(), Request{Organisation: "a"})
	require.NoError(t, err)
	release()
	release()
	require.Zero(t, q.State().Running)
	require.Zero(t, q.State().Organisations)
}

// TestFairQueueInvariants checks on random runs that the capacity and the bound of
// the queue are respected, that no waiter is lost, and that an empty queue has no
// state.
func TestFairQueueInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := newTestQueue(3, 5)
		capacity := 3
		var open []*Waiter
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				w := newWaiter(q, Request{
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "organisation"),
					Class:        rapid.SampledFrom(classOrder[:]).Draw(rt, "class"),
					Cost:         rapid.Float64Range(0, 9).Draw(rt, "cost"),
				})
				if q.push(w) == nil {
					open = append(open, w)
				}
			case 5:
				if i := rapid.IntRange(0, len(open)).Draw(rt, "requeued"); i < len(open) {
					open[i].Requeue()
				}
			case 2:
				capacity = rapid.IntRange(0, 4).Draw(rt, "capacity")
				q.SetCapacity(capacity)
			default:
				open = endWaiter(rt, q, open)
			}
			checkCounts(rt, q, open)
		}
		q.SetCapacity(4)
		for len(open) > 0 {
			open = endWaiter(rt, q, open)
		}
		require.Zero(rt, q.State().Organisations)
		require.Zero(rt, q.State().Running)
	})
}

// endWaiter ends one random waiter in any state.
func endWaiter(rt *rapid.T, q *FairQueue, open []*Waiter) []*Waiter {
	if len(open) == 0 {
		return open
	}
	i := rapid.IntRange(0, len(open)-1).Draw(rt, "which")
	w := open[i]
	switch {
	case w.hasSlot():
		w.Release()
	case w.shedError == nil:
		w.Release()
		w.Release()
	}
	return append(open[:i:i], open[i+1:]...)
}

func checkCounts(rt *rapid.T, q *FairQueue, open []*Waiter) {
	state := q.State()
	running, waiting := 0, 0
	for _, w := range open {
		switch {
		case w.hasSlot():
			running++
		case w.shedError == nil:
			waiting++
		}
	}
	require.Equal(rt, running, state.Running)
	require.Equal(rt, waiting, state.Queued)
	require.LessOrEqual(rt, waiting+running, 5+4, "the bounds of the queue and of the capacity")
	if running < state.Capacity {
		require.Zero(rt, waiting, "no request waits while a slot is free")
	}
}
