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

// Config holds the settings and dependencies of an agent.
type Config struct {
	Settings settings.Agent
	Platform platform.Service
	Clock    clockwork.Clock
	Logger   *logrus.Logger
}

// Agent is one agent process.
type Agent struct {
	settings           settings.Agent
	clock              clockwork.Clock
	log                *logrus.Entry
	metrics            *metrics.Metrics
	node               *node.Node
	engine             *engine.Client
	gate               *admit.Gate
	admission          *admission
	inFlight           *inFlightTracker
	monitor            *monitor
	forwarder          *forwarder
	configurationGuard *configurationGuard
	onceOrders         *onceOrders
	// group takes part in the lock-step group on behalf of the engine.
	group *groupMember
	// engineOrders executes the orders of the lease holder.
	engineOrders *engineOrders
	poison       *poison.Tracker
	trials       *trials
	leaving      atomic.Bool
	// serving counts the requests in flight; shutDown waits until there are none.
	serving *drain.InFlight
	// load is the engine state from the last successful probe.
	load atomic.Pointer[engine.State]
}

// Cold limit and maximum in force until the first tables arrive.
const (
	initialColdLimit = 1
	initialMaximum   = 1
)

// New creates an agent. It starts no background work; call Run for that.
func New(cfg Config) (*Agent, error) {
	client, err := engine.NewClient(cfg.Settings.EngineURL, cfg.Settings.EngineKind)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings: cfg.Settings, clock: cfg.Clock, engine: client, inFlight: newInFlightTracker(), serving: drain.NewInFlight(),
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
	a.configurationGuard = &configurationGuard{target: cfg.Settings.Name, configuration: a.node.Rollout}
	a.monitor = a.newMonitor(cfg)
	a.forwarder = &forwarder{engine: client, inFlight: a.inFlight, monitor: a.monitor}
	a.onceOrders = newOnceOrders(a, cfg.Clock)
	a.group = newGroupMember(a)
	a.engineOrders = newEngineOrders(a, cfg.Platform)
	return a, nil
}

func (a *Agent) newMonitor(cfg Config) *monitor {
	return &monitor{
		target: cfg.Settings.Name, engine: a.engine, gate: a.gate, admission: a.admission, inFlight: a.inFlight,
		clock: cfg.Clock, interval: cfg.Settings.ProbeInterval,
		log:     logs.Component(cfg.Logger, "probe"),
		onCrash: a.recordCrash,
		onProbe: func(state engine.State) { a.load.Store(&state) },
		trials:  a.trials,
	}
}

// Name returns the name of the agent's target.
func (a *Agent) Name() string { return a.settings.Name }

// Ready reports whether the agent has a configuration, has reached its engine and
// is not shutting down.
func (a *Agent) Ready() bool {
	_, known := a.monitor.current()
	return known && a.node.Current() != nil && !a.leaving.Load()
}

