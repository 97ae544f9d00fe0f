package admit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/version/table"
)

const (
	// minSuspects is the smallest number of consecutive slow first tokens, or of
	// slow and overdue ones, that resets a gate to its cold limit.
	minSuspects = 3
	// nearLimitFraction is the fraction of the limit in use from which a request
	// counts as admitted near the limit.
	nearLimitFraction = 0.7
	// overheadTokens is the work of any request besides its prompt, in tokens.
	overheadTokens = 64
	// creditsOvercommit is how many times each free slot is offered as a credit.
	creditsOvercommit = 4
	// defaultRetryAfter is the retry hint while the gate has no estimate.
	defaultRetryAfter = 100 * time.Millisecond
)

// GateConfig configures a Gate.
type GateConfig struct {
	// ColdLimit is the concurrency that a just-started target can sustain; at
	// least 1.
	ColdLimit int
	// Maximum is the upper bound of the target's concurrency.
	Maximum int
	// Kind is the pool's kind. A plain service has no first tokens, so its
	// requests are not tracked as unproven. Empty means KindModel.
	Kind table.PoolKind
	// Limiter selects the algorithm; empty means LimiterGradient.
	Limiter LimiterKind
	// Clock is the time source; nil means the real clock.
	Clock clockwork.Clock
}

// GateState is a snapshot of a gate for monitoring.
type GateState struct {
	// Limit is the current concurrency limit, InFlight the work in flight at the
	// target.
	Limit, InFlight int
	// Unproven counts the admitted requests without a first token in normal time.
	Unproven int
	// Warm reports whether the limit is above the cold limit.
	Warm bool
	// Closed is the reason why all work is refused; empty when the gate is open.
	Closed Reason
	// ColdResets counts the resets to the cold limit.
	ColdResets int
}

// Gate admits work to one target. It is safe for concurrent use.
type Gate struct {
	clock     clockwork.Clock
	isService bool

	// mu guards everything below.
	mu         sync.Mutex
	bounds     limitBounds
	controller *limitController
	// generation counts the engine incarnations seen. Tickets of an earlier one
	// ended with it.
	generation  int
	incarnation string
	// inFlightKnown reports that the engine's work in flight is known.
	inFlightKnown bool
	closed        Reason
	inFlight      int
	// untracked is the work in flight that this gate did not admit.
	untracked int
	sequence  uint64
	unproven  unprovenWindow
	// slowStreak counts the slow first tokens since the last normal one.
	slowStreak int
	// firstTokens is the baseline of the first-token time per prompt token.
	firstTokens baseline
	// lastFirstToken is the time of the most recent first token.
	lastFirstToken time.Time
	probes         baseline
	serviceTimes   baseline
	cacheLoss      cacheLossDetector
	coldResets     int
}

// NewGate returns a gate that refuses all work until EngineStarted or
// SetUntrackedInFlight reports the engine's work in flight.
func NewGate(cfg GateConfig) *Gate {
	clock := cfg.Clock
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	return &Gate{
		clock:      clock,
		isService:  cfg.Kind == table.KindService,
		bounds:     newLimitBounds(cfg.ColdLimit, cfg.Maximum),
		controller: newLimitController(cfg.Limiter, newLimitBounds(cfg.ColdLimit, cfg.Maximum)),
	}
}

// Admit is AdmitSized for prompts of unknown size. The caller of a gate must use
// only one of the two, so that first-token times are comparable.
func (g *Gate) Admit() (*Ticket, error) { return g.AdmitSized(0) }

// AdmitSized admits one request with a prompt of about promptTokens tokens. It
// fails with *RefusedError, in which case the request did not run. The caller
// must end the ticket with Done.
func (g *Gate) AdmitSized(promptTokens int) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.resetIfSuspect(now)
	if reason := g.refusalReason(); reason != "" {
		return nil, &RefusedError{Reason: reason, RetryAfter: g.retryAfter(reason)}
	}
	return g.newTicket(now, max(promptTokens, 0)), nil
}

// newTicket registers an admitted request. The caller holds mu.
func (g *Gate) newTicket(now time.Time, promptTokens int) *Ticket {
	g.sequence++
	g.inFlight++
	t := &Ticket{
		gate:       g,
		generation: g.generation,
		epoch:      g.controller.epoch,
		sequence:   g.sequence,
		admittedAt: now,
		tokens:     promptTokens + overheadTokens,
		nearLimit:  float64(g.totalInFlight()) >= nearLimitFraction*float64(g.controller.limit),
	}
	if !g.isService {
		t.tokensAhead = g.unproven.pendingTokens()
		g.unproven.add(t)
	}
	return t
}

