package dispatch

import "time"

// Load returns the number of requests of this process at each target, by target ID.
func (d *Dispatcher) Load() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := map[string]int{}
	for _, pool := range d.pools {
		for id, t := range pool.targets {
			if t.running > 0 {
				load[id] = t.running
			}
		}
	}
	return load
}

// SetPeerDomain sets the failure domain of another process, before its load is set.
func (d *Dispatcher) SetPeerDomain(process, domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerDomains[process] = domain
}

// SetPeerLoad sets the number of requests of another process at each target, by
// target ID. A nil load removes those of the process.
func (d *Dispatcher) SetPeerLoad(process string, load map[string]int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range d.pools {
		total := 0
		for id, t := range pool.targets {
			count := max(load[id], 0)
			t.setPeerLoad(process, count)
			total += count
		}
		if load == nil {
			delete(d.peerDomains, process)
			pool.reports.Remove(process)
			continue
		}
		pool.reports.Record(process, d.peerDomains[process] == d.failureDomain, total, now)
	}
	d.grantAll(now)
}
