package retry

import "sync"

// Defaults of a Budget.
const (
	// DefaultBudgetRatio is the number of retries and hedges allowed per success.
	DefaultBudgetRatio = 0.1
	// DefaultBudgetCapacity is the maximum number of retries that can accumulate, and
	// the initial content of a budget.
	DefaultBudgetCapacity = 10
)

// Budget is a token bucket that successes fill and that retries and hedges
// drain. In any period the number of retries and hedges is at most the reserve,
// plus the share of the period's successes, plus the number of requests in
// flight at targets when they were lost, so that an outage cannot multiply the
// load.
type Budget struct {
	share   float64
	reserve float64

	// mu guards tokens. No other lock is acquired while it is held.
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget filled to its reserve.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, tokens: reserve}
}

// Succeeded adds the share of one success, up to the reserve.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < b.reserve {
		b.tokens = min(b.reserve, b.tokens+b.share)
	}
}

// Grant adds retries for requests that were in flight at a target when it was
// lost; each of them may be sent once more. The grant is limited to the
// requests at the target, so a target that stays down adds nothing more.
func (b *Budget) Grant(requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += float64(max(requests, 0))
}

// Take consumes one retry or hedge, or returns false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries left.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
