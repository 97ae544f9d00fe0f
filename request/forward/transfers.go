package forward

import "sync"

// transferShare is the part of the difference by which the known size follows a new one.
const transferShare = 0.05

// transfers learns the mean size of requests and their responses by route, in bytes. The
// number of routes is bounded by the configuration.
type transfers struct {
	mu     sync.Mutex
	byName map[string]float64
}

// record records the bytes of the bodies of a request and its response.
func (t *transfers) record(route string, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byName == nil {
		t.byName = map[string]float64{}
	}
	known, ok := t.byName[route]
	if !ok {
		known = float64(bytes)
	}
	t.byName[route] = known + transferShare*(float64(bytes)-known)
}

// expected returns the mean size, or 0 if it is not known.
func (t *transfers) expected(route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byName[route]
}
