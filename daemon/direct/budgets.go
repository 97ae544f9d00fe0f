package direct

import (
	"sync"

	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/retry"
)

const (
	// mostEntries is for how many entries the slack of the retry bound is shared
	// out: each spends its part without a word from the others.
	mostEntries = 8
	// budgetShare is the part of the bound's share that is spent; the rest is room
	// for requests counted in another window.
	budgetShare = 0.7
)

// budgets holds the retry budgets by service.
type budgets struct {
	bounds settings.Bounds
	// mu guards services; it is a leaf.
	mu       sync.Mutex
	services map[string]*retry.Budget
}

func newBudgets(bounds settings.Bounds) *budgets {
	return &budgets{bounds: bounds, services: map[string]*retry.Budget{}}
}

// of returns the budget of a service.
func (b *budgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.services[service]
	if found == nil {
		reserve := max(float64(b.bounds.RetrySlack)/mostEntries, 1)
		found = retry.NewBudget(b.bounds.RetryShare*budgetShare, reserve)
		b.services[service] = found
	}
	return found
}
