package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenaseam.example/verbenaseam/process/platform"
)

// RoleEntry is the role of entry hosts, the only hosts that can be readers.
const RoleEntry = "entry"

const (
	// minReaders and maxReaders bound the readers of a failure domain.
	minReaders = 2
	maxReaders = 8
	// entryHostsPerReader is the number of entry hosts of a failure domain per reader.
	entryHostsPerReader = 22
)

// selectReaders selects the readers of each failure domain by rendezvous hashing,
// so that nodes with the same host list agree and a change of one host changes few
// readers.
func selectReaders(hosts []platform.Host) map[string][]string {
	// byDomain holds the names of the entry hosts, then those of the readers.
	byDomain := map[string][]string{}
	for _, host := range hosts {
		if host.Role == RoleEntry && !host.Leaving {
			byDomain[host.FailureDomain] = append(byDomain[host.FailureDomain], host.Name)
		}
	}
	for domain, names := range byDomain {
		count := max(minReaders, min(maxReaders, (len(names)+entryHostsPerReader-1)/entryHostsPerReader))
		ordered := rendezvousOrder(domain, names)
		byDomain[domain] = ordered[:min(count, len(ordered))]
	}
	return byDomain
}

// minRelaysPerReader is the minimum ratio of relays to readers at which processes
// that are not entry hosts pull from relays. A relay is an entry host that is not a
// reader.
const minRelaysPerReader = 4

// pullPlan determines which peers a node pulls from.
type pullPlan struct {
	reader bool
	// usesRelays means that relays come first in candidates.
	usesRelays bool
	// candidates lists the peers to pull from in order of preference.
	candidates []string
	// fairPullRate is a reader's share of the pull requests in its failure domain,
	// in requests per second.
	fairPullRate float64
}

// planPulls derives a node's pull plan from the host list. The upstream candidates
// are the readers, preceded by the relays for the many processes that are not entry
// hosts if there are enough relays.
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
	plan.candidates = orderOwnDomainFirst(self, readers)
	if plan.usesRelays {
		plan.candidates = append(orderOwnDomainFirst(self, relays), plan.candidates...)
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

// orderOwnDomainFirst returns the host names of byDomain in order of preference:
// those in the node's own failure domain, then all others. The order of both parts
// differs from node to node, which spreads the load.
func orderOwnDomainFirst(self Identity, byDomain map[string][]string) []string {
	own := rendezvousOrder(self.Name, byDomain[self.FailureDomain])
	var others []string
	for domain, names := range byDomain {
		if domain != self.FailureDomain {
			others = append(others, names...)
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
