package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenaseam.example/verbenaseam/process/platform"
)

// RoleEntry is the role of hosts that can be readers.
const RoleEntry = "entry"

const (
	// minReaders and maxReaders bound the readers of a failure domain.
	minReaders = 2
	maxReaders = 8
	// hostsPerReader is the number of entries of a failure domain per reader.
	hostsPerReader = 22
)

// selectReaders selects the readers of each failure domain by rendezvous hashing,
// so that nodes with the same host list agree and a change of one host changes few
// readers.
func selectReaders(hosts []platform.Host) map[string][]string {
	entries := map[string][]string{}
	for _, host := range hosts {
		if host.Role == RoleEntry && !host.Leaving {
			entries[host.FailureDomain] = append(entries[host.FailureDomain], host.Name)
		}
	}
	for domain, names := range entries {
		count := max(minReaders, min(maxReaders, (len(names)+hostsPerReader-1)/hostsPerReader))
		ordered := rendezvousOrder(domain, names)
		entries[domain] = ordered[:min(count, len(ordered))]
	}
	return entries
}

// minRelaysPerReader is the number of relays per reader from which on processes
// that are not entries pull from relays. A relay is an entry that is not a reader.
const minRelaysPerReader = 4

// pullPlan determines which peers a node pulls from.
type pullPlan struct {
	reader bool
	// usesRelays means that relays come first in upstreams.
	usesRelays bool
	// upstreams lists the peers to pull from in order of preference.
	upstreams []string
	// fairPullRate is a reader's share of the pull requests in its failure domain,
	// in requests per second.
	fairPullRate float64
}

// planPulls derives a node's upstreams from the host list: readers or, for the many
// processes that are not entries, relays if there are enough of them.
func planPulls(self Identity, hosts []platform.Host) pullPlan {
	readers := selectReaders(hosts)
	isReader := map[string]bool{}
	for _, names := range readers {
		for _, name := range names {
			isReader[name] = true
		}
	}
	relays, relayCount := map[string][]string{}, 0
	hostCount := map[string]int{}
	for _, host := range hosts {
		if host.Role == RoleEntry && !host.Leaving && !isReader[host.Name] {
			relays[host.FailureDomain] = append(relays[host.FailureDomain], host.Name)
			relayCount++
		}
		hostCount[host.FailureDomain]++
	}
	enoughRelays := relayCount >= minRelaysPerReader*len(isReader) && relayCount > 0
	plan := pullPlan{reader: isReader[self.Name], usesRelays: enoughRelays && self.Role != RoleEntry}
	plan.upstreams = orderOwnDomainFirst(self, readers)
	if plan.usesRelays {
		plan.upstreams = append(orderOwnDomainFirst(self, relays), plan.upstreams...)
	}
	if readerCount := len(readers[self.FailureDomain]); readerCount > 0 {
		pullers := hostCount[self.FailureDomain] - readerCount
		if enoughRelays {
			pullers = len(relays[self.FailureDomain])
		}
		plan.fairPullRate = float64(pullers) / float64(readerCount) / pullInterval.Seconds()
	}
	return plan
}

// orderOwnDomainFirst returns the names of all failure domains in order of
// preference: those of the node's own failure domain first, and within both groups
// in an order that differs from node to node, which spreads the load.
func orderOwnDomainFirst(self Identity, names map[string][]string) []string {
	own := rendezvousOrder(self.Name, names[self.FailureDomain])
	var others []string
	for domain, group := range names {
		if domain != self.FailureDomain {
			others = append(others, group...)
		}
	}
	return append(own, rendezvousOrder(self.Name, others)...)
}

// rendezvousOrder returns names ordered by their rendezvous hash weight for a key,
// highest first.
func rendezvousOrder(key string, names []string) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	candidates := make([]weighted, 0, len(names))
	for _, name := range names {
		candidates = append(candidates, weighted{name, xxhash.Sum64String(key + "\x00" + name)})
	}
	slices.SortFunc(candidates, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	ordered := make([]string, 0, len(candidates))
	for _, candidate := range candidates {
		ordered = append(ordered, candidate.name)
	}
	return ordered
}
