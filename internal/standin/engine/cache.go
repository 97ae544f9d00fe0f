package engine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// blockBytes is the prompt length that one cache block covers.
const blockBytes = 64

// maxCacheEvents bounds the events kept for clients that poll late; beyond it
// the older half is dropped.
const maxCacheEvents = 16384

// PromptBlocks returns the names of the prompt's cache blocks; each name
// identifies the whole prefix up to the end of its block.
func PromptBlocks(prompt string) []string {
	var names []string
	digest := xxhash.New()
	for at := 0; at+blockBytes <= len(prompt); at += blockBytes {
		_, _ = digest.WriteString(prompt[at : at+blockBytes])
		names = append(names, fmt.Sprintf("%016x", digest.Sum64()))
	}
	return names
}

// cacheEvent records that a block was stored or removed.
type cacheEvent struct {
	sequence int64
	removed  bool
	block    string
	at       time.Time
}

// prefixCache is a bounded LRU cache of prompt blocks with an event log. It is
// guarded by Engine.mu.
type prefixCache struct {
	blocks *lru.Cache[string, struct{}]
	now    func() time.Time
	// lossInterval is Config.EventLossInterval.
	lossInterval int64
	sequence     int64
	events       []cacheEvent
	hits         int64
	lookups      int64
}

func newPrefixCache(size int, lossInterval int64, now func() time.Time) *prefixCache {
	cache := &prefixCache{now: now, lossInterval: lossInterval}
	blocks, err := lru.NewWithEvict(size, func(block string, _ struct{}) { cache.recordEvent(block, true) })
	if err != nil {
		panic(err) // only for a size below one; withDefaults replaces zero
	}
	cache.blocks = blocks
	return cache
}

// lookupAndStore stores the blocks that are missing and returns their number.
// Only a leading run of cached blocks counts as a hit.
func (c *prefixCache) lookupAndStore(blocks []string) int {
	hits := 0
	for hits < len(blocks) {
		if _, ok := c.blocks.Get(blocks[hits]); !ok {
			break
		}
		hits++
	}
	c.hits += int64(hits)
	c.lookups += int64(len(blocks))
	for _, block := range blocks[hits:] {
		c.store(block)
	}
	return len(blocks) - hits
}

func (c *prefixCache) store(block string) {
	if c.blocks.Contains(block) {
		return
	}
	c.blocks.Add(block, struct{}{})
	c.recordEvent(block, false)
}

func (c *prefixCache) clear() {
	c.blocks.Purge()
	c.hits, c.lookups = 0, 0
}

func (c *prefixCache) recordEvent(block string, removed bool) {
	c.sequence++
	if c.lossInterval > 0 && c.sequence%c.lossInterval == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{sequence: c.sequence, removed: removed, block: block, at: c.now()})
	if len(c.events) > maxCacheEvents {
		c.events = append([]cacheEvent{}, c.events[len(c.events)/2:]...)
	}
}

// publishedEvents returns the events recorded at or before until whose sequence
// number is above after, and the highest sequence number published so far.
func (c *prefixCache) publishedEvents(after int64, until time.Time) ([]cacheEvent, int64) {
	var out []cacheEvent
	var highest int64
	for _, event := range c.events {
		if event.at.After(until) {
			break
		}
		highest = event.sequence
		if event.sequence > after {
			out = append(out, event)
		}
	}
	return out, highest
}

func (c *prefixCache) hitRatio() float64 {
	if c.lookups == 0 {
		return 0
	}
	return float64(c.hits) / float64(c.lookups)
}
