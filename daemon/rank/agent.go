package rank

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/daemon/command"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

const (
	// tickEvery is the agent's shortest interval.
	tickEvery = 20 * time.Millisecond
	// reportEvery is the time between two reports of a rank for which no switch is
	// under way.
	reportEvery = 100 * time.Millisecond
	// statusEvery is the time between two statuses for the planner.
	statusEvery = 100 * time.Millisecond
	// directiveEvery is the time between two directives of the planner.
	directiveEvery = 100 * time.Millisecond
	// plannerSilence is how long the planner may be silent before another rank's
	// agent plans, plannerStagger what each rank waits beyond the one before it.
	plannerSilence = 500 * time.Millisecond
	plannerStagger = 150 * time.Millisecond
	// patience is how long a promise stays undecided before its agent asks the
	// others, stagger what each rank waits beyond the one before it.
	patience = 120 * time.Millisecond
	stagger  = 10 * time.Millisecond
	// inboxSize is how many datagrams wait for the agent.
	inboxSize = 256
)

// Config is what an Agent is made of.
type Config struct {
	Settings settings.Rank
	// File is where the settings came from.
	File   string
	Store  *platform.Store
	Clock  clockwork.Clock
	Logger *logrus.Logger
}

// Agent is the process. One goroutine does its work.
type Agent struct {
	settings settings.Rank
	file     string
	store    *platform.Store
	clock    clockwork.Clock
	log      *logrus.Entry
	registry *prometheus.Registry
	metrics  *placement.Metrics

	target *platform.Rank
	// incarnation names this start of the agent, among all agents.
	incarnation uint64
	socket      *net.UDPConn
	inbox       chan datagram
	// facts brings what was read from the store.
	facts chan storeFacts

	engine *expertmap.CommandEngine
	driver *expertmap.Driver
	// place is the one for which the driver was formed.
	place place
	// reported is when the engine's report was read, failing that it could not be.
	reported time.Time
	failing  bool
	// pace is the target's pace as it was last told of.
	pace     float64
	slowness slowness
	// stray is since when the engine holds for no proposal.
	stray time.Time

	planner *rebalance.Planner
	// directive is the latest of another agent that plans, and plannerAddress where
	// it came from.
	directive      *rebalance.Directive
	directiveHeard time.Time
	plannerAddress netip.AddrPort
	// since is when the agent could first have heard of a planner.
	since time.Time

	experts *config.Experts
	// gap is the longest pause that a stream of the service may have.
	gap       time.Duration
	addresses []netip.AddrPort
	// targets are the targets' addresses by host, remotes their clients by address.
	targets map[netip.Addr]string
	remotes map[string]*platform.Rank
	asked   time.Time

	// host is this agent's, port the one that all agents use.
	host netip.Addr
	port uint16

	counts platform.Counts
	// counted is when the counts were last told.
	counted time.Time
	// assembly holds the parts of the map that the planner wants.
	assembly rebalance.MapAssembler
	// told is the report of the latest status.
	told     expertmap.RankReport
	sent     uint64
	statused time.Time
	directed time.Time
	// outbox holds what the planner has yet to send.
	outbox    []outgoing
	preparing preparation
}

// datagram is one message from another agent.
type datagram struct {
	from     netip.AddrPort
	envelope rebalance.Envelope
}

// New returns an agent that has opened nothing yet.
func New(cfg Config) *Agent {
	now := cfg.Clock.Now()
	target := platform.NewRank(cfg.Settings.TargetAddress)
	registry := prometheus.NewRegistry()
	return &Agent{
		registry: registry, metrics: placement.NewMetrics(registry),
		settings: cfg.Settings, file: cfg.File, store: cfg.Store, clock: cfg.Clock, log: logs.Component(cfg.Logger, "rank"),
		target: target, incarnation: newIncarnation(now), inbox: make(chan datagram, inboxSize),
		slowness: slowness{found: make(chan []netip.AddrPort, 1)},
		facts:    make(chan storeFacts, 1), remotes: map[string]*platform.Rank{}, engine: expertmap.NewCommandEngine(orders{target}), since: now,
	}
}

