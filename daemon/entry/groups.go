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
	// groupsTick is the time between two looks at the groups.
	groupsTick = 50 * time.Millisecond
	// loadsInterval is the time between two asks for the experts' load.
	loadsInterval = time.Second
	// groupsInbox bounds the messages of agents that wait for the loop.
	groupsInbox = 4096
	// maxCandidates bounds the entries that ask for the lease, and with them the
	// reads of its row.
	maxCandidates = 4
)

// rebalancing holds the limits of rebalancing over all groups.
var rebalancing = placement.BudgetConfig{
	BytesPerSecond: 2 << 30,
	BurstBytes:     64 << 30,
	Horizon:        10 * time.Minute,
	LoadCost:       0.05,
}

// groups leads the lock-step groups while this entry holds the lease. One lease
// covers all groups, so that one budget does. All fields but inbox belong to the
// loop in run.
type groups struct {
	entry   *Entry
	lease   *lease.Lease
	inbox   chan func(now time.Time)
	budget  *placement.Budget
	metrics *placement.Metrics
	log     *logrus.Entry

	campaigning bool
	led         map[string]*ledGroup
	orders      uint64
	// reads holds which group and map an order to read a map was about.
	reads   map[uint64]readOrder
	askedAt time.Time
	// awaited holds the orders whose answers somebody waits for, by id.
	awaited map[uint64]awaited
}

// ledGroup is one group under the lease.
type ledGroup struct {
	coordinator *group.Coordinator
	planner     *group.Planner
	members     []string
}

type readOrder struct {
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
			Rows: cfg.Platform, Clock: cfg.Clock, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Name: group.LeaseName, Holder: cfg.Settings.Name + "/" + e.node.Identity.Incarnation, TTL: ttl, Logger: cfg.Logger,
		}),
		inbox: make(chan func(time.Time), groupsInbox), budget: placement.NewBudget(rebalancing),
		metrics: placement.NewMetrics(e.metrics.Registry()), log: logs.Component(cfg.Logger, "groups"),
		led: map[string]*ledGroup{}, reads: map[uint64]readOrder{}, awaited: map[uint64]awaited{},
	}
}

func (g *groups) run(ctx context.Context) {
	ticker := g.entry.clock.NewTicker(groupsTick)
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

// receive takes a message of an agent; it returns false for other kinds.
func (g *groups) receive(peer link.Identity, kind uint16, body []byte) bool {
	var call func(now time.Time)
	var err error
	switch kind {
	case group.MessageReport:
		var report group.Report
		err = link.Unmarshal(body, &report)
		call = func(now time.Time) { g.report(now, peer.Name, report) }
	case group.MessageAnswer:
		var answer group.Answer
		err = link.Unmarshal(body, &answer)
		call = func(now time.Time) { g.answer(now, peer.Name, answer) }
	default:
		return false
	}
	if err != nil {
		g.log.WithField("peer", peer.Name).WithError(err).Warn("malformed message")
		return true
	}
	select {
	case g.inbox <- call:
	default:
		// What is lost comes again.
	}
	return true
}

func (g *groups) report(now time.Time, target string, report group.Report) {
	led := g.led[report.Pool]
	if led != nil && slices.Index(led.members, target) == report.Rank {
		led.coordinator.Report(now, report)
	}
}

func (g *groups) answer(now time.Time, target string, answer group.Answer) {
	if g.deliver(answer) {
		return
	}
	asked, found := g.reads[answer.ID]
	delete(g.reads, answer.ID)
	if answer.Result != group.ResultDone {
		g.log.WithField("target", target).WithField("reason", answer.Reason).Warn("order not carried out")
		return
	}
	led := g.led[asked.pool]
	if !found || led == nil {
		return
	}
	if answer.Content != nil {
		led.coordinator.Content(asked.order.Map, answer.Content)
	}
	if answer.Load != nil && slices.Index(led.members, target) == answer.Load.Report.Rank {
		led.planner.Load(now, *answer.Load)
	}
}

func (g *groups) tick(ctx context.Context, now time.Time) {
	snapshot := g.entry.node.Current()
	if snapshot == nil {
		return
	}
	pools := snapshot.Groups()
	g.campaign(ctx, takesOrders(snapshot))
	g.forgetLate(now)
	if _, err := g.lease.Epoch(); err != nil {
		g.abandon()
		return
	}
	g.follow(snapshot, pools)
	ask := now.Sub(g.askedAt) >= loadsInterval
	if ask {
		g.askedAt = now
		clear(g.reads)
	}
	for _, pool := range pools {
		if ask {
			g.askLoads(pool.Name)
		}
		g.lead(now, pool)
	}
}

// takesOrders tells whether there is an engine that orders may go to.
func takesOrders(snapshot *table.Snapshot) bool {
	for _, pool := range snapshot.Table().Pools {
		if pool.Kind == table.KindModel {
			return true
		}
	}
	return false
}

// campaign asks for the lease from the time on that this entry is among the
// first live ones and there is an engine.
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
	if before >= maxCandidates {
		return
	}
	g.campaigning = true
	g.entry.node.Background(ctx, func(ctx context.Context) { _ = g.lease.Run(ctx) })
}

