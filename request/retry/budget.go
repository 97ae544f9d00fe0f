package retry

import "sync"

// Defaults of a Budget.
const (
	// DefaultBudgetRatio is the number of retries and hedges allowed per success.
	DefaultBudgetRatio = 0.1
	// DefaultBudgetCapacity is the maximum number of retries that successes can
	// accumulate, and the initial content of a budget.
	DefaultBudgetCapacity = 10
)

// Budget is a token bucket that successes fill and that retries and hedges
// drain. In any period the number of retries and hedges is at most the capacity,
// plus the ratio times the period's successes, plus the number of requests in
// flight at targets when they were lost, so that an outage cannot multiply the
// load.
type Budget struct {
	ratio    float64
	capacity float64

	// mu guards tokens. No other lock is acquired while it is held.
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget filled to its capacity.
func NewBudget(ratio, capacity float64) *Budget {
	return &Budget{ratio: ratio, capacity: capacity, tokens: capacity}
}

// Succeeded adds the ratio for one success, up to the capacity.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < b.capacity {
		b.tokens = min(b.capacity, b.tokens+b.ratio)
	}
}

// SetCapacity changes the capacity. Tokens beyond it are lost.
func (b *Budget) SetCapacity(capacity float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// Grant adds one retry for each request that was in flight at a target when it
// was lost, also beyond the capacity. A target that stays down holds no further
// requests, so it adds nothing more.
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
