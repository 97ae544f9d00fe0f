package drain

import (
	"context"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

func TestShutdownWaitsForEachStepInOrder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	work := NewInFlight()
	require.True(t, work.Begin())
	var order []string
	record := func(name string) Step {
		return Step{Name: name, Run: func(context.Context) error { order = append(order, name); return nil }}
	}
	failing := Step{Name: "fails", Run: func(context.Context) error { order = append(order, "fails"); return os.ErrClosed }}
	plan := Plan{Clock: clock, Limit: time.Minute, Steps: []Step{
		record("leave"), Wait("wait", clock, 5*time.Second), {Name: "finish", Run: work.CloseAndWait}, failing, record("close")}}
	done := make(chan error)
	go func() { done <- plan.Run(nil) }()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 2))
	require.True(t, work.Begin(), "work is accepted until the wait is over")
	clock.Advance(5 * time.Second)
	for work.Begin() {
		work.End()
	}
	require.Equal(t, 2, work.Count())
	work.End()
	work.End()
	err := <-done
	require.ErrorIs(t, err, os.ErrClosed)
	require.ErrorAs(t, err, new(*StepError))
	require.Equal(t, []string{"leave", "fails", "close"}, order)
}

// TestOnlySecondInterruptOrLimitAborts guards against a shutdown that a repeated termination signal
// aborts.
func TestOnlySecondInterruptOrLimitAborts(t *testing.T) {
	cases := []struct {
		desc    string
		abort   func(signals chan os.Signal, clock *clockwork.FakeClock)
		byLimit bool
	}{
		{"second interrupt", func(signals chan os.Signal, _ *clockwork.FakeClock) { signals <- syscall.SIGINT }, false},
		{"limit", func(_ chan os.Signal, clock *clockwork.FakeClock) { clock.Advance(time.Minute) }, true},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			signals := make(chan os.Signal, 2)
			start, abort := Signals(signals)
			work := NewInFlight()
			require.True(t, work.Begin())
			cancelled := make(chan struct{})
			stuck := Step{Name: "stuck", Run: func(ctx context.Context) error {
				defer close(cancelled)
				return work.CloseAndWait(ctx)
			}}
			plan := Plan{Clock: clock, Limit: time.Minute, Steps: []Step{stuck, {Name: "close"}}}
			signals <- syscall.SIGINT
			<-start
			done := make(chan error)
			go func() { done <- plan.Run(abort) }()
			require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
			clock.Advance(time.Minute - time.Nanosecond)
			for range 3 {
				signals <- syscall.SIGTERM
			}
			require.Eventually(t, func() bool { return len(signals) == 0 }, time.Second, time.Millisecond)
			select {
			case err := <-done:
				t.Fatalf("aborted too early: %v", err)
			default:
			}
			tc.abort(signals, clock)
			var aborted *AbortError
			require.ErrorAs(t, <-done, &aborted)
			require.Equal(t, []string{"stuck", "close"}, aborted.Unfinished)
			require.Equal(t, tc.byLimit, aborted.ByLimit)
			<-cancelled
		})
	}
}

// TestInFlightWorkIsFinishedOrRejected guards against work that outlives CloseAndWait:
// callers race with the shutdown, and each unit of work is rejected or has ended before
// CloseAndWait returns.
func TestInFlightWorkIsFinishedOrRejected(t *testing.T) {
	for range 200 {
		work := NewInFlight()
		var begun, ended atomic.Int64
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for work.Begin() {
					begun.Add(1)
					ended.Add(1)
					work.End()
				}
			})
		}
		require.NoError(t, work.CloseAndWait(t.Context()))
		require.Zero(t, work.Count())
		atReturn := ended.Load()
		callers.Wait()
		require.Equal(t, begun.Load(), atReturn)
	}
}
