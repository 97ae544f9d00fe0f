package load

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// engineConfig configures a modelled engine.
type engineConfig struct {
	// slots is the number of requests that a warm engine runs at once.
	slots int
	// coldSlots is the number of slots of a cold engine. 0 means that the engine is
	// always warm.
	coldSlots int
	// slotsPerCompletion is the number of slots that a cold engine gains with each
	// completed request.
	slotsPerCompletion float64
	// warmAfter, if positive, is the time after which a cold engine has all slots,
	// regardless of completed requests. It is used instead of slotsPerCompletion.
	warmAfter time.Duration
	// coldPrefillFactor is the factor by which a prefill takes longer on a cold
	// engine.
	coldPrefillFactor float64
	// failsOnOverload makes the engine fail when it receives a request without a free
	// slot. Otherwise the request waits.
	failsOnOverload bool
	// prefillRate is the prefill throughput in prompt tokens a second.
	prefillRate float64
	// tokenTime is the time between two tokens of a request that runs alone.
	tokenTime time.Duration
	// cacheBlocks is the size of the prefix cache in blocks, and blockTokens that of
	// a block in tokens.
	cacheBlocks, blockTokens int
	// restartDelay is the time from a failure on overload to the next incarnation.
	restartDelay time.Duration
}

// engineRequest is one request at an engine.
type engineRequest struct {
	prefix       []uint64
	promptTokens int
	outputTokens int
	// firstToken is called at the first token, and done at the end. If the request
	// fails, done(false) is called, with or without firstToken before it.
	firstToken func(cachedTokens int)
	done       func(ok bool)

	// sinceReset is set if the engine started the request after it last became cold.
	sinceReset bool
	ended      bool
}

// engine models a target with slots, one prefill at a time, a prefix cache and a cold
// start. With failsOnOverload it fails on each request that it receives without a
// free slot.
type engine struct {
	loop *eventLoop
	cfg  engineConfig
	// up is false between a failure and the start of the next incarnation.
	up          bool
	incarnation int
	// completedSinceReset counts the requests that were started and completed since
	// the engine last became cold.
	completedSinceReset int
	// resetAt is the time at which the engine last became cold.
	resetAt time.Duration
	running map[*engineRequest]struct{}
	// runningSinceReset counts the running requests that were started since resetAt.
	runningSinceReset int
	waiting           []*engineRequest
	prefillFreeAt     time.Duration
	cache             *lru.LRU[uint64, struct{}]
	overloads         int
	// onCache is called for each block stored in the prefix cache or evicted from it.
	onCache func(hash uint64, stored bool)
	// onStart is called at the start of each incarnation after the first.
	onStart func(incarnation int)
}

// newEngine returns a cold engine in its first incarnation.
func newEngine(l *eventLoop, cfg engineConfig) *engine {
	e := &engine{loop: l, cfg: cfg, up: true, incarnation: 1, running: map[*engineRequest]struct{}{}}
	e.clearCache()
	return e
}

// clearCache replaces the prefix cache by an empty one.
func (e *engine) clearCache() {
	e.cache, _ = lru.NewLRU(max(e.cfg.cacheBlocks, 1), func(hash uint64, _ struct{}) { e.notifyCache(hash, false) })
}

// notifyCache reports a change of the prefix cache to onCache.
func (e *engine) notifyCache(hash uint64, stored bool) {
	if e.onCache != nil {
		e.onCache(hash, stored)
	}
}

// capacity returns the current number of slots.
func (e *engine) capacity() int {
	if e.cfg.coldSlots == 0 {
		return e.cfg.slots
	}
	if e.cfg.warmAfter > 0 && e.loop.now-e.resetAt >= e.cfg.warmAfter {
		return e.cfg.slots
	}
	return min(e.cfg.coldSlots+int(e.cfg.slotsPerCompletion*float64(e.completedSinceReset)), e.cfg.slots)
}

// resetWarmUp makes the engine cold without a new incarnation. Running requests
// continue and do not count against the cold slots; new requests do.
func (e *engine) resetWarmUp() {
	e.completedSinceReset = 0
	e.resetAt = e.loop.now
	e.runningSinceReset = 0
	for r := range e.running {
		r.sinceReset = false
	}
	e.clearCache()
}

// fail ends the incarnation with all its requests and schedules the next one after
// restartDelay. A negative restartDelay schedules none.
func (e *engine) fail(restartDelay time.Duration) {
	e.up = false
	e.incarnation++
	lost := make([]*engineRequest, 0, len(e.running)+len(e.waiting))
	for r := range e.running {
		lost = append(lost, r)
	}
	sortRequests(lost)
	lost = append(lost, e.waiting...)
	e.running, e.waiting, e.runningSinceReset = map[*engineRequest]struct{}{}, nil, 0
	e.completedSinceReset, e.prefillFreeAt = 0, 0
	e.clearCache()
	for _, r := range lost {
		r.ended = true
		r.done(false)
	}
	if restartDelay >= 0 {
		e.loop.after(restartDelay, e.start)
	}
}

