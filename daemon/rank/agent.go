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
	"verbenaseam.example/verbenaseam/process/release"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

const (
	// tickInterval is the interval of the agent's timer, and that of reads of the
	// engine's report while a map is being copied or switched to.
	tickInterval = 20 * time.Millisecond
	// idleReportInterval is the time between two reads of the engine's report while no
	// switch is in progress.
	idleReportInterval = 100 * time.Millisecond
	// minDirectiveInterval is the time between two directives of the planner in groups of
	// up to ranksPerRound ranks while no map is being copied. A directive with a new map
	// is sent at once.
	minDirectiveInterval = 100 * time.Millisecond
	// plannerTimeout is how long the planner may be silent, beyond two directive
	// intervals, before the agent of another rank takes over planning. Each rank waits
	// plannerStagger longer than the one before it. After plannerTimeout alone, agents
	// accept directives of a higher rank than the planner's.
	plannerTimeout = 500 * time.Millisecond
	plannerStagger = 150 * time.Millisecond
	// pollInterval is how long a proposal that an agent has promised may stay undecided
	// before the agent polls the others. Each rank waits pollStagger longer than the one before it.
	pollInterval = 120 * time.Millisecond
	pollStagger  = 10 * time.Millisecond
	// ranksPerRound is the number of ranks that receive a directive in one round. Larger
	// groups take several rounds, because the bandwidth of links is low.
	ranksPerRound = 16
	// inboxCapacity is the number of received datagrams that are queued; further ones
	// are dropped.
	inboxCapacity = 256
)

// Config holds the settings and dependencies of an Agent.
type Config struct {
	Settings settings.Rank
	// File is the path of the settings file.
	File   string
	Store  *platform.Store
	Clock  clockwork.Clock
	Logger *logrus.Logger
}

// Agent is the agent of one rank. Its state is used by a single goroutine; others only
// receive datagrams, read the store and serve metrics.
type Agent struct {
	settings settings.Rank
	file     string
	store    *platform.Store
	clock    clockwork.Clock
	log      *logrus.Entry
	registry *prometheus.Registry
	metrics  *placement.Metrics

	target *platform.RankClient
	// incarnation identifies this run of the agent among those of all agents.
	incarnation uint64
	socket      *net.UDPConn
	inbox       chan datagram
	dropped     *droppedDatagrams
	// storeReads receives the results of readStore.
	storeReads chan storeData

	engine *expertmap.CommandEngine
	driver *expertmap.Driver
	// identity is the engine identity for which the driver was last reset.
	identity engineIdentity
	// reportReadAt is the time of the last attempt to read the engine's report;
	// reportReadFailed is set if it failed.
	reportReadAt     time.Time
	reportReadFailed bool
	// slowdown is the target's slowdown in the engine's latest report.
	slowdown float64
	// targetStartedAt identifies the target's incarnation, targetLeaving is set once it
	// said that it leaves.
	targetStartedAt time.Time
	targetLeaving   bool
	targetReporter  targetReporter
	// strayHoldSince is when the engine was first seen to hold the group for no proposal;
	// zero if it does not.
	strayHoldSince time.Time

	planner *rebalance.Planner
	// directive is the latest directive of a planner at another rank, plannerAddress its
	// sender.
	directive           *rebalance.Directive
	directiveReceivedAt time.Time
	plannerAddress      netip.AddrPort
	// formedAt is when the agent detected that the group was formed. It accepts no
	// directive of the group from before that time.
	formedAt time.Time

	experts *config.Experts
	// streamGap is the longest allowed time between two events of a stream of the
	// service; 0 if none is configured.
	streamGap      time.Duration
	agentAddresses []netip.AddrPort
	// targetAddresses holds the addresses of the targets by host, remoteTargets their
	// clients by address.
	targetAddresses map[netip.Addr]string
	remoteTargets   map[string]*platform.RankClient
	storeReadAt     time.Time

	// release is what this agent states in its statuses. builds observes what all agents of
	// the group do, while this one plans.
	release          release.Info
	builds           *release.Observer
	buildsObservedAt time.Time

	// host is the address of this agent's host, port the UDP port of all agents.
	host netip.Addr
	port uint16

	counts countsReporter
	// assembly collects the parts of the map that the planner wants copied.
	assembly rebalance.MapAssembler
	// highestEpoch is the highest epoch of the maps that this run of the agent has heard of.
	highestEpoch uint64
	copiedSums   copiedSums
	claim        epochClaim
	// sentReport is the report that the latest status was made from.
	sentReport      expertmap.RankReport
	statusSequence  uint64
	statusSentAt    time.Time
	directiveSentAt time.Time
	// outbox holds the planner's datagrams that wait for their turn on the link.
	outbox    []outgoing
	preparing preparation
}

// datagram is a decoded message from another agent.
type datagram struct {
	from     netip.AddrPort
	envelope rebalance.Envelope
}

