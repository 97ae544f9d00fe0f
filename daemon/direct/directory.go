package direct

import (
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/request/steer"
)

// directoryTTL is how long callers keep an answer of the directory: short, since
// some keep it three times as long, and a leaving entry must serve them.
const directoryTTL = time.Second

// resolve answers a caller that asks where to connect.
func (e *Entry) resolve(question platform.Question) ([]string, time.Duration) {
	entries := e.peers.Ready(e.clock.Now())
	if e.ready() {
		entries = append(entries, e.self)
	}
	near := steer.Nearest(entries, question.FailureDomain)
	addresses := make([]string, 0, len(near))
	for _, entry := range near {
		addresses = append(addresses, entry.CallerAddress)
	}
	ttl := directoryTTL
	if most := e.bounds.Load().DirectoryTTL; most > 0 {
		ttl = min(ttl, most)
	}
	return addresses, ttl
}
