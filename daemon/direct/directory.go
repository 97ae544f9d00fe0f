package direct

import (
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/request/steer"
)

const (
	// directoryTTL is how long callers may cache a response of the directory. It is
	// short because a leaving entry must keep serving callers with a cached response.
	directoryTTL = time.Second
	// maxCachingFactor is the multiple of directoryTTL for which some callers cache a
	// response.
	maxCachingFactor = 3
)

// resolve returns the addresses of the ready entries near the caller, and how long the
// caller may cache them.
func (e *Entry) resolve(query platform.DirectoryQuery) ([]string, time.Duration) {
	entries := e.peers.Ready(e.clock.Now())
	if e.ready() {
		entries = append(entries, e.self)
	}
	nearest := steer.Nearest(entries, query.FailureDomain)
	addresses := make([]string, 0, len(nearest))
	for _, entry := range nearest {
		addresses = append(addresses, entry.CallerAddress)
	}
	ttl := directoryTTL
	if maxTTL := e.bounds.Load().DirectoryTTL; maxTTL > 0 {
		ttl = min(ttl, maxTTL)
	}
	return addresses, ttl
}
