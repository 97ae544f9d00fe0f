package rollout

import (
	"sync"

	"verbenaseam.example/verbenaseam/version/table"
)

// partsCache caches the encoded parts of the full table that peers are fetching. A
// version stays cached until a new fetch finds the newest table to be ahead by more
// than half of maxCatchUpEntries, so that fetches in progress can complete.
type partsCache struct {
	// mu guards the fields below. No other lock is taken while it is held.
	mu      sync.Mutex
	version uint64
	parts   [][]byte
}

// part returns the requested part of the cached version. A new fetch replaces the
// cached version by t if t is much newer.
func (c *partsCache) part(t *table.Table, fetch FetchPart) Part {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fetch.Version == 0 && t.Version > c.version+maxCatchUpEntries/2 || c.version == 0 {
		body, err := EncodeTable(t)
		if err != nil {
			return Part{}
		}
		c.version, c.parts = t.Version, splitBody(body)
	}
	known := fetch.Version == 0 || fetch.Version == c.version
	if !known || fetch.Part < 0 || fetch.Part >= len(c.parts) {
		return Part{Version: c.version, Part: fetch.Part}
	}
	return Part{Version: c.version, Part: fetch.Part, Parts: len(c.parts), Body: c.parts[fetch.Part]}
}
