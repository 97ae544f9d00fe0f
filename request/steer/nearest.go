package steer

import "verbenaseam.example/verbenaseam/process/presence"

// Nearest returns the entries in the caller's failure domain, or all entries if
// there are none.
func Nearest(entries []presence.Peer, domain string) []presence.Peer {
	var near []presence.Peer
	for _, entry := range entries {
		if entry.FailureDomain == domain {
			near = append(near, entry)
		}
	}
	if len(near) == 0 {
		return entries
	}
	return near
}
