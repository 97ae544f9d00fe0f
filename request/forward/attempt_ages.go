package forward

import (
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/request/capacity"
)

// attemptAges tells, from the time left that callers state, which of them have tried before.
type attemptAges struct {
	// mu guards routes.
	mu     sync.Mutex
	routes map[string]*capacity.FirstDeadlines
}

func newAttemptAges() *attemptAges {
	return &attemptAges{routes: map[string]*capacity.FirstDeadlines{}}
}

// age returns how long ago the caller of a route that states the given time left made its
// first attempt; 0 if this may be the first. Routes of earlier configurations stay in the map,
// whose size the operators' changes bound.
func (a *attemptAges) age(route string, left time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	deadlines := a.routes[route]
	if deadlines == nil {
		deadlines = &capacity.FirstDeadlines{}
		a.routes[route] = deadlines
	}
	return deadlines.Age(left)
}
