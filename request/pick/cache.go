package pick

import "sync/atomic"

// cacheView is this process's estimate of the contents of a target's prefix
// cache: a direct-mapped table of prefix hashes. Newer prefixes overwrite older
// ones, so that stale entries that are never corrected disappear over time.
type cacheView struct {
	slots []atomic.Uint64
}

// newCacheView returns an empty view; slots is rounded up to a power of two.
func newCacheView(slots int) cacheView {
	size := 1
	for size < slots {
		size *= 2
	}
	return cacheView{slots: make([]atomic.Uint64, size)}
}

func (c *cacheView) slot(hash uint64) *atomic.Uint64 {
	return &c.slots[hash&uint64(len(c.slots)-1)]
}

func (c *cacheView) add(hash uint64) { c.slot(hash).Store(hash) }

func (c *cacheView) remove(hash uint64) { c.slot(hash).CompareAndSwap(hash, 0) }

func (c *cacheView) contains(hash uint64) bool { return c.slot(hash).Load() == hash }

func (c *cacheView) clear() {
	for i := range c.slots {
		c.slots[i].Store(0)
	}
}

// depth returns the number of leading prefixes that are expected to be cached.
func (c *cacheView) depth(prefix []uint64) int {
	for i, hash := range prefix {
		if !c.contains(hash) {
			return i
		}
	}
	return len(prefix)
}

// prefixLocator finds a target that may have a prefix cached. It is a
// direct-mapped table with the last target at which each prefix was seen.
type prefixLocator struct {
	slots []atomic.Pointer[TargetState]
}

// newPrefixLocator returns an empty locator; slots must be a power of two.
func newPrefixLocator(slots int) *prefixLocator {
	return &prefixLocator{slots: make([]atomic.Pointer[TargetState], slots)}
}

func (l *prefixLocator) put(hash uint64, s *TargetState) {
	l.slots[hash&uint64(len(l.slots)-1)].Store(s)
}

// find returns the target that is expected to have the prefix cached, or nil.
func (l *prefixLocator) find(hash uint64) *TargetState {
	s := l.slots[hash&uint64(len(l.slots)-1)].Load()
	if s == nil || s.retired.Load() || !s.cache.contains(hash) {
		return nil
	}
	return s
}
