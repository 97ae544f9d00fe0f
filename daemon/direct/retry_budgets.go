package direct

import (
	"sync"

	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/retry"
)

const (
	// retryShareFraction is the fraction of settings.Bounds.RetryShare that is spent. The
	// rest is a margin for requests that are counted in another window.
	retryShareFraction = 0.7
	// retrySlackFraction is the fraction of settings.Bounds.RetrySlack that all entries
	// together hold in reserve. The rest is a margin for entries that restart, which do
	// not know what they spent before.
	retrySlackFraction = 0.5
	// minRetryReserve is the least reserve of an entry: without a whole retry it could
	// make none.
	minRetryReserve = 1
)

// retryBudgets holds the retry budgets by service.
type retryBudgets struct {
	bounds settings.Bounds
	// mu guards the fields below. The lock of a budget is acquired while it is held.
	mu        sync.Mutex
	byService map[string]*retry.Budget
	// entries is the number of entries, among which the reserve is divided.
	entries int
}

// newRetryBudgets returns the budgets of the only entry.
func newRetryBudgets(bounds settings.Bounds) *retryBudgets {
	return &retryBudgets{bounds: bounds, byService: map[string]*retry.Budget{}, entries: 1}
}

// setEntries sets the number of entries.
func (b *retryBudgets) setEntries(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if count == b.entries {
		return
	}
	b.entries = count
	for _, budget := range b.byService {
		budget.SetCapacity(b.reserve())
	}
}

// reserve returns the retries that one entry holds in reserve.
func (b *retryBudgets) reserve() float64 {
	return max(retrySlackFraction*b.bounds.RetrySlack/float64(b.entries), minRetryReserve)
}

// forService returns the budget of a service, and creates it on first use.
func (b *retryBudgets) forService(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewBudget(b.bounds.RetryShare*retryShareFraction, b.reserve())
		b.byService[service] = budget
	}
	return budget
}
