package pick

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// SubsetConfig limits the candidates of one process in a large pool.
type SubsetConfig struct {
	// Owner is the process's name; processes with different names get different
	// subsets.
	Owner string
	// Size is the maximum number of candidates; 0 means all.
	Size int
	// CacheSlots is the number of cached prefixes tracked for each candidate; 0
	// means 1024.
	CacheSlots int
}

// defaultCacheSlots is the default of SubsetConfig.CacheSlots.
const defaultCacheSlots = 1024

// Subset selects the candidates of one owner: an equal share from each failure
// domain, by rendezvous hashing, so that adding or removing a target changes at
// most one other choice. The result is sorted by name.
func Subset(targets []Target, cfg SubsetConfig) []Target {
	if cfg.Size <= 0 || len(targets) <= cfg.Size {
		return sortedByName(targets)
	}
	domains := map[string][]rankedTarget{}
	for _, t := range targets {
		domains[t.FailureDomain] = append(domains[t.FailureDomain], rankedTarget{t, rendezvousWeight(cfg.Owner, t.Name)})
	}
	names := make([]string, 0, len(domains))
	for name, members := range domains {
		names = append(names, name)
		sort.Slice(members, func(i, j int) bool { return members[i].before(members[j]) })
	}
	sort.Strings(names)
	return sortedByName(takeInTurn(domains, names, cfg.Size))
}

// takeInTurn takes the best remaining target of each failure domain in turn until
// size targets are taken.
func takeInTurn(domains map[string][]rankedTarget, names []string, size int) []Target {
	taken := make([]Target, 0, size)
	for depth := 0; len(taken) < size; depth++ {
		for _, name := range names {
			if depth < len(domains[name]) && len(taken) < size {
				taken = append(taken, domains[name][depth].target)
			}
		}
	}
	return taken
}

// rankedTarget is a target with its rendezvous weight.
type rankedTarget struct {
	target Target
	weight uint64
}

// before reports whether r ranks before another target.
func (r rankedTarget) before(other rankedTarget) bool {
	if r.weight != other.weight {
		return r.weight > other.weight
	}
	return r.target.Name < other.target.Name
}

// rendezvousWeight returns the rendezvous weight of a pair of names.
func rendezvousWeight(owner, target string) uint64 {
	return mix(xxhash.Sum64String(owner) ^ mix(xxhash.Sum64String(target)))
}

// sortedByName returns a sorted copy.
func sortedByName(targets []Target) []Target {
	list := append([]Target(nil), targets...)
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