// New returns an agent. It opens no sockets and makes no calls; Run does.
func New(cfg Config) *Agent {
	now := cfg.Clock.Now()
	target := platform.NewRankClient(cfg.Settings.TargetAddress, platform.LocalCommandTimeout)
	registry := prometheus.NewRegistry()
	return &Agent{
		registry: registry, metrics: placement.NewMetrics(registry),
		release: release.NewInfo(rebalance.Versions), builds: release.NewObserver(registry, logs.Component(cfg.Logger, "rank")),
		settings: cfg.Settings, file: cfg.File, store: cfg.Store, clock: cfg.Clock, log: logs.Component(cfg.Logger, "rank"),
		target: target, incarnation: newIncarnation(now), inbox: make(chan datagram, inboxCapacity), dropped: newDroppedDatagrams(registry, logs.Component(cfg.Logger, "rank")),
		targetReporter: targetReporter{entryReads: make(chan []netip.AddrPort, 1)},
		storeReads:     make(chan storeData, 1), remoteTargets: map[string]*platform.RankClient{}, engine: expertmap.NewCommandEngine(engineCommands{target}), formedAt: now,
	}
}

// randomBits is the number of low bits of an incarnation that are random. They
// distinguish agents that start within the same millisecond.
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
	a.log.WithFields(logrus.Fields{"name": a.settings.Name, "target": a.settings.TargetAddress, "build": a.release.Build}).Info("started")
	go a.receiveDatagrams()
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

// Reload implements command.Reloader. It only checks the settings file, because none of
// an agent's settings can change while it runs.
func (a *Agent) Reload() {
	if _, err := settings.LoadRank(a.file); err != nil {
		a.log.WithError(err).Error("settings not reloaded; the previous ones stay in force")
		return
	}
	a.log.WithField("file", a.file).Info("settings reloaded")
}

// serveMetrics serves the metrics until stop is called, if the settings contain an
// address for them.
func (a *Agent) serveMetrics() (stop func(), err error) {
	if a.settings.MetricsAddress == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", a.settings.MetricsAddress)
	if err != nil {
		return nil, err
	}
	server := command.NewMetricsServer(promhttp.HandlerFor(a.registry, promhttp.HandlerOpts{}))
	// Serve returns when the server is closed.
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}

func (a *Agent) loop(ctx context.Context) {
	ticker := a.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-a.inbox:
			a.handleDatagram(received)
		case data := <-a.storeReads:
			a.applyStoreData(data)
		case <-ticker.Chan():
			a.tick(ctx)
		}
	}
}

func (a *Agent) tick(ctx context.Context) {
	now := a.clock.Now()
	if now.Sub(a.reportReadAt) >= a.reportInterval() {
		a.refresh(now)
	}
	a.notifyEntries(ctx, now)
	if a.driver == nil {
		return
	}
	a.driver.Tick(now)
	a.releaseStrayHold(now)
	a.startPlanningIfNeeded(ctx, now)
	a.claimEpoch()
	a.prepareMap(ctx, now)
	a.readCountsBaseline(ctx, now)
	interval := rebalance.StatusInterval(a.engine.LastReport().Size)
	if now.Sub(a.statusSentAt) >= interval || a.preparationChanged() || a.countsDue(now) {
		a.statusSentAt = now
		a.sendStatus(ctx, now)
	}
	a.runPlanner(now)
	a.observeBuilds(now)
}

// buildsInterval is the time between two counts of the builds in a planner's group.
const buildsInterval = time.Second

// observeBuilds logs and exports the builds of the agents of the group, if this agent plans.
func (a *Agent) observeBuilds(now time.Time) {
	if a.planner == nil || now.Sub(a.buildsObservedAt) < buildsInterval {
		return
	}
	a.buildsObservedAt = now
	a.builds.Update(release.NewCensus(a.planner.Releases()))
}

// roundCount returns the number of rounds in which each rank of a group receives one
// directive. It is a Duration so that intervals can be multiplied by it.
func roundCount(size int) time.Duration {
	return time.Duration(max((size+ranksPerRound-1)/ranksPerRound, 1))
}

// reportInterval returns the time between two reads of the engine's report. It is
// shorter while a map is being copied, a switch is armed or a proposal is undecided.
func (a *Agent) reportInterval() time.Duration {
	if a.mapToPrepare() != nil || a.engine.LastReport().Armed != 0 || a.driver != nil && a.driver.Agent().Undecided() != nil {
		return tickInterval
	}
	return idleReportInterval
}

// preparationChanged reports whether the prepared or running map has changed since the
// latest status. The planner waits for these changes, so they are sent at once.
func (a *Agent) preparationChanged() bool {
	report := a.engine.LastReport()
	return report.Prepared != a.sentReport.Prepared || report.Running != a.sentReport.Running
}

// ProposalEnded implements expertmap.Observer.
func (a *Agent) ProposalEnded(ended expertmap.Outcome) {
	to, step := ended.ID.MapAndStep()
	a.log.WithFields(logrus.Fields{"group": a.identity.group.String(), "map": to.Number(), "step": step, "decision": ended.Decision.String()}).Info("proposal ended")
	if a.planner != nil {
		a.logDecision(a.planner.HandleOutcome(ended, a.clock.Now()))
	}
}

// EngineFailed implements expertmap.Observer.
func (a *Agent) EngineFailed(action expertmap.ActionKind, err error) {
	if errors.Is(err, expertmap.ErrSwitchNotArmed) {
		a.log.WithError(err).Error("map switch failed")
		return
	}
	a.log.WithError(err).WithField("action", action).Debug("engine command not yet confirmed")
}
