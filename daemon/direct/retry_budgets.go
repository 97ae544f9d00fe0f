package direct

import (
	"sync"

	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/retry"
)

const (
	// maxEntries is the maximum number of entries. Limits that apply to all entries
	// together are divided by it, and each entry uses its part without coordination with
	// the others.
	maxEntries = 8
	// retryShareFraction is the fraction of settings.Bounds.RetryShare that is spent. The
	// rest is a margin for requests that are counted in another window.
	retryShareFraction = 0.7
)

// retryBudgets holds the retry budgets by service.
type retryBudgets struct {
	bounds settings.Bounds
	// mu guards byService. No other lock is acquired while it is held.
	mu        sync.Mutex
	byService map[string]*retry.Budget
}

func newRetryBudgets(bounds settings.Bounds) *retryBudgets {
	return &retryBudgets{bounds: bounds, byService: map[string]*retry.Budget{}}
}

// forService returns the budget of a service, and creates it on first use.
func (b *retryBudgets) forService(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		reserve := max(b.bounds.RetrySlack/maxEntries, 1)
		budget = retry.NewBudget(b.bounds.RetryShare*retryShareFraction, reserve)
		b.byService[service] = budget
	}
	return budget
}
