package agent

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/engine"
	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/daemon/group"
	"verbenaseam.example/verbenaseam/daemon/node"
	"verbenaseam.example/verbenaseam/process/drain"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/metrics"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/stream"
	"verbenaseam.example/verbenaseam/version/table"
)

// Config is what an agent is made of.
type Config struct {
	Settings settings.Agent
	Platform platform.Service
	Clock    clockwork.Clock
	Logger   *logrus.Logger
}

// Agent is one agent process.
type Agent struct {
	settings settings.Agent
	clock    clockwork.Clock
	log      *logrus.Entry
	metrics  *metrics.Metrics
	node     *node.Node
	engine   *engine.Client
	gate     *admit.Gate
	// admission admits at the gate.
	admission *admission
	flight    *flight
	monitor   *monitor
	forward   *forwarder
	permit    *permit
	orders    *orders
	// group takes part in the engine's lock-step group; engineOrders carries out
	// what the lease holder orders.
	group        *groupRank
	engineOrders *engineOrders
	poison       *poison.Tracker
	trials       *trials
	leaving      atomic.Bool
	// serving counts the requests in flight; leave waits for it.
	serving *drain.InFlight
	// load is the engine's last state.
	load atomic.Pointer[engine.State]
}

// Cold limit and maximum before the tables tell them.
const (
	initialColdLimit = 1
	initialMaximum   = 1
)

// New assembles an agent; nothing runs before Run.
func New(cfg Config) (*Agent, error) {
	client, err := engine.NewClient(cfg.Settings.EngineURL, cfg.Settings.EngineKind)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings: cfg.Settings, clock: cfg.Clock, engine: client, flight: newFlight(), serving: drain.NewInFlight(),
		poison: poison.NewTracker(poison.Config{}, cfg.Clock), trials: &trials{},
		log:     logs.Component(cfg.Logger, "agent"),
		metrics: metrics.New(link.RoleAgent, metrics.DefaultMaxOrganisations),
		gate: admit.NewGate(admit.GateConfig{
			ColdLimit: initialColdLimit, Maximum: initialMaximum,
			Kind: table.PoolKind(cfg.Settings.EngineKind), Clock: cfg.Clock,
		}),
	}
	a.admission = newAdmission(a.gate)
	a.load.Store(&engine.State{})
	a.node, err = node.New(node.Config{
		Name: cfg.Settings.Name, Role: link.RoleAgent, FailureDomain: cfg.Settings.FailureDomain,
		Address: cfg.Settings.LinkAddress, Platform: cfg.Platform, TLS: cfg.Settings.TLS,
		Clock: cfg.Clock, Logger: cfg.Logger, Metrics: a.metrics, Handler: a,
	})
	if err != nil {
		return nil, err
	}
	a.permit = &permit{target: cfg.Settings.Name, configuration: a.node.Rollout}
	a.monitor = a.newMonitor(cfg)
	a.forward = &forwarder{engine: client, flight: a.flight, monitor: a.monitor}
	a.orders = newOrders(a, cfg.Clock)
	a.group = newGroupRank(a)
	a.engineOrders = newEngineOrders(a, cfg.Platform)
	return a, nil
}

func (a *Agent) newMonitor(cfg Config) *monitor {
	return &monitor{
		target: cfg.Settings.Name, engine: a.engine, gate: a.gate, admission: a.admission, flight: a.flight,
		clock: cfg.Clock, interval: cfg.Settings.ProbeInterval,
		log:      logs.Component(cfg.Logger, "probe"),
		crashed:  a.reportCrash,
		observed: func(state engine.State) { a.load.Store(&state) },
		trials:   a.trials,
	}
}

// Name is the target's name.
func (a *Agent) Name() string { return a.settings.Name }

// Ready tells whether the agent has a configuration and has found its engine.
func (a *Agent) Ready() bool {
	_, known := a.monitor.current()
	return known && a.node.Current() != nil && !a.leaving.Load()
}