// start starts a new, cold incarnation, unless the engine is up.
func (e *engine) start() {
	if e.up {
		return
	}
	e.up = true
	e.resetAt = e.loop.now
	if e.onStart != nil {
		e.onStart(e.incarnation)
	}
}

// receive runs a request, or queues it if no slot is free. With failsOnOverload, a
// request without a free slot makes the engine fail.
func (e *engine) receive(r *engineRequest) {
	if !e.up {
		r.done(false)
		return
	}
	if e.runningSinceReset >= e.capacity() || len(e.running) >= e.cfg.slots {
		if e.cfg.failsOnOverload {
			e.overloads++
			e.running[r] = struct{}{}
			e.fail(e.cfg.restartDelay)
			return
		}
		e.waiting = append(e.waiting, r)
		return
	}
	e.startRequest(r)
}

// startRequest assigns a slot to the request and schedules its prefill.
func (e *engine) startRequest(r *engineRequest) {
	r.sinceReset = true
	e.runningSinceReset++
	e.running[r] = struct{}{}
	cached := e.lookUpPrefix(r.prefix)
	tokens := max(r.promptTokens-cached, 1)
	work := time.Duration(float64(tokens) / e.cfg.prefillRate * e.prefillSlowdown() * float64(time.Second))
	start := max(e.loop.now, e.prefillFreeAt)
	e.prefillFreeAt = start + work
	e.loop.after(e.prefillFreeAt-e.loop.now, func() { e.generate(r, cached) })
}

// lookUpPrefix returns the number of prompt tokens whose blocks are cached from the
// start of the prompt on, and adds the other blocks to the cache.
func (e *engine) lookUpPrefix(prefix []uint64) int {
	if e.cfg.cacheBlocks == 0 {
		return 0
	}
	hits := 0
	for i, hash := range prefix {
		if _, ok := e.cache.Get(hash); ok && hits == i {
			hits++
			continue
		}
		e.cache.Add(hash, struct{}{})
		e.notifyCache(hash, true)
	}
	return hits * e.cfg.blockTokens
}

const (
	// crowdedUtilisation is the utilisation of the slots above which prefills slow
	// down.
	crowdedUtilisation = 0.7
	// fullPrefillFactor is the factor by which a prefill takes longer when all slots
	// are in use.
	fullPrefillFactor = 3.0
)

// prefillSlowdown returns the factor by which a prefill now takes longer than on a
// warm, idle engine.
func (e *engine) prefillSlowdown() float64 {
	available := e.capacity()
	factor := 1.0
	if e.cfg.coldSlots > 0 && e.cfg.slots > e.cfg.coldSlots {
		coldFraction := float64(e.cfg.slots-available) / float64(e.cfg.slots-e.cfg.coldSlots)
		factor += (e.cfg.coldPrefillFactor - 1) * coldFraction
	}
	if e.cfg.failsOnOverload {
		utilisation := min(float64(e.runningSinceReset)/float64(available), 1)
		factor *= 1 + (fullPrefillFactor-1)*max(utilisation-crowdedUtilisation, 0)/(1-crowdedUtilisation)
	}
	return factor
}

// generate reports the first token and schedules the end of the request.
func (e *engine) generate(r *engineRequest, cached int) {
	if r.ended {
		return
	}
	r.firstToken(cached)
	batchSlowdown := 1 + float64(len(e.running))/float64(e.cfg.slots)
	took := time.Duration(float64(r.outputTokens) * batchSlowdown * float64(e.cfg.tokenTime))
	e.loop.after(took, func() { e.finish(r) })
}

// finish completes a request and starts the next one in the queue.
func (e *engine) finish(r *engineRequest) {
	if r.ended {
		return
	}
	r.ended = true
	delete(e.running, r)
	if r.sinceReset {
		e.runningSinceReset--
		e.completedSinceReset++
	}
	r.done(true)
	if len(e.waiting) > 0 && e.up {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.startRequest(next)
	}
}

// cancel ends a running request without calling its callbacks.
func (e *engine) cancel(r *engineRequest) {
	if _, ok := e.running[r]; !ok {
		return
	}
	r.ended = true
	delete(e.running, r)
	if r.sinceReset {
		e.runningSinceReset--
	}
}

// prefillBacklog returns the outstanding prefill work, in tokens.
func (e *engine) prefillBacklog() float64 {
	backlog := max(e.prefillFreeAt-e.loop.now, 0).Seconds() * e.cfg.prefillRate
	for _, r := range e.waiting {
		backlog += float64(r.promptTokens)
	}
	return backlog
}