// refusalReason returns why a request may not start now; empty when it may. The
// caller holds mu.
func (g *Gate) refusalReason() Reason {
	switch {
	case g.closed != "":
		return g.closed
	case !g.inFlightKnown:
		return ReasonEngineUnknown
	case g.totalInFlight() >= g.controller.limit:
		return ReasonFull
	case len(g.unproven.tickets) >= g.bounds.cold:
		return ReasonUnproven
	}
	return ""
}

// totalInFlight returns all work in flight at the target. The caller holds mu.
func (g *Gate) totalInFlight() int { return g.inFlight + g.untracked }

// retryAfter estimates when the target will have capacity. The caller holds mu.
func (g *Gate) retryAfter(reason Reason) time.Duration {
	wait := time.Duration(0)
	switch reason {
	case ReasonLeaving, ReasonFailureDomainOut:
		return 0
	case ReasonFull:
		wait = g.serviceTimes.duration() / time.Duration(g.controller.limit)
	case ReasonUnproven:
		wait = g.firstTokens.duration() * overheadTokens
	}
	if wait <= 0 {
		return defaultRetryAfter
	}
	return wait
}

// resetIfSuspect resets to the cold limit when the number of consecutive slow, or
// of slow and overdue, first tokens indicates that the engine became cold. The
// caller holds mu.
func (g *Gate) resetIfSuspect(now time.Time) {
	suspects := max(g.slowStreak, g.unproven.suspects(now, g.lastFirstToken, &g.firstTokens))
	if suspects >= max(minSuspects, g.bounds.cold) {
		g.resetToCold()
	}
}

// resetToCold returns to the cold limit. The caller holds mu.
func (g *Gate) resetToCold() {
	g.slowStreak = 0
	if g.controller.limit > g.bounds.cold {
		g.coldResets++
		g.firstTokens = baseline{}
	}
	g.controller.reset()
}

// EngineStarted reports a new engine incarnation: the work of the previous one
// is gone, and the limit is reset to the cold limit at once. A repeated report of
// the current incarnation has no effect.
func (g *Gate) EngineStarted(incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlightKnown && incarnation == g.incarnation {
		return
	}
	g.incarnation = incarnation
	g.generation++
	g.inFlightKnown = true
	g.inFlight, g.untracked = 0, 0
	g.unproven, g.lastFirstToken = unprovenWindow{}, time.Time{}
	g.firstTokens, g.probes, g.serviceTimes = baseline{}, baseline{}, baseline{}
	g.cacheLoss = cacheLossDetector{}
	g.resetToCold()
}

// SetUntrackedInFlight sets how many requests the engine runs that this gate did
// not admit, as an agent finds them after its own restart. It may be called again
// as that work ends.
func (g *Gate) SetUntrackedInFlight(inFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.untracked = max(inFlight, 0)
	g.inFlightKnown = true
}

// ObserveProbe records the result of a health probe. A failed or slow probe resets the
// gate to the cold limit.
func (g *Gate) ObserveProbe(ok bool, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ok || g.probes.isSlow(latency) {
		g.resetToCold()
		return
	}
	g.probes.observe(latency)
}

// SetBounds changes the cold limit and the maximum.
func (g *Gate) SetBounds(cold, maximum int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bounds = newLimitBounds(cold, maximum)
	g.controller.setBounds(g.bounds)
}

// Close refuses all new work for the reason. Work in flight continues.
func (g *Gate) Close(reason Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = reason
}

// Open admits work again after Close. The limit is reset to the cold limit,
// because an idle engine may have become cold.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == "" {
		return
	}
	g.closed = ""
	g.resetToCold()
}

// State returns a snapshot of the gate.
func (g *Gate) State() GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.controller.limit
	return GateState{
		Limit:      limit,
		InFlight:   g.totalInFlight(),
		Unproven:   len(g.unproven.tickets),
		Warm:       limit > g.bounds.cold,
		Closed:     g.closed,
		ColdResets: g.coldResets,
	}
}

// Credits returns how many requests each of the given number of entries may
// expect to start here. It is a hint to piggyback on replies. Each free slot is
// offered several times, because entries rarely use all their credits at once and
// a refusal costs only one round trip.
func (g *Gate) Credits(entries int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	free := g.controller.limit - g.totalInFlight()
	if g.closed != "" || !g.inFlightKnown || free <= 0 {
		return 0
	}
	entries = max(entries, 1)
	return min((creditsOvercommit*free+entries-1)/entries, free)
}
