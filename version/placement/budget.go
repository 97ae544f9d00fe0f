package placement

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Refusal is the reason why weights may not be moved now; Allowed means that they
// may.
type Refusal string

// Reasons for refusal; their texts are values of the metric label "reason".
const (
	Allowed       Refusal = ""
	Paused        Refusal = "paused by operators"
	DomainLeaving Refusal = "failure domain is leaving"
	DomainBusy    Refusal = "another group of the failure domain is moving weights"
	NotWorthIt    Refusal = "the time saved does not repay the moves"
	OverBudget    Refusal = "weight store budget is used up"
)

// BudgetConfig holds the limits of a Budget.
type BudgetConfig struct {
	// BytesPerSecond is the read bandwidth of the weight store that rebalancing may
	// use, BurstBytes the size of its largest burst. A plan larger than the burst is
	// never allowed; callers bound their plans by Settings.MaxMoves.
	BytesPerSecond float64
	BurstBytes     int
	// Horizon is the time within which the step time saved by a better map must
	// exceed the time lost to its moves.
	Horizon time.Duration
	// LoadCost is the fraction of its time that a group loses while it loads weights
	// at BytesPerSecond.
	LoadCost float64
}

// MoveRequest is a group's request to move weights.
type MoveRequest struct {
	Group string
	// FailureDomains are the failure domains of the ranks that load weights.
	FailureDomains []string
	// Bytes is the total size of the weights to load.
	Bytes int
	// SkewBefore and SkewAfter are those of the Plan; Step or Barrier must fall.
	SkewBefore, SkewAfter Skew
	// Required is set for weights without which the group has no valid map. They are
	// exempt from the comparison of gain and cost and from pauses.
	Required bool
}

// Budget limits rebalancing so that it does not starve serving. It is safe for
// concurrent use.
type Budget struct {
	config BudgetConfig

	mu sync.Mutex
	// All fields below are guarded by mu.
	bytes   *rate.Limiter
	paused  bool
	leaving map[string]bool
	// movingGroups holds the group that is moving weights, by failure domain.
	movingGroups map[string]string
}

// NewBudget returns a Budget whose burst is available immediately.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{
		config:       config,
		bytes:        rate.NewLimiter(rate.Limit(config.BytesPerSecond), config.BurstBytes),
		leaving:      map[string]bool{},
		movingGroups: map[string]string{},
	}
}

// Pause stops or resumes moves that are not required.
func (b *Budget) Pause(paused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.paused = paused
}

// SetLeaving sets whether a failure domain is leaving or out. Moves into it are then
// refused.
func (b *Budget) SetLeaving(domain string, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if leaving {
		b.leaving[domain] = true
		return
	}
	delete(b.leaving, domain)
}

// Begin requests permission for a group to move weights. If allowed, the group holds
// its failure domains exclusively until End.
func (b *Budget) Begin(now time.Time, request MoveRequest) Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	if refusal := b.checkDomains(request); refusal != Allowed {
		return refusal
	}
	if !request.Required && b.paused {
		return Paused
	}
	if !request.Required && !b.paysOff(request) {
		return NotWorthIt
	}
	if !b.bytes.AllowN(now, request.Bytes) {
		return OverBudget
	}
	for _, domain := range request.FailureDomains {
		b.movingGroups[domain] = request.Group
	}
	return Allowed
}

func (b *Budget) checkDomains(request MoveRequest) Refusal {
	for _, domain := range request.FailureDomains {
		if b.leaving[domain] {
			return DomainLeaving
		}
		if group, busy := b.movingGroups[domain]; busy && group != request.Group {
			return DomainBusy
		}
	}
	return Allowed
}

// paysOff reports whether the time saved within the horizon exceeds the time lost to
// loading.
func (b *Budget) paysOff(request MoveRequest) bool {
	skewReduction := max(request.SkewBefore.Step-request.SkewAfter.Step, request.SkewBefore.Barrier-request.SkewAfter.Barrier)
	saved := skewReduction / max(1, request.SkewBefore.Barrier) * b.config.Horizon.Seconds()
	loadTime := float64(request.Bytes) / b.config.BytesPerSecond
	return saved > loadTime*b.config.LoadCost
}

// End ends a group's moves and releases its failure domains.
func (b *Budget) End(group string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for domain, movingGroup := range b.movingGroups {
		if movingGroup == group {
			delete(b.movingGroups, domain)
		}
	}
}
