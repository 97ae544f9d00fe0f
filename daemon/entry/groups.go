package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/daemon/group"
	"verbenaseam.example/verbenaseam/process/lease"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/version/placement"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	// groupStepInterval is the time between two steps of the groups' coordinators.
	groupStepInterval = 50 * time.Millisecond
	// loadPollInterval is the time between two requests for the experts' load.
	loadPollInterval = time.Second
	// inboxCapacity is the maximum number of calls queued for run: messages from agents
	// and engine orders.
	inboxCapacity = 4096
	// maxLeaseCandidates bounds the number of entries that campaign for the lease, and
	// with it the rate of reads of its row.
	maxLeaseCandidates = 4
)

// rebalanceBudget limits rebalancing, for all groups together.
var rebalanceBudget = placement.BudgetConfig{
	BytesPerSecond: 2 << 30,
	BurstBytes:     64 << 30,
	Horizon:        10 * time.Minute,
	LoadCost:       0.05,
}

// groups coordinates the lock-step groups while this entry holds the lease. A single
// lease covers all groups so that one process can apply a single budget to all of them.
// budget and the fields from campaigning on are used by the goroutine of run alone.
type groups struct {
	entry   *Entry
	lease   *lease.Lease
	inbox   chan func(now time.Time)
	budget  *placement.Budget
	metrics *placement.Metrics
	log     *logrus.Entry

	campaigning bool
	states      map[string]*groupState
	// numbers holds the IDs given out by group; it is kept while this entry runs.
	numbers     map[string]*group.Numbers
	lastOrderID uint64
	// pendingReads holds the unanswered orders to read a map or the load, by id.
	pendingReads     map[uint64]pendingRead
	loadsRequestedAt time.Time
	// pendingEngineOrders holds the unanswered orders of OrderEngine, by id.
	pendingEngineOrders map[uint64]pendingEngineOrder
}

// groupState is the coordination state of one group.
type groupState struct {
	coordinator *group.Coordinator
	planner     *group.Planner
	members     []string
}

// pendingRead is an unanswered order to read a map or the load of a group.
type pendingRead struct {
	pool  string
	order group.Order
}

func newGroups(e *Entry, cfg Config) *groups {
	ttl := cfg.GroupLeaseTTL
	if ttl == 0 {
		ttl = lease.DefaultTTL
	}
	return &groups{
		entry: e,
		lease: lease.New(lease.Config{
			Table: cfg.Platform, Clock: cfg.Clock, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Name: group.LeaseName, Holder: cfg.Settings.Name + "/" + e.node.Identity.Incarnation, TTL: ttl, Logger: cfg.Logger,
		}),
		inbox: make(chan func(time.Time), inboxCapacity), budget: placement.NewBudget(rebalanceBudget),
		metrics: placement.NewMetrics(e.metrics.Registry()), log: logs.Component(cfg.Logger, "groups"),
		states: map[string]*groupState{}, numbers: map[string]*group.Numbers{}, pendingReads: map[uint64]pendingRead{}, pendingEngineOrders: map[uint64]pendingEngineOrder{},
	}
}

func (g *groups) run(ctx context.Context) {
	ticker := g.entry.clock.NewTicker(groupStepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-g.inbox:
			call(g.entry.clock.Now())
		case <-ticker.Chan():
			g.tick(ctx, g.entry.clock.Now())
		}
	}
}

// receive queues an agent's message for run. It returns false if the message is of a
// kind that groups does not handle.
func (g *groups) receive(peer link.Identity, kind uint16, body []byte) bool {
	var call func(now time.Time)
	var err error
	switch kind {
	case group.MessageReport:
		var report group.Report
		err = link.Unmarshal(body, &report)
		call = func(now time.Time) { g.handleReport(now, peer.Name, report) }
	case group.MessageAnswer:
		var answer group.Answer
		err = link.Unmarshal(body, &answer)
		call = func(now time.Time) { g.handleAnswer(now, peer.Name, answer) }
	default:
		return false
	}
	if err != nil {
		g.log.WithField("peer", peer.Name).WithError(err).Warn("message cannot be decoded; dropped")
		return true
	}
	select {
	case g.inbox <- call:
	default:
		// The inbox is full. The message may be dropped: agents repeat their reports, and
		// orders to read a map or the load are sent again.
	}
	return true
}

func (g *groups) handleReport(now time.Time, target string, report group.Report) {
	state := g.states[report.Pool]
	if state != nil && slices.Index(state.members, target) == report.Rank {
		state.coordinator.HandleReport(now, report)
	}
}

func (g *groups) handleAnswer(now time.Time, target string, answer group.Answer) {
	if g.resolveEngineOrder(answer) {
		return
	}
	read, found := g.pendingReads[answer.ID]
	delete(g.pendingReads, answer.ID)
	if answer.Result != group.ResultDone {
		g.log.WithField("target", target).WithField("reason", answer.Reason).Warn("engine order refused or its outcome unknown")
		return
	}
	state := g.states[read.pool]
	if !found || state == nil {
		return
	}
	if answer.Content != nil {
		state.coordinator.SetMapContent(read.order.Map, answer.Content)
	}
	if answer.Load != nil && slices.Index(state.members, target) == answer.Load.Report.Rank {
		state.planner.HandleLoad(now, *answer.Load)
	}
}