// Run serves until ctx ends, then leaves gracefully; cut ends what is still in
// flight.
func (a *Agent) Run(ctx, cut context.Context) error {
	listener, err := node.Listen(a.settings.StatusAddress)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	node.HandleHealth(mux, a.metrics, a.Ready)
	status := &http.Server{Handler: mux, ReadHeaderTimeout: statusTimeout}
	go func() { _ = status.Serve(listener) }()
	defer func() { _ = status.Close() }()
	if err := a.node.Start(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	a.node.Background(background, a.monitor.run)
	a.node.Background(background, a.follow)
	a.node.Background(background, a.group.run)
	a.node.Background(background, a.engineOrders.run)
	a.node.Background(background, a.engineOrders.runReads)
	a.log.WithField("address", a.settings.LinkAddress).Info("serving")
	<-ctx.Done()
	a.leave(cut)
	stop()
	a.node.Stop()
	a.engine.Close()
	return nil
}

const (
	statusTimeout  = 5 * time.Second
	reportInterval = 100 * time.Millisecond
)

// follow keeps the gate to the tables and reports the load.
func (a *Agent) follow(ctx context.Context) {
	var reports reporting
	for ctx.Err() == nil {
		changed := a.node.Rollout.Changed()
		a.followTables()
		if report := a.loadReport(); reports.due(report, a.entries(), a.clock.Now()) {
			a.node.Peers.Broadcast(link.RoleEntry, stream.MessageLoad, &report)
		}
		select {
		case <-a.clock.After(reportInterval):
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (a *Agent) followTables() {
	snapshot := a.node.Current()
	if snapshot == nil {
		return
	}
	for name := range snapshot.Table().Pools {
		pool, _ := snapshot.Pool(name)
		if holds(pool, a.settings.Name) {
			a.gate.SetBounds(pool.ColdLimit, pool.Maximum)
		}
	}
	reason, closed := a.permit.closedBy(snapshot)
	switch {
	case a.leaving.Load():
		a.gate.Close(admit.ReasonLeaving)
	case closed:
		a.gate.Close(reason)
	default:
		a.gate.Open()
	}
}

func holds(pool *table.CompiledPool, target string) bool {
	for _, name := range pool.Targets {
		if name == target {
			return true
		}
	}
	return false
}

// loadReport is what this target bears now.
func (a *Agent) loadReport() stream.LoadReport {
	incarnation, _ := a.monitor.current()
	state := a.gate.State()
	load := a.load.Load()
	return stream.LoadReport{
		Target: a.settings.Name, EngineIncarnation: incarnation,
		Limit: state.Limit, InFlight: state.InFlight,
		Running: load.Running, Waiting: load.Waiting,
		Open: state.Closed == "", Warm: state.Warm,
		Credits: a.gate.Credits(a.entries()), Version: a.node.Version(),
		AgentTime: a.orders.execution.Time(),
	}
}

// reportLoad tells the entries at once.
func (a *Agent) reportLoad() {
	report := a.loadReport()
	a.node.Peers.Broadcast(link.RoleEntry, stream.MessageLoad, &report)
}

// entries counts the entries linked to this agent.
func (a *Agent) entries() int {
	count := 0
	for _, l := range a.node.Peers.Links() {
		if l.Peer().Role == link.RoleEntry {
			count++
		}
	}
	return count
}

// reportCrash tells the entries which requests were in flight when an engine
// incarnation ended.
func (a *Agent) reportCrash(report stream.CrashReport) {
	a.poison.Crashed(poison.Crash{
		Target: report.Target, Incarnation: report.EngineIncarnation,
		Fingerprints: report.Fingerprints, OnTrial: report.OnTrial,
	}, 0)
	a.node.Peers.Broadcast(link.RoleEntry, stream.MessageCrash, &report)
}

// ServeMessage implements link.Handler.
func (a *Agent) ServeMessage(_ context.Context, l *link.Link, kind uint16, body []byte) {
	switch kind {
	case stream.MessageRelease:
		a.orders.release(body)
	case group.MessageExpertMap:
		a.group.receive(l.Peer().Name, body)
	case group.MessageOrder:
		a.engineOrders.receive(l.Peer(), body)
	case stream.MessageEvidence:
		var evidence poison.Evidence
		if err := link.Unmarshal(body, &evidence); err != nil {
			a.log.WithField("peer", l.Peer().Name).WithError(err).Warn("malformed evidence")
			return
		}
		a.poison.Merge(evidence)
	default:
		a.log.WithField("kind", kind).Debug("unknown message")
	}
}

// leave refuses new work, finishes what is in flight, and returns. cut, or the
// limit in the settings, ends the wait.
func (a *Agent) leave(cut context.Context) {
	plan := drain.Plan{
		Clock: a.clock, Limit: a.settings.Shutdown.Timeout, Logger: a.log.Logger,
		Steps: []drain.Step{
			{Name: "refuse new work", Run: func(context.Context) error {
				a.leaving.Store(true)
				a.gate.Close(admit.ReasonLeaving)
				a.reportLoad()
				return nil
			}},
			{Name: "finish work in flight", Run: a.serving.CloseAndWait},
		},
	}
	if err := plan.Run(cut.Done()); err != nil {
		a.log.WithError(err).Warn("requests in flight are cut")
	}
}
