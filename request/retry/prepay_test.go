package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/failure"
)

// TestPrepaidRetryIsChargedOnce guards against an attempt that is given up for a retry that the budget
// then refuses, and against retries that are charged twice or never returned.
func TestPrepaidRetryIsChargedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	lost := failure.New(failure.IncompleteAnswer, failure.Unknown, "lost")
	newSession := func(budget *Budget) *Session {
		return NewSession(Policy{MaxAttempts: 2, Deadline: start.Add(time.Second), Budget: budget, MinAttemptTime: 20 * time.Millisecond})
	}
	t.Run("used", func(t *testing.T) {
		budget := NewBudget(0, 1)
		s := newSession(budget)
		s.Begin()
		require.True(t, s.Prepay(start))
		require.False(t, s.Prepay(start), "one retry may follow an attempt")
		require.False(t, budget.Take(), "another request must not get it")
		require.True(t, s.Failed(lost, start, 0).Retry)
		s.Begin()
		require.False(t, s.Failed(lost, start, 0).Retry)
		require.Zero(t, budget.Tokens())
	})
	t.Run("returned after a success", func(t *testing.T) {
		budget := NewBudget(0, 1)
		s := newSession(budget)
		s.Begin()
		require.True(t, s.Prepay(start))
		require.True(t, s.Succeeded(start))
		require.Equal(t, 1.0, budget.Tokens())
	})
	t.Run("returned after a final failure", func(t *testing.T) {
		budget := NewBudget(0, 1)
		s := newSession(budget)
		s.Begin()
		require.True(t, s.Prepay(start))
		require.False(t, s.Failed(failure.New(failure.BadRequest, failure.Unknown, "no"), start, 0).Retry)
		require.Equal(t, 1.0, budget.Tokens())
	})
	t.Run("refused", func(t *testing.T) {
		s := newSession(NewBudget(0, 0))
		s.Begin()
		require.False(t, s.Prepay(start), "no budget")
		s = newSession(NewBudget(0, 1))
		s.Begin()
		require.False(t, s.Prepay(start.Add(990*time.Millisecond)), "no time")
	})
}

// TestHedgeOfAStalledAttemptNeedsBudgetAndTime guards against attempts beside a stalled one beyond the
// maximum, the deadline or the budget.
func TestHedgeOfAStalledAttemptNeedsBudgetAndTime(t *testing.T) {
	start := time.Unix(1000, 0)
	budget := NewBudget(0, 5)
	s := NewSession(Policy{MaxAttempts: 3, Deadline: start.Add(time.Second), Budget: budget, MinAttemptTime: 20 * time.Millisecond})
	s.Begin()
	require.False(t, s.HedgeStalled(start.Add(time.Second)))
	for range 2 {
		require.True(t, s.HedgeStalled(start))
		s.Begin()
	}
	require.False(t, s.HedgeStalled(start))
	require.Equal(t, 3.0, budget.Tokens())
	refused := failure.New(failure.Overloaded, failure.NotRun, "full")
	require.True(t, s.Failed(refused, start, 0).Wait)
	require.True(t, s.Failed(refused, start, 0).Wait)
	require.Equal(t, GiveUpAttempts, s.Failed(refused, start, 0).Reason)
	require.Equal(t, failure.NotRun, s.Outcome())
}
