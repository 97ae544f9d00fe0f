package steer

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// smallFleetCount is the number of entries per organisation in a small fleet.
	smallFleetCount = 3
	// largeFleetCount is the number of entries per organisation in a large fleet: the
	// more entries each organisation has, the more evenly the load is distributed.
	largeFleetCount = 8
	// largeFleetSize is the number of entries from which a fleet counts as large.
	largeFleetSize = 24
	// DefaultTTL is how long a caller keeps an answer by default.
	DefaultTTL = 10 * time.Second
	// LeavingTTL is the longest time that a caller keeps an answer while any entry is
	// leaving.
	LeavingTTL = 3 * time.Second
)

// Entry is one entry host.
type Entry struct {
	// Name is unique and stable.
	Name string
	// URL is the address that callers connect to.
	URL           string
	FailureDomain string
	// Weight is the entry's share of the load; 0 means 1. Lowering it moves a
	// proportional part of the load to other entries.
	Weight float64
	// Leaving reports that the entry, its host or its failure domain is leaving.
	Leaving bool
}

// Organisation is the organisation for which entries are selected.
type Organisation struct {
	Name string
	// Weight is its load relative to other organisations; 0 means 1. A weight above 1
	// distributes the load over proportionally more entries; a lower one has no
	// effect.
	Weight float64
}

// Config configures SelectEntries.
type Config struct {
	// Count is the number of entries for an organisation of weight 1; 0 derives it
	// from the number of entries.
	Count int
	// TTL is how long callers keep an answer; 0 means DefaultTTL.
	TTL time.Duration
}

// Answer is the result of SelectEntries.
type Answer struct {
	// Entries are in order of preference.
	Entries []Entry
	// TTL is how long to keep the answer.
	TTL time.Duration
}

// SelectEntries selects the entries of an organisation by weighted rendezvous hashing:
// adding or removing an entry changes at most one other choice. No failure domain
// has more than half of the selected entries, rounded up, unless the other domains
// have too few. Leaving entries are excluded, unless all entries are leaving.
func SelectEntries(organisation Organisation, entries []Entry, cfg Config) Answer {
	available := withoutLeaving(entries)
	answer := Answer{TTL: cfg.ttl(len(available) < len(entries))}
	if len(available) == 0 {
		available = entries
	}
	count := cfg.count(organisation, len(available))
	answer.Entries = takeAcrossDomains(newRanking(organisation.Name, available), count)
	return answer
}

// withoutLeaving returns the entries that are not leaving.
func withoutLeaving(entries []Entry) []Entry {
	isLeaving := func(entry Entry) bool { return entry.Leaving }
	if !slices.ContainsFunc(entries, isLeaving) {
		return entries
	}
	return slices.DeleteFunc(slices.Clone(entries), isLeaving)
}

// ttl returns the time to live of an answer.
func (c Config) ttl(anyLeaving bool) time.Duration {
	ttl := c.TTL
	if ttl <= 0 {
		ttl = DefaultTTL
	}
	if anyLeaving {
		return min(ttl, LeavingTTL)
	}
	return ttl
}

// count returns the number of entries to select for the organisation among n.
func (c Config) count(organisation Organisation, n int) int {
	count := c.Count
	if count <= 0 {
		count = smallFleetCount
		if n >= largeFleetSize {
			count = largeFleetCount
		}
	}
	if organisation.Weight > 1 {
		count = int(math.Ceil(float64(count) * min(organisation.Weight, float64(n))))
	}
	return min(count, n)
}

// ranking is a min-heap of entries by score.
type ranking struct {
	entries []Entry
	scores  []scoredIndex
}

// scoredIndex is the index of an entry with its rendezvous score.
type scoredIndex struct {
	score float64
	index int
}

// Len implements heap.Interface.
func (r *ranking) Len() int { return len(r.scores) }

// Less implements heap.Interface.
func (r *ranking) Less(i, j int) bool {
	a, b := r.scores[i], r.scores[j]
	if a.score != b.score {
		return a.score < b.score
	}
	return r.entries[a.index].Name < r.entries[b.index].Name
}

// Swap implements heap.Interface.
func (r *ranking) Swap(i, j int) { r.scores[i], r.scores[j] = r.scores[j], r.scores[i] }

// Push implements heap.Interface.
func (r *ranking) Push(item any) { r.scores = append(r.scores, item.(scoredIndex)) }

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := len(r.scores) - 1
	item := r.scores[last]
	r.scores = r.scores[:last]
	return item
}

// next removes and returns the entry with the lowest score.
func (r *ranking) next() Entry { return r.entries[heap.Pop(r).(scoredIndex).index] }

// newRanking ranks the entries for an organisation by their rendezvous scores.
func newRanking(organisation string, entries []Entry) *ranking {
	seed := xxhash.Sum64String(organisation)
	ranked := &ranking{entries: entries, scores: make([]scoredIndex, len(entries))}
	for i := range entries {
		ranked.scores[i] = scoredIndex{score(seed, &entries[i]), i}
	}
	heap.Init(ranked)
	return ranked
}

// score returns an exponentially distributed score with the entry's weight as its
// rate, so that the probability of the lowest score is proportional to the weight.
func score(seed uint64, entry *Entry) float64 {
	weight := entry.Weight
	if weight <= 0 {
		weight = 1
	}
	hash := mix(seed ^ mix(xxhash.Sum64String(entry.Name)))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / weight
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// takeAcrossDomains takes count entries in order of rank. It skips those whose
// failure domain already has half of count, rounded up, and uses skipped entries
// only if too few others are left.
func takeAcrossDomains(ranked *ranking, count int) []Entry {
	perDomainLimit := (count + 1) / 2
	perDomain := map[string]int{}
	chosen := make([]Entry, 0, count)
	var skipped []Entry
	for len(chosen) < count && ranked.Len() > 0 {
		candidate := ranked.next()
		if perDomain[candidate.FailureDomain] >= perDomainLimit {
			skipped = append(skipped, candidate)
			continue
		}
		perDomain[candidate.FailureDomain]++
		chosen = append(chosen, candidate)
	}
	return append(chosen, skipped[:min(count-len(chosen), len(skipped))]...)
}