// abandon forgets all groups: another entry leads them.
func (g *groups) abandon() {
	for name := range g.led {
		g.budget.End(name)
	}
	clear(g.led)
	clear(g.reads)
}

// follow keeps the groups led and the failure domains that are leaving up to
// the tables.
func (g *groups) follow(snapshot *table.Snapshot, pools []*table.CompiledPool) {
	wanted := map[string]bool{}
	for _, pool := range pools {
		wanted[pool.Name] = true
		if led := g.led[pool.Name]; led != nil && slices.Equal(led.members, pool.Targets) {
			continue
		}
		g.budget.End(pool.Name)
		g.led[pool.Name] = &ledGroup{
			coordinator: group.NewCoordinator(pool.Name, len(pool.Targets)),
			planner:     group.NewPlanner(pool.Name, len(pool.Targets), g.budget, g.metrics),
			members:     pool.Targets,
		}
	}
	for name := range g.led {
		if !wanted[name] {
			g.budget.End(name)
			delete(g.led, name)
		}
	}
	for name, domain := range snapshot.Table().Domains {
		g.budget.SetLeaving(name, domain.Out)
	}
}

func (g *groups) askLoads(pool string) {
	for rank := range g.led[pool].members {
		g.send(pool, group.Send{Rank: rank, Order: group.Order{Pool: pool, Kind: group.OrderReadLoad}})
	}
}

func (g *groups) lead(now time.Time, pool *table.CompiledPool) {
	led := g.led[pool.Name]
	epoch, err := g.lease.Epoch()
	if err != nil {
		return
	}
	out := led.coordinator.Step(now, epoch)
	if out.Ended != nil {
		led.planner.Ended(*out.Ended)
		g.log.WithField("group", pool.Name).WithField("decision", out.Ended.Decision).Info("switch ended")
	}
	for _, send := range out.Sends {
		g.send(pool.Name, send)
	}
	present := led.coordinator.Present(now)
	// A target that leaves is about to change the group: weights moved now are
	// moved in vain.
	whole := len(pool.Usable) == len(pool.Members)
	if present == nil || led.coordinator.Busy() || !whole {
		return
	}
	if change, ok := led.planner.Decide(now, present, domainsOf(pool), !pool.Rebalance); ok {
		led.coordinator.Begin(now, change)
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

// send gives an order under the lease; the epoch is taken right before it.
func (g *groups) send(pool string, send group.Send) {
	epoch, err := g.lease.Epoch()
	if err != nil {
		return
	}
	g.orders++
	order := send.Order
	order.ID = g.orders
	if order.Kind == group.OrderReadLoad {
		order.Epoch = epoch
	}
	if order.Epoch != epoch {
		return
	}
	if order.Kind == group.OrderReadLoad || order.Kind == group.OrderReadMap {
		g.reads[order.ID] = readOrder{pool: pool, order: order}
	}
	// An order that is lost is given again.
	_ = g.entry.node.Peers.Send(g.led[pool].members[send.Rank], group.MessageOrder, &order)
}
