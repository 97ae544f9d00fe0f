package gateway

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/order"
	"verbenaseam.example/verbenaseam/request/pick"
	"verbenaseam.example/verbenaseam/request/retry"
	"verbenaseam.example/verbenaseam/request/stream"
	"verbenaseam.example/verbenaseam/version/table"
)

// subsetSize bounds the number of targets per pool to which one entry keeps
// links.
const subsetSize = 64

// poolView is this entry's view of one pool under one snapshot.
type poolView struct {
	pool  *table.CompiledPool
	set   *pick.Set
	queue *admit.FairQueue
	// retryState is kept across snapshots for as long as the pool exists.
	retryState *poolRetryState
}

// poolRetryState is the state shared by the retry policies of a pool's
// requests.
type poolRetryState struct {
	budget  *retry.Budget
	latency *retry.Latency
}

func newPoolRetryState() *poolRetryState {
	return &poolRetryState{
		budget:  retry.NewBudget(retry.DefaultBudgetRatio, retry.DefaultBudgetCapacity),
		latency: retry.NewLatency(),
	}
}

// poolViews is an immutable view of all pools; it is replaced as a whole.
type poolViews struct {
	version uint64
	byName  map[string]*poolView
	// byTarget holds the states of a target, one for each pool that contains
	// it.
	byTarget map[string][]*pick.TargetState
	// agentAddresses holds the addresses of the agents, sorted.
	agentAddresses []string
}

// Targets tracks, for every pool of the snapshot in force, the targets to which
// this entry sends requests, and the load reports of their agents.
type Targets struct {
	entry     string
	clock     clockwork.Clock
	origin    time.Time
	maxQueued int
	views     atomic.Pointer[poolViews]

	// mu guards reports and observations, which are keyed by target name, and serialises
	// Update. The locks of pick.Set and admit.FairQueue are acquired while it is
	// held.
	mu           sync.Mutex
	reports      map[string]stream.LoadReport
	observations map[string]agentObservation
}

// agentObservation is the agent incarnation that sent a target's last report, and
// the agent's clock as observed from that report.
type agentObservation struct {
	incarnation string
	clock       order.AgentClock
}

// NewTargets returns an empty Targets for the named entry; maxQueued bounds the
// number of requests queued for one pool.
func NewTargets(entry string, maxQueued int, clock clockwork.Clock) *Targets {
	t := &Targets{
		entry: entry, clock: clock, origin: clock.Now(), maxQueued: maxQueued,
		reports: map[string]stream.LoadReport{}, observations: map[string]agentObservation{},
	}
	t.views.Store(&poolViews{})
	return t
}

// now returns the time since origin, which is the time base of every pick.Set.
func (t *Targets) now() time.Duration { return t.clock.Since(t.origin) }

// Update applies a snapshot and returns the addresses of the agents to keep
// links to. A snapshot that is not newer than the last one changes nothing.
func (t *Targets) Update(snapshot *table.Snapshot) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.views.Load()
	if previous.byName != nil && snapshot.Version() <= previous.version {
		return previous.agentAddresses
	}
	next := &poolViews{
		version:  snapshot.Version(),
		byName:   map[string]*poolView{},
		byTarget: map[string][]*pick.TargetState{},
	}
	addresses := map[string]bool{}
	for name := range snapshot.Table().Pools {
		pool, _ := snapshot.Pool(name)
		view := t.buildView(pool, previous.byName[name])
		next.byName[name] = view
		for _, state := range view.set.States() {
			next.byTarget[state.Name()] = append(next.byTarget[state.Name()], state)
			if target, ok := snapshot.Target(state.Name()); ok {
				addresses[target.Agent] = true
			}
		}
	}
	for address := range addresses {
		next.agentAddresses = append(next.agentAddresses, address)
	}
	sort.Strings(next.agentAddresses)
	t.views.Store(next)
	return next.agentAddresses
}