// Run serves until ctx is done, then shuts down gracefully. When abort is done,
// it stops waiting for the requests in flight.
func (a *Agent) Run(ctx, abort context.Context) error {
	listener, err := node.Listen(a.settings.StatusAddress)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	node.HandleHealth(mux, a.metrics, a.Ready)
	status := &http.Server{Handler: mux, ReadHeaderTimeout: statusReadHeaderTimeout}
	go func() { _ = status.Serve(listener) }()
	defer func() { _ = status.Close() }()
	if err := a.node.Start(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	a.node.Background(background, a.monitor.run)
	a.node.Background(background, a.runLoadReports)
	a.node.Background(background, a.group.run)
	a.node.Background(background, a.engineOrders.run)
	a.node.Background(background, a.engineOrders.runReads)
	a.log.WithField("address", a.settings.LinkAddress).Info("serving")
	<-ctx.Done()
	a.shutDown(abort)
	stop()
	a.node.Stop()
	a.engine.Close()
	return nil
}

const (
	// statusReadHeaderTimeout bounds how long a client may take to send the headers of
	// a request to the status address.
	statusReadHeaderTimeout = 5 * time.Second
	// loadPollInterval is the time between two checks of the load and the tables.
	// It is also the shortest retry delay given to callers.
	loadPollInterval = 100 * time.Millisecond
)

// runLoadReports applies the tables to the gate and sends load reports to the
// entries.
func (a *Agent) runLoadReports(ctx context.Context) {
	var scheduler loadReportScheduler
	for ctx.Err() == nil {
		changed := a.node.Rollout.Changed()
		a.applyTables()
		if report := a.loadReport(); scheduler.shouldSend(report, a.countEntryLinks(), a.clock.Now()) {
			a.node.Peers.Broadcast(link.RoleEntry, stream.MessageLoad, &report)
		}
		select {
		case <-a.clock.After(loadPollInterval):
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// applyTables sets the gate's bounds from the pool and closes or opens the gate
// according to the tables in force.
func (a *Agent) applyTables() {
	snapshot := a.node.Current()
	if snapshot == nil {
		return
	}
	for name := range snapshot.Table().Pools {
		pool, _ := snapshot.Pool(name)
		if poolContains(pool, a.settings.Name) {
			a.gate.SetBounds(pool.ColdLimit, pool.Maximum)
		}
	}
	reason, closed := a.configurationGuard.closeReason(snapshot)
	switch {
	case a.leaving.Load():
		a.gate.Close(admit.ReasonLeaving)
	case closed:
		a.gate.Close(reason)
	default:
		a.gate.Open()
	}
}

func poolContains(pool *table.CompiledPool, target string) bool {
	for _, name := range pool.Targets {
		if name == target {
			return true
		}
	}
	return false
}

// loadReport returns the current load of this target.
func (a *Agent) loadReport() stream.LoadReport {
	incarnation, _ := a.monitor.current()
	state := a.gate.State()
	load := a.load.Load()
	return stream.LoadReport{
		Target: a.settings.Name, EngineIncarnation: incarnation,
		Limit: state.Limit, InFlight: state.InFlight,
		Running: load.Running, Waiting: load.Waiting,
		Open: state.Closed == "", Warm: state.Warm,
		Credits: a.gate.Credits(a.countEntryLinks()), Version: a.node.Version(),
		AgentTime: a.onceOrders.tracker.Time(),
	}
}

// broadcastLoad sends a load report to all entries without waiting for the
// schedule.
func (a *Agent) broadcastLoad() {
	report := a.loadReport()
	a.node.Peers.Broadcast(link.RoleEntry, stream.MessageLoad, &report)
}

// countEntryLinks returns the number of entries linked to this agent.
func (a *Agent) countEntryLinks() int {
	count := 0
	for _, l := range a.node.Peers.Links() {
		if l.Peer().Role == link.RoleEntry {
			count++
		}
	}
	return count
}

// recordCrash handles the end of an engine incarnation: it records the requests that
// were in flight as crash evidence and sends the report to the entries.
func (a *Agent) recordCrash(report stream.CrashReport) {
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
		a.onceOrders.release(body)
	case group.MessageExpertMap:
		a.group.receive(l.Peer().Name, body)
	case group.MessageOrder:
		a.engineOrders.receive(l.Peer(), body)
	case stream.MessageEvidence:
		var evidence poison.Evidence
		if err := link.Unmarshal(body, &evidence); err != nil {
			a.log.WithField("peer", l.Peer().Name).WithError(err).Warn("poison evidence cannot be decoded; dropped")
			return
		}
		a.poison.Merge(evidence)
	default:
		a.log.WithField("kind", kind).Debug("message of unknown kind dropped")
	}
}

// shutDown refuses new work and waits for the requests in flight to finish, until
// abort is done or the time limit of the settings has passed.
func (a *Agent) shutDown(abort context.Context) {
	plan := drain.Plan{
		Clock: a.clock, Limit: a.settings.Shutdown.Timeout, Logger: a.log.Logger,
		Steps: []drain.Step{
			{Name: "refuse new work", Run: func(context.Context) error {
				a.leaving.Store(true)
				a.gate.Close(admit.ReasonLeaving)
				a.broadcastLoad()
				return nil
			}},
			{Name: "finish work in flight", Run: a.serving.CloseAndWait},
		},
	}
	if err := plan.Run(abort.Done()); err != nil {
		a.log.WithError(err).Warn("shutdown did not complete; aborting requests in flight")
	}
}
