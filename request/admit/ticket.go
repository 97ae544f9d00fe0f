package admit

import "time"

// Result describes how an admitted request ended.
type Result struct {
	// OK reports whether the engine finished the request.
	OK bool
	// Cancelled reports that the entry cancelled the request, as the slower
	// attempt of a hedged pair. The gate ignores such a request in its estimates.
	Cancelled bool
	// Tokens is the number of generated tokens.
	Tokens int
	// PromptTokens is the length of the prompt, and CachedTokens the part of it
	// that the engine found in its prefix cache.
	PromptTokens, CachedTokens int
}

// Ticket represents one admitted request.
type Ticket struct {
	gate *Gate
	// generation is the gate's engine generation at admission.
	generation int
	// epoch is the limit controller's epoch at admission.
	epoch      int
	sequence   uint64
	admittedAt time.Time
	// nearLimit reports that the work in flight was near the limit at admission.
	nearLimit bool
	// tokens is the prompt's length plus overheadTokens. tokensAhead is the sum of
	// the tokens of the requests that had no first token when this one was admitted.
	tokens, tokensAhead int

	// The gate's mu guards the fields below.
	firstToken time.Duration
	// timePerToken is the first-token time per prompt token.
	timePerToken time.Duration
	slow         bool
	done         bool
}

// FirstToken records the time from admission to the first token. Only the first
// call before Done has an effect.
func (t *Ticket) FirstToken(d time.Duration) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.stale() || t.firstToken > 0 {
		return
	}
	t.gate.observeFirstToken(t, d)
}

// Done ends the request. Only the first call has an effect, so it may be
// deferred.
func (t *Ticket) Done(r Result) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.stale() {
		t.done = true
		return
	}
	t.done = true
	t.gate.observeDone(t, r)
}

// firstTokenTimePerToken returns the first-token time per prompt token, so that
// long prompts and bursts are not taken for slowness. An engine may process
// prompts one after another or together, so the result is the greater of two
// values: the time since admission over the tokens ahead plus the request's own,
// and the time since the preceding first token over its own tokens alone.
func (t *Ticket) firstTokenTimePerToken(now time.Time) time.Duration {
	since := t.admittedAt
	if t.gate.lastFirstToken.After(since) {
		since = t.gate.lastFirstToken
	}
	batched := now.Sub(t.admittedAt) / time.Duration(t.tokens+t.tokensAhead)
	serial := now.Sub(since) / time.Duration(t.tokens)
	return max(batched, serial)
}

// stale reports whether the ticket has ended or belongs to an earlier engine.
// The caller holds the gate's mu.
func (t *Ticket) stale() bool { return t.done || t.generation != t.gate.generation }

// observeFirstToken records a first token. The caller holds mu.
func (g *Gate) observeFirstToken(t *Ticket, d time.Duration) {
	now := t.admittedAt.Add(d)
	t.firstToken = max(d, 1)
	t.timePerToken = t.firstTokenTimePerToken(now)
	g.lastFirstToken = now
	t.slow = g.firstTokens.isSlow(t.timePerToken)
	g.firstTokens.observe(t.timePerToken)
	if t.slow {
		g.slowStreak++
		g.resetIfSuspect(g.clock.Now())
		return
	}
	g.slowStreak = 0
	g.unproven.removeProven(t)
}

// observeDone records the end of a request. The caller holds mu.
func (g *Gate) observeDone(t *Ticket, r Result) {
	g.inFlight--
	g.unproven.remove(t)
	if r.Cancelled {
		return
	}
	took := g.clock.Now().Sub(t.admittedAt)
	if r.OK {
		g.serviceTimes.observe(took)
	}
	s := sample{latency: t.timePerToken, epoch: t.epoch, nearLimit: t.nearLimit, ok: r.OK}
	if g.isService {
		s.latency = took
	}
	g.controller.observe(s)
	if g.cacheLoss.observe(r.PromptTokens, r.CachedTokens) {
		g.cacheLoss = cacheLossDetector{}
		g.resetToCold()
	}
}