// buildView returns the view of a pool. It keeps the queue, the retry state and
// the targets' states of the previous view.
func (t *Targets) buildView(pool *table.CompiledPool, previous *poolView) *poolView {
	candidates := make([]pick.Target, 0, len(pool.Usable))
	for _, target := range pool.Usable {
		candidates = append(candidates, pick.Target{Name: target.Name, FailureDomain: target.FailureDomain})
	}
	var previousSet *pick.Set
	var queue *admit.FairQueue
	retryState := newPoolRetryState()
	if previous != nil {
		previousSet, queue, retryState = previous.set, previous.queue, previous.retryState
	}
	subset := pick.SubsetConfig{Owner: t.entry, Size: subsetSize}
	view := &poolView{pool: pool, set: pick.NewSet(pool.Policy, candidates, previousSet, subset), queue: queue, retryState: retryState}
	if queue == nil {
		view.queue = admit.NewFairQueue(admit.FairQueueConfig{
			Capacity: len(candidates) * pool.ColdLimit, MaxQueued: t.maxQueued, Clock: t.clock,
		})
	}
	return view
}

func (t *Targets) pool(name string) (*poolView, bool) {
	view, ok := t.views.Load().byName[name]
	return view, ok
}

// RecordReport records the load report of an agent incarnation.
func (t *Targets) RecordReport(incarnation string, report stream.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observations[report.Target] = agentObservation{incarnation, order.ObserveAgentClock(report.AgentTime, t.clock.Now())}
	previous, known := t.reports[report.Target]
	t.reports[report.Target] = report
	views := t.views.Load()
	for _, state := range views.byTarget[report.Target] {
		if known && previous.EngineIncarnation != report.EngineIncarnation {
			state.CacheCleared()
		}
		state.SetCredits(report.Credits)
		state.UpdateLoad(pick.Load{
			InFlight: report.Running, Queued: report.Waiting,
			Limit: report.Limit, At: t.now(),
		})
	}
	for _, view := range views.byName {
		if view.contains(report.Target) {
			view.queue.SetCapacity(view.capacity(t.reports))
		}
	}
}

// hasReported reports whether an agent of the target has sent a report.
func (t *Targets) hasReported(target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.observations[target]
	return ok
}

// placement returns the placement of an order at the target: the agent incarnation
// that sent the target's last report, and a lower bound of that agent's clock. It
// returns false if there is no report.
func (t *Targets) placement(target string) (order.Placement, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.observations[target]
	if !ok {
		return order.Placement{}, false
	}
	return order.Placement{
		Target: target, Incarnation: known.incarnation, AgentTime: known.clock.LowerBound(t.clock.Now()),
	}, true
}

// RecordRefusal records that a target's gate refused a request and asked for no more
// work for the duration retryAfter. The target's credits are zero until its next
// report.
func (t *Targets) RecordRefusal(view *poolView, state *pick.TargetState, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state.PauseUntil(t.now() + retryAfter)
	report, ok := t.reports[state.Name()]
	if !ok {
		report = stream.LoadReport{Target: state.Name(), Open: true}
	}
	report.Credits = 0
	t.reports[state.Name()] = report
	view.queue.SetCapacity(view.capacity(t.reports))
}

// RecordLoss records that a target's engine or agent has ended. For each
// request that this entry has in flight at the target, it adds one retry to the retry
// budget of the pool.
func (t *Targets) RecordLoss(target string) {
	for _, view := range t.views.Load().byName {
		if state := view.set.Find(target); state != nil {
			view.retryState.budget.Grant(state.InFlight())
		}
	}
}

func (v *poolView) contains(target string) bool { return v.set.Find(target) != nil }

// capacity returns the number of requests that this entry may have in flight at
// the pool's targets: those in flight now plus the credits that the targets
// grant. A target without a report contributes the pool's cold limit.
func (v *poolView) capacity(reports map[string]stream.LoadReport) int {
	total := 0
	for _, state := range v.set.States() {
		report, ok := reports[state.Name()]
		if !ok {
			total += v.pool.ColdLimit
			continue
		}
		total += state.InFlight() + report.Credits
	}
	return total
}

// TargetStatus is the status of one target as seen by this entry.
type TargetStatus struct {
	Name, FailureDomain string
	// Report is the agent's last report; Reported is false if there is none.
	Report   stream.LoadReport
	Reported bool
	// InFlight is the number of this entry's requests in flight at the target.
	InFlight int
}

// Status returns the status of all targets, sorted by name.
func (t *Targets) Status() []TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := t.views.Load()
	statuses := make([]TargetStatus, 0, len(views.byTarget))
	for name, states := range views.byTarget {
		report, ok := t.reports[name]
		status := TargetStatus{Name: name, FailureDomain: states[0].FailureDomain(), Report: report, Reported: ok}
		for _, state := range states {
			status.InFlight += state.InFlight()
		}
		statuses = append(statuses, status)
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Name < statuses[j].Name })
	return statuses
}