// randomBits is the part of an incarnation that tells apart agents that start
// within the same millisecond.
const randomBits = 20

func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<randomBits | rand.Uint64N(1<<randomBits)
}

// Run implements command.Daemon.
func (a *Agent) Run(ctx, _ context.Context) error {
	address, err := netip.ParseAddrPort(a.settings.PeerAddress)
	if err != nil {
		return err
	}
	a.host, a.port = address.Addr(), address.Port()
	if a.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address)); err != nil {
		return err
	}
	a.log.WithFields(logrus.Fields{"name": a.settings.Name, "target": a.settings.TargetAddress}).Info("started")
	go a.receive()
	stop, err := a.serveMetrics()
	if err != nil {
		return err
	}
	defer stop()
	a.loop(ctx)
	_ = a.socket.Close()
	a.log.Info("stopped")
	return nil
}

// Reload implements command.Reloader. Nothing of an agent's settings may change
// while it runs, so they are only checked.
func (a *Agent) Reload() {
	if _, err := settings.LoadRank(a.file); err != nil {
		a.log.WithError(err).Error("settings not reloaded")
		return
	}
	a.log.WithField("file", a.file).Info("settings reloaded")
}

// serveMetrics serves the metrics if the settings name an address, until stop.
func (a *Agent) serveMetrics() (stop func(), err error) {
	if a.settings.MetricsAddress == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", a.settings.MetricsAddress)
	if err != nil {
		return nil, err
	}
	server := command.MetricsServer(promhttp.HandlerFor(a.registry, promhttp.HandlerOpts{}))
	// Serve returns when the server is closed.
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}

func (a *Agent) loop(ctx context.Context) {
	ticker := a.clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-a.inbox:
			a.take(received)
		case found := <-a.facts:
			a.learn(found)
		case <-ticker.Chan():
			a.tick(ctx)
		}
	}
}

func (a *Agent) tick(ctx context.Context) {
	now := a.clock.Now()
	if now.Sub(a.reported) >= a.reportInterval() {
		a.refresh(now)
	}
	a.tellEntries(ctx, now)
	if a.driver == nil {
		return
	}
	a.driver.Tick(now)
	a.dropStray(now)
	a.role(ctx, now)
	a.prepare(ctx, now)
	if now.Sub(a.statused) >= statusEvery || a.progressed() {
		a.statused = now
		a.status(ctx, now)
	}
	a.plan(now)
}

// reportInterval is shorter while something is under way.
func (a *Agent) reportInterval() time.Duration {
	if a.wanted() != nil || a.engine.LastReport().ArmedVersion != 0 || a.driver != nil && a.driver.Agent().Undecided() != nil {
		return tickEvery
	}
	return reportEvery
}

// progressed tells whether the planner waits for what the report says now.
func (a *Agent) progressed() bool {
	report := a.engine.LastReport()
	return report.Prepared != a.told.Prepared || report.Running != a.told.Running
}

// ProposalEnded implements expertmap.Observer.
func (a *Agent) ProposalEnded(ended expertmap.Outcome) {
	to, step := ended.ID.MapAndStep()
	a.log.WithFields(logrus.Fields{"map": to.Number(), "step": step, "decision": ended.Decision.String()}).Info("proposal ended")
	if a.planner != nil {
		a.note(a.planner.HandleOutcome(ended, a.clock.Now()))
	}
}

// EngineFailed implements expertmap.Observer.
func (a *Agent) EngineFailed(action expertmap.ActionKind, err error) {
	if errors.Is(err, expertmap.ErrSwitchNotArmed) {
		a.log.WithError(err).Error("switch not made")
		return
	}
	a.log.WithError(err).WithField("action", action).Debug("engine order open")
}
