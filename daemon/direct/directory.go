package direct

import (
	"time"

	"verbenaseam.example/verbenaseam/platform"
)

const (
	// directoryTTL is how long callers may cache a response of the directory. It is
	// short because a leaving entry must keep serving callers with a cached response.
	directoryTTL = time.Second
	// maxCachingFactor is the multiple of directoryTTL for which some callers cache a
	// response.
	maxCachingFactor = 3
)

// resolve returns addresses of ready entries for the caller, and how long the caller may cache
// them.
func (e *Entry) resolve(query platform.DirectoryQuery) ([]string, time.Duration) {
	addresses := e.steering.answer(e.hosts(), query.FailureDomain)
	ttl := directoryTTL
	if maxTTL := e.bounds.Load().DirectoryTTL; maxTTL > 0 {
		ttl = min(ttl, maxTTL)
	}
	return addresses, ttl
}
