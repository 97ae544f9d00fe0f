package finish

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

const (
	grace       = 8 * time.Second
	callersGone = 3 * time.Second
)

var start = time.Unix(1000, 0)

// endingGuard is a guard whose runs took the given times, at the moment when its process has the
// given time left.
func endingGuard(left time.Duration, work Work, took ...time.Duration) (*Guard, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(start)
	g := NewGuard(clock)
	for _, d := range took {
		run := g.Begin("id", "t", work)
		clock.Advance(d)
		run.End(true)
	}
	now := clock.Now()
	g.EndBy(Ending{By: now.Add(grace), CallersGone: now.Add(callersGone)})
	clock.Advance(grace - left)
	return g, clock
}

func repeated(d time.Duration, count int) []time.Duration {
	all := make([]time.Duration, count)
	for at := range all {
		all[at] = d
	}
	return all
}

// TestAllowsOnlyWhatCanBeFinished guards against requests that are passed on although the process
// ends before they do, and against quick ones that are refused.
func TestAllowsOnlyWhatCanBeFinished(t *testing.T) {
	work, other := Work{Route: "r", Resource: 1}, Work{Route: "r", Resource: 2}
	const quick, slow = 30 * time.Millisecond, 4500 * time.Millisecond
	cases := []struct {
		desc       string
		left       time.Duration
		took       []time.Duration
		work       Work
		deadline   time.Duration
		repeatable bool
		allowed    bool
	}{
		{"quick, nearly until the end", 100 * time.Millisecond, []time.Duration{quick}, work, grace, false, true},
		{"slow, enough time", 6 * time.Second, []time.Duration{slow}, work, grace, false, true},
		{"slow, too little time", 4800 * time.Millisecond, []time.Duration{slow}, work, grace, false, false},
		{"slow, but answered at its deadline", 4 * time.Second, []time.Duration{slow}, work, 3 * time.Second, false, true},
		{"one slow among quick ones", 4 * time.Second, append(repeated(quick, 99), slow), other, grace, false, false},
		{"one slow of another resource", 4 * time.Second, repeated(quick, 3), work, grace, false, true},
		{"few may be cut while the directory sends callers", 6 * time.Second, append(repeated(quick, 99), 7*time.Second), other, grace, true, true},
		{"but no orders", 6 * time.Second, append(repeated(quick, 99), 7*time.Second), other, grace, false, false},
		{"and none later", 4 * time.Second, append(repeated(quick, 99), 7*time.Second), other, grace, true, false},
		{"not known, repeatable, while the directory sends callers", 6 * time.Second, nil, work, grace, true, true},
		{"not known, an order", 6 * time.Second, nil, work, grace, false, false},
		{"not known, later", 4 * time.Second, nil, work, grace, true, false},
		{"no time left", 0, []time.Duration{quick}, work, grace, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			g, clock := endingGuard(tc.left, work, tc.took...)
			request := Request{Work: tc.work, Deadline: clock.Now().Add(tc.deadline), Repeatable: tc.repeatable}
			require.Equal(t, tc.allowed, g.Allows(request))
		})
	}
}

// TestRunsUnderWayCount guards against requests that are allowed because none of those that take
// long has ended yet.
func TestRunsUnderWayCount(t *testing.T) {
	work := Work{Route: "r"}
	g, clock := endingGuard(grace, work, 20*time.Millisecond)
	slow := g.Begin("slow", "t", work)
	request := Request{Work: work, Deadline: start.Add(time.Hour)}
	clock.Advance(20 * time.Millisecond)
	require.True(t, g.Allows(request))
	clock.Advance(20 * time.Millisecond)
	require.False(t, g.Allows(request), "one takes longer than all before, so that nothing is known")
	repeatable := request
	repeatable.Repeatable = true
	require.True(t, g.Allows(repeatable), "while the directory sends callers")
	require.Equal(t, []*Run{slow}, g.Unfinished())
	slow.End(false)
	slow.End(true)
	require.True(t, g.Allows(request), "it failed, which says nothing of others")
	require.Empty(t, g.Unfinished())
}

// TestOldDurationsAreForgotten guards against one slow request that has its route refused for ever.
func TestOldDurationsAreForgotten(t *testing.T) {
	work := Work{Route: "r"}
	clock := clockwork.NewFakeClockAt(start)
	g := NewGuard(clock)
	for _, took := range []time.Duration{5 * time.Second, 10 * time.Millisecond} {
		run := g.Begin("id", "t", work)
		clock.Advance(took)
		run.End(true)
		clock.Advance(2 * window)
	}
	run := g.Begin("id", "t", work)
	clock.Advance(10 * time.Millisecond)
	run.End(true)
	g.EndBy(Ending{By: clock.Now().Add(time.Second)})
	require.True(t, g.Allows(Request{Work: work, Deadline: clock.Now().Add(time.Hour)}))
}

// TestResourcesAreBounded guards against memory that grows with what callers name.
func TestResourcesAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	g := NewGuard(clock)
	for n := range 3 * maxResources {
		g.Begin("id", "t", Work{Route: "r", Resource: uint64(n)}).End(true)
		if n == 2*maxResources {
			clock.Advance(3 * window)
		}
	}
	require.Len(t, g.resources, maxResources-1, "those of the last window, without the old ones")
	require.Len(t, g.routes, 1)
}

// TestEndEndsContexts checks that what is under way at the end learns why it ends.
func TestEndEndsContexts(t *testing.T) {
	g := NewGuard(clockwork.NewFakeClockAt(start))
	require.False(t, g.Ending())
	ended, cancel := g.Bind(t.Context())
	defer cancel()
	finished, cancelFinished := g.Bind(t.Context())
	cancelFinished()
	require.ErrorIs(t, context.Cause(finished), context.Canceled)
	require.NoError(t, ended.Err())
	g.End()
	<-ended.Done()
	require.ErrorIs(t, context.Cause(ended), ErrProcessEnds)
	require.True(t, g.Ending())
	require.False(t, g.Allows(Request{Deadline: start.Add(time.Hour)}))
	late, cancelLate := g.Bind(t.Context())
	defer cancelLate()
	<-late.Done()
}
