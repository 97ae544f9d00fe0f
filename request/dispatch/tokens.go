package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// This file keeps the requests at a target within its memory. The load it is for: engines with
// memory for 233,333 tokens and 10 concurrent requests, of which most have 1,000 tokens and a few
// tens of thousands; a target whose requests exceed its memory crashes with all of them.
//
// A request of at most tokenShare can't be the cause: as many as a target has slots fit. So each
// request that another process reports counts as tokenShare, and processes report only what
// their requests at a target have beyond that, which is usually nothing.

const (
	// tokenUnit is the unit of the tokens in reports, for short messages.
	tokenUnit = 1024
	// maxTokenReports is the maximum number of targets in a report; the largest ones are in it.
	maxTokenReports = 16
	// maxReportedUnits bounds what a report may state, so that sums can't overflow.
	maxReportedUnits = 1 << 30
)

// tokenCapacity returns the tokens that the target's memory holds; 0 if that is not known.
func (t *Target) tokenCapacity() int {
	if t.service == nil || t.service.Engine == nil {
		return 0
	}
	return max(t.service.Engine.KVCapacityTokens, 0)
}

// tokenShare returns the part of the target's memory for each of the requests that it may run.
func (t *Target) tokenShare() int {
	slots := t.registration.Capacity
	if t.service != nil && t.service.Engine != nil {
		slots = max(slots, t.service.Engine.MaxConcurrentRequests)
	}
	return t.tokenCapacity() / max(slots, 1)
}

// heldTokens returns the tokens of the requests of all processes at the target: exact for this
// process, an upper bound for the others.
func (t *Target) heldTokens() int {
	held, share := t.tokens, t.tokenShare()
	for _, count := range t.peerLoad {
		held += count * share
	}
	for _, excess := range t.peerTokens {
		held += excess
	}
	return held
}

// fits reports whether the work's tokens fit into the target's memory now. Requests that state
// no tokens always do.
func (t *Target) fits(work *Request) bool {
	capacity, share := t.tokenCapacity(), t.tokenShare()
	if capacity <= 0 || work.Tokens <= 0 {
		return true
	}
	if work.Tokens <= share && t.tokens <= t.running*share && len(t.peerTokens) == 0 {
		// All are within their shares, and the target has a free slot.
		return true
	}
	return t.heldTokens()+work.Tokens <= capacity
}

// waitsForMemory reports whether work may have to wait though targets have free slots. Those
// behind it in the queue don't wait for it.
func (p *pool) waitsForMemory(work *Request) bool {
	for _, t := range p.targets {
		return work.Tokens > t.tokenShare() && t.tokenCapacity() > 0
	}
	return false
}

// firstWaitsForMemory reports whether the first request in the queue may wait for memory.
func (p *pool) firstWaitsForMemory() bool {
	if len(p.waiting.classes) == 0 || p.waiting.classes[0].order.Len() == 0 {
		return false
	}
	return p.waitsForMemory(&p.waiting.classes[0].order.Peek().Value.(*Waiter).work)
}

// ExceedsMemory reports whether a request with the given tokens is larger than the memory of
// any target of a service.
func (d *Dispatcher) ExceedsMemory(service string, tokens int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pool(service)
	if pool.service == nil || pool.service.Engine == nil || pool.service.Engine.KVCapacityTokens <= 0 {
		return false
	}
	return tokens > pool.service.Engine.KVCapacityTokens
}

// ReleaseTokens frees the tokens of a request that has ended at a target. Call it before Release.
func (d *Dispatcher) ReleaseTokens(t *Target, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.tokens -= tokens
}

// Tokens returns by how many units of tokenUnit the requests of this process at each target, by
// target ID, exceed their shares of its memory; nil if they don't.
func (d *Dispatcher) Tokens() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	var excess map[string]int
	for _, pool := range d.pools {
		for id, t := range pool.targets {
			beyond := t.tokens - t.running*t.tokenShare()
			if t.tokenCapacity() <= 0 || beyond <= 0 {
				continue
			}
			if excess == nil {
				excess = map[string]int{}
			}
			excess[id] = (beyond + tokenUnit - 1) / tokenUnit
		}
	}
	if len(excess) <= maxTokenReports {
		return excess
	}
	largest := slices.SortedFunc(maps.Keys(excess), func(a, b string) int { return cmp.Compare(excess[b], excess[a]) })
	for _, id := range largest[maxTokenReports:] {
		delete(excess, id)
	}
	return excess
}

// SetPeerTokens sets what another process reports of the tokens of its requests; nil removes it.
func (d *Dispatcher) SetPeerTokens(process string, excess map[string]int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, pool := range d.pools {
		for id, t := range pool.targets {
			units := min(excess[id], maxReportedUnits)
			_, known := t.peerTokens[process]
			switch {
			case units > 0:
				t.peerTokens[process] = units * tokenUnit
			case known:
				delete(t.peerTokens, process)
				changed = true
			}
		}
	}
	if changed {
		d.grantAll(now)
	}
}
