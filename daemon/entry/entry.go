package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/callers"
	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/daemon/node"
	"verbenaseam.example/verbenaseam/process/health"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/metrics"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/gateway"
	"verbenaseam.example/verbenaseam/request/order"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/version/table"
)

// Config configures an Entry.
type Config struct {
	Settings settings.Entry
	Platform platform.Service
	Clock    clockwork.Clock
	Logger   *logrus.Logger
	// GroupLeaseTTL is the time to live of the lease over lock-step groups; 0
	// means lease.DefaultTTL.
	GroupLeaseTTL time.Duration
}

// Entry is one entry process.
type Entry struct {
	settings    settings.Entry
	platform    platform.Service
	clock       clockwork.Clock
	log         *logrus.Entry
	metrics     *metrics.Metrics
	node        *node.Node
	targets     *gateway.Targets
	gateway     *gateway.Gateway
	peerEntries *peerEntries
	// groups coordinates the lock-step groups while this entry holds their lease.
	groups         *groups
	poison         *poison.Tracker
	health         *health.Correlator
	quotas         *admit.Quotas
	recorder       *order.Recorder
	orders         *order.Coordinator
	callerServer   *http.Server
	operatorServer *http.Server
	leaving        atomic.Bool
	// closeConnections is set when responses ask callers to close their connections.
	closeConnections atomic.Bool
	// startupComplete is set once every target has reported, or reportGrace has passed
	// since the first configuration came into force.
	startupComplete atomic.Bool
	// configuredAt is when the first configuration came into force. Only followTables
	// uses it.
	configuredAt time.Time
	// targetCountVersion is the version of the tables whose number of targets was last
	// passed to health. Only followTables uses it.
	targetCountVersion uint64
}

// New creates an entry. It starts nothing; Run does.
func New(cfg Config) (*Entry, error) {
	e := &Entry{
		settings: cfg.Settings, platform: cfg.Platform, clock: cfg.Clock,
		log:     logs.Component(cfg.Logger, "entry"),
		metrics: metrics.New(link.RoleEntry, metrics.DefaultMaxOrganisations),
	}
	e.targets = gateway.NewTargets(cfg.Settings.Name, cfg.Settings.Limits.Queue, cfg.Clock)
	e.peerEntries = newPeerEntries(cfg.Clock)
	e.poison = poison.NewTracker(poison.Config{}, cfg.Clock)
	e.health = health.NewCorrelator(health.Config{Clock: cfg.Clock})
	e.quotas = admit.NewQuotas(cfg.Settings.Name, uint64(cfg.Clock.Now().UnixMilli()), cfg.Clock)
	var err error
	e.node, err = node.New(node.Config{
		Name: cfg.Settings.Name, Role: link.RoleEntry, FailureDomain: cfg.Settings.FailureDomain,
		Address: cfg.Settings.LinkAddress, Platform: cfg.Platform, TLS: cfg.Settings.TLS,
		Clock: cfg.Clock, Logger: cfg.Logger, Metrics: e.metrics, Handler: &linkHandler{entry: e},
		OnLinkLost: func(l *link.Link) { e.targets.RecordLoss(l.Peer().Name) },
	})
	if err != nil {
		return nil, err
	}
	e.groups = newGroups(e, cfg)
	if err := e.initServers(cfg); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Entry) initServers(cfg Config) error {
	api, err := newCallerAPI(e)
	if err != nil {
		return err
	}
	e.gateway = gateway.New(gateway.Config{
		Tables: e.node, Links: e.node.Peers, Targets: e.targets, Clock: cfg.Clock,
		Limits: cfg.Settings.Limits, Metrics: e.metrics, Log: logs.Component(cfg.Logger, "gateway"), API: api,
		Quotas: e.quotas, Poison: e.poison, Health: e.health, ShareEvidence: e.broadcastEvidence,
	})
	if err := e.initOrders(cfg); err != nil {
		return err
	}
	operatorHandler, err := newOperatorAPI(e)
	if err != nil {
		return err
	}
	limits := cfg.Settings.Limits
	e.callerServer = newHTTPServer(e.callerHandler(), limits)
	e.callerServer.ConnState = callers.TrackState
	e.operatorServer = newHTTPServer(e.operatorMux(operatorHandler), limits)
	return nil
}

// headerLimitFactor is the ratio of the HTTP server's header limit to the limit in the
// settings. Headers between the two limits get a response with a typed failure.
const headerLimitFactor = 4

func newHTTPServer(handler http.Handler, limits settings.Limits) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    headerLimitFactor * int(limits.HeaderBytes),
	}
}

