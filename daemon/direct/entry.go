package direct

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/metrics"
	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/forward"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/version/config"
)

const (
	// heartbeatEvery is the time between two heartbeats to each peer; they carry
	// the load that the others place by.
	heartbeatEvery = 100 * time.Millisecond
	// silence is how long a live peer may be silent; the bound of the directory is
	// the bounds' Contact and 3 s.
	silence = time.Second
	// convictingCrashes is from how many crashes on a request is refused that was in
	// flight in all of them and never completed between.
	convictingCrashes = 3
	// firstHold is how long such a request is held after its first crash: not at all,
	// since most of what is in flight in a crash is innocent.
	firstHold = time.Nanosecond
)

// Config is what an Entry is made of.
type Config struct {
	Settings settings.Direct
	// File is where the settings came from.
	File   string
	Store  *platform.Store
	Clock  clockwork.Clock
	Logger *logrus.Logger
}

// Entry is the process.
type Entry struct {
	settings settings.Direct
	file     string
	// bounds are those in force; SIGHUP may change them.
	bounds atomic.Pointer[settings.Bounds]
	store  *platform.Store
	clock  clockwork.Clock
	logger *logrus.Logger
	log    *logrus.Entry

	self       presence.Peer
	peers      *presence.PeerTable
	dispatcher *dispatch.Dispatcher
	targets    *targets
	budgets    *budgets
	poison     *poison.Tracker
	handler    *forward.Handler
	metrics    *metrics.Metrics

	version atomic.Pointer[config.Version]
	// targetsKnown tells that the targets have been read.
	targetsKnown atomic.Bool
	// registered is the version of this entry's row in the store, 0 before.
	registered atomic.Uint64
	// startedUp tells that the entry has been ready.
	startedUp atomic.Bool
	leaving   atomic.Bool
	// closing tells that callers are asked to leave their connections.
	closing atomic.Bool
}

// New returns an entry that has opened nothing yet.
func New(cfg Config) *Entry {
	s := cfg.Settings
	e := &Entry{
		settings: s, file: cfg.File, store: cfg.Store, clock: cfg.Clock, logger: cfg.Logger,
		log: logs.Component(cfg.Logger, "entry"),
		self: presence.Peer{
			Name: s.Name, Incarnation: rand.Uint64(), CallerAddress: s.CallerAddress,
			PeerAddress: s.PeerAddress, FailureDomain: s.FailureDomain,
		},
		peers: presence.NewPeerTable(s.Name, silence),
		dispatcher: dispatch.New(dispatch.Config{
			FailureDomain: s.FailureDomain,
			Warmup:        dispatch.Warmup{Share: s.Bounds.WarmupShare, Slack: s.Bounds.WarmupSlack},
		}),
	}
	e.bounds.Store(&s.Bounds)
	e.targets = newTargets(e.dispatcher, e.clock, logs.Component(cfg.Logger, "targets"))
	e.budgets = newBudgets(s.Bounds)
	e.metrics = metrics.New("direct", metrics.DefaultMaxOrganisations)
	e.poison = poison.NewTracker(poison.Config{RefuseAfterCrashes: convictingCrashes, PropagationHold: firstHold}, e.clock)
	e.handler = forward.NewHandler(forward.Config{
		Headers: platform.ForwardHeaders(), Version: e.version.Load, Dispatcher: e.dispatcher,
		Connections: e.targets.connections, Budget: e.budgets.of, Poison: e.poison, Crashes: poison.NewCrashDetector(e.poison, e.clock), Metrics: e.metrics, Clock: e.clock,
		Log: logs.Component(cfg.Logger, "forward"),
	})
	return e
}

// ready tells whether callers may be sent here.
func (e *Entry) ready() bool {
	return !e.leaving.Load() && e.version.Load() != nil && e.targetsKnown.Load()
}

// Reload implements command.Reloader: bounds hold at once, but for those of
// retries, whose budgets are spent already; addresses hold from the next start.
func (e *Entry) Reload() {
	loaded, err := settings.LoadDirect(e.file)
	if err != nil {
		e.log.WithError(err).Error("settings not reloaded")
		return
	}
	e.bounds.Store(&loaded.Bounds)
	e.dispatcher.SetWarmup(dispatch.Warmup{Share: loaded.Bounds.WarmupShare, Slack: loaded.Bounds.WarmupSlack}, e.clock.Now())
	e.log.WithField("file", e.file).Info("settings reloaded")
}

// every calls f at each interval until the context ends.
func every(ctx context.Context, clock clockwork.Clock, interval time.Duration, f func()) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			f()
		}
	}
}