func (g *groups) tick(ctx context.Context, now time.Time) {
	snapshot := g.entry.node.Current()
	if snapshot == nil {
		return
	}
	pools := snapshot.Groups()
	g.campaign(ctx, hasModelPool(snapshot))
	g.expireEngineOrders(now)
	if _, err := g.lease.Epoch(); err != nil {
		g.reset()
		return
	}
	g.updateGroups(snapshot, pools)
	pollLoads := now.Sub(g.loadsRequestedAt) >= loadPollInterval
	if pollLoads {
		g.loadsRequestedAt = now
		clear(g.pendingReads)
	}
	for _, pool := range pools {
		if pollLoads {
			g.requestLoads(pool.Name)
		}
		g.stepGroup(now, pool)
	}
}

// hasModelPool reports whether there is a model pool, whose engines take orders.
func hasModelPool(snapshot *table.Snapshot) bool {
	for _, pool := range snapshot.Table().Pools {
		if pool.Kind == table.KindModel {
			return true
		}
	}
	return false
}

// campaign starts to compete for the lease, until ctx ends, once a lease is wanted and
// this entry is among the first maxLeaseCandidates live entries by name.
func (g *groups) campaign(ctx context.Context, wanted bool) {
	if g.campaigning || !wanted {
		return
	}
	before := 0
	for _, host := range g.entry.node.Rollout.Hosts() {
		if host.Role == link.RoleEntry && host.Name < g.entry.settings.Name {
			before++
		}
	}
	if before >= maxLeaseCandidates {
		return
	}
	g.campaigning = true
	g.entry.node.Background(ctx, func(ctx context.Context) { _ = g.lease.Run(ctx) })
}

// reset drops the state of all groups; it is called while this entry does not hold the
// lease, when another entry may coordinate them.
func (g *groups) reset() {
	for name := range g.states {
		g.budget.End(name)
	}
	clear(g.states)
	clear(g.pendingReads)
}

// updateGroups brings the coordinated groups and the budget's leaving failure domains
// in line with the tables.
func (g *groups) updateGroups(snapshot *table.Snapshot, pools []*table.CompiledPool) {
	wanted := map[string]bool{}
	for _, pool := range pools {
		wanted[pool.Name] = true
		if state := g.states[pool.Name]; state != nil && slices.Equal(state.members, pool.Targets) {
			continue
		}
		g.budget.End(pool.Name)
		if g.numbers[pool.Name] == nil {
			g.numbers[pool.Name] = &group.Numbers{}
		}
		g.states[pool.Name] = &groupState{
			coordinator: group.NewCoordinator(pool.Name, len(pool.Targets), g.numbers[pool.Name]),
			planner:     group.NewPlanner(pool.Name, len(pool.Targets), g.budget, g.metrics),
			members:     pool.Targets,
		}
	}
	for name := range g.states {
		if !wanted[name] {
			g.budget.End(name)
			delete(g.states, name)
		}
	}
	for name, domain := range snapshot.Table().Domains {
		g.budget.SetLeaving(name, domain.Out)
	}
}

func (g *groups) requestLoads(pool string) {
	for rank := range g.states[pool].members {
		g.send(pool, group.RankOrder{Rank: rank, Order: group.Order{Pool: pool, Kind: group.OrderReadLoad}})
	}
}

func (g *groups) stepGroup(now time.Time, pool *table.CompiledPool) {
	state := g.states[pool.Name]
	epoch, err := g.lease.Epoch()
	if err != nil {
		return
	}
	result := state.coordinator.Step(now, epoch)
	if result.Outcome != nil {
		state.planner.HandleOutcome(*result.Outcome)
		g.log.WithField("group", pool.Name).WithField("decision", result.Outcome.Decision).Info("map switch ended")
	}
	for _, send := range result.Orders {
		g.send(pool.Name, send)
	}
	present := state.coordinator.CurrentMap(now)
	// A leaving target is about to change the group's membership, which makes weights
	// moved now useless.
	allUsable := len(pool.Usable) == len(pool.Members)
	if present == nil || state.coordinator.InProgress() || !allUsable {
		return
	}
	if change, ok := state.planner.Decide(now, present, domainsOf(pool), !pool.Rebalance); ok {
		state.coordinator.Begin(now, change)
	}
}

// domainsOf returns the failure domains of a group's targets.
func domainsOf(pool *table.CompiledPool) []string {
	var domains []string
	for _, member := range pool.Members {
		if !slices.Contains(domains, member.FailureDomain) {
			domains = append(domains, member.FailureDomain)
		}
	}
	return domains
}

// send sends an order to a rank of a group. The lease's epoch is read immediately
// before; nothing is sent if the lease is not held or the order is of another epoch.
func (g *groups) send(pool string, send group.RankOrder) {
	epoch, err := g.lease.Epoch()
	if err != nil {
		return
	}
	g.lastOrderID++
	order := send.Order
	order.ID = g.lastOrderID
	if order.Kind == group.OrderReadLoad {
		order.Epoch = epoch
	}
	if order.Epoch != epoch {
		return
	}
	if order.Kind == group.OrderReadLoad || order.Kind == group.OrderReadMap {
		g.pendingReads[order.ID] = pendingRead{pool: pool, order: order}
	}
	// The error is ignored: a lost order is sent again by a later step.
	_ = g.entry.node.Peers.Send(g.states[pool].members[send.Rank], group.MessageOrder, &order)
}