// Name returns the entry's name.
func (e *Entry) Name() string { return e.settings.Name }

// Ready reports whether the entry has a configuration, has received a report from every
// target or has waited reportGrace for them, and is not leaving.
func (e *Entry) Ready() bool { return e.startupComplete.Load() && !e.leaving.Load() }

// Run serves until ctx ends, then shuts down gracefully. When abort ends, requests still
// in flight are aborted.
func (e *Entry) Run(ctx, abort context.Context) error {
	limited, err := listen(e.settings.CallerAddress, e.settings.Limits.Connections)
	if err != nil {
		return err
	}
	// The server itself applies the timeouts, which cannot change.
	callerListener := callers.NewListener(limited, func() callers.Timeouts { return callers.Timeouts{} })
	operatorListener, err := listen(e.settings.OperatorAddress, e.settings.Limits.Connections)
	if err != nil {
		_ = callerListener.Close()
		return err
	}
	if err := e.node.Start(); err != nil {
		_ = callerListener.Close()
		_ = operatorListener.Close()
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	e.startBackground(background)
	go func() { _ = e.callerServer.Serve(callerListener) }()
	go func() { _ = e.operatorServer.Serve(operatorListener) }()
	e.log.WithField("address", e.settings.CallerAddress).Info("serving")
	<-ctx.Done()
	e.shutDown(abort, callerListener)
	stop()
	e.node.Stop()
	e.recorder.Close()
	return nil
}

func listen(address string, connections int) (*limitListener, error) {
	listener, err := node.Listen(address)
	if err != nil {
		return nil, err
	}
	// node.Listen listens on TCP only.
	return newLimitListener(listener.(*net.TCPListener), connections), nil
}

// callerHandler serves callers' requests. While the entry shuts down, its responses ask callers to
// close their connections.
func (e *Entry) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.closeConnections.Load() {
			w.Header().Set("Connection", "close")
		}
		e.gateway.ServeHTTP(w, r)
	})
}

// refreshInterval is the maximum time between two refreshes, each of which reads the list
// of live hosts.
const refreshInterval = 100 * time.Millisecond

func (e *Entry) startBackground(ctx context.Context) {
	e.node.Background(ctx, e.followTables)
	e.node.Background(ctx, e.runAnnouncements)
	e.node.Background(ctx, e.groups.run)
	e.node.Background(ctx, e.runStateSharing)
	e.node.Background(ctx, e.runHealthRefresh)
	e.node.Background(ctx, e.runOrderMaintenance)
}

// followTables keeps the targets, and the links to their agents and to the other
// entries, in line with the tables and the list of live hosts.
func (e *Entry) followTables(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.node.Rollout.Changed()
		e.refresh()
		select {
		case <-e.clock.After(refreshInterval):
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (e *Entry) refresh() {
	addresses := append([]string{}, e.settings.Peers...)
	addresses = append(addresses, e.otherEntries()...)
	if snapshot := e.node.Current(); snapshot != nil {
		addresses = append(addresses, e.targets.Update(snapshot)...)
		e.updateTargetCount(snapshot)
		e.updateStartupComplete()
	}
	e.node.Dialer.SetAddresses(addresses)
}

// updateTargetCount passes the number of targets to the failure correlator.
func (e *Entry) updateTargetCount(snapshot *table.Snapshot) {
	if snapshot.Version() == e.targetCountVersion {
		return
	}
	e.targetCountVersion = snapshot.Version()
	e.health.SetTargetCount(len(snapshot.Table().Targets))
}

// reportGrace is how long an entry with a configuration waits for reports from all
// targets before it becomes ready without them.
const reportGrace = 3 * time.Second

// updateStartupComplete sets startupComplete once every target has reported or
// reportGrace has passed.
func (e *Entry) updateStartupComplete() {
	if e.startupComplete.Load() {
		return
	}
	now := e.clock.Now()
	if e.configuredAt.IsZero() {
		e.configuredAt = now
	}
	for _, target := range e.targets.Status() {
		if !target.Reported && now.Sub(e.configuredAt) < reportGrace {
			return
		}
	}
	e.startupComplete.Store(true)
}

// otherEntries returns the link addresses of the live entries that this one dials. In
// each pair of entries, the one whose name sorts first dials the other.
func (e *Entry) otherEntries() []string {
	addresses := []string{}
	for _, host := range e.node.Rollout.Hosts() {
		if host.Role == link.RoleEntry && host.Name > e.settings.Name {
			addresses = append(addresses, host.Address)
		}
	}
	return addresses
}
