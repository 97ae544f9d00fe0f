package pick

import "time"

// Query describes one request for which a target is selected.
type Query struct {
	// PrefixHashes holds the hashes of the prompt's prefixes, shortest first; each
	// prefix is one block longer than the one before.
	PrefixHashes []uint64
	// Cost is the prefill work of the whole prompt, in tokens or any other unit
	// used consistently; BlockCost is the part of it that one cached block saves.
	Cost, BlockCost float64
	// Avoid excludes targets; nil excludes none.
	Avoid func(*TargetState) bool
	// Random is a fresh random number for each query.
	Random uint64
	// Now is the time since an arbitrary but fixed origin.
	Now time.Duration
}

// avoids reports whether the query excludes the target.
func (q *Query) avoids(s *TargetState) bool { return q.Avoid != nil && q.Avoid(s) }

// randomIndex returns the n-th random index below bound derived from Random.
func (q *Query) randomIndex(n uint64, bound int) int {
	return int(mix(q.Random+n*0x9e3779b97f4a7c15) % uint64(bound))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
