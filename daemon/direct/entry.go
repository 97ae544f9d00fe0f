package direct

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/memory"
	"verbenaseam.example/verbenaseam/process/metrics"
	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/process/release"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/forward"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/version/config"
)

const (
	// heartbeatInterval is the time between two heartbeats to each peer, per
	// entriesPerInterval entries. Heartbeats carry the load by which the other entries
	// select targets.
	heartbeatInterval  = 100 * time.Millisecond
	entriesPerInterval = 32
	// maxHeartbeatIntervals limits the time between two heartbeats, so that a live peer
	// does not miss peerTimeout when two of its heartbeats are lost.
	maxHeartbeatIntervals = 3
	// peerTimeout is how long after its last heartbeat a peer counts as alive. It must be
	// well below the time within which a failed entry must leave the directory,
	// settings.Bounds.Contact plus 3 s.
	peerTimeout = time.Second
	// refuseAfterCrashes is the number of target crashes after which a request is refused
	// if it was in flight during all of them and did not complete in between. With fewer
	// it runs freely, because most requests in flight at a crash did not cause it.
	refuseAfterCrashes = 3
)

// Config configures an Entry.
type Config struct {
	Settings settings.Direct
	// File is the path of the settings file; Reload reads it again.
	File   string
	Store  *platform.Store
	Clock  clockwork.Clock
	Logger *logrus.Logger
}

// Entry is the entry process. It implements command.Daemon and command.Reloader.
type Entry struct {
	settings settings.Direct
	file     string
	// bounds are the bounds in force. SIGHUP may change them.
	bounds atomic.Pointer[settings.Bounds]
	store  *platform.Store
	clock  clockwork.Clock
	logger *logrus.Logger
	log    *logrus.Entry

	self  presence.Peer
	peers *presence.PeerTable
	// release is what this process states in its heartbeats, builds observes what all do.
	release    release.Info
	builds     *release.Observer
	dispatcher *dispatch.Dispatcher
	targets    *targetObserver
	operator   *operatorObserver
	storeWatch *storeWatch
	// configurations gets the configuration in force from peers if the store lacks it.
	configurations *configurationExchange
	compact        *compactor
	steering       *steering
	budgets        *retryBudgets
	poison         *poison.Tracker
	handler        *forward.Handler
	metrics        *metrics.Metrics
	// choices is used by tick alone.
	choices *choiceReporter

	// newsForPeers asks for a heartbeat at once.
	newsForPeers chan struct{}
	// evidence keeps the evidence of crashes in the store.
	evidence *evidenceKeeper
	// processes are this entry and those it knows of, which share limits and trials.
	processes atomic.Pointer[dispatch.Processes]
	// version is the configuration in force, nil before the first one.
	version atomic.Pointer[config.Version]
	// targetsLoaded is set once the table of targets has been read.
	targetsLoaded atomic.Bool
	// peersLoaded is set once the table of entries has been read. Without it this entry
	// does not know its parts of the limits that apply to all entries together.
	peersLoaded atomic.Bool
	// evidenceLoaded is set once the evidence of crashes in the store has been read. Without
	// it this entry does not know which requests other entries refuse.
	evidenceLoaded atomic.Bool
	// rowVersion is the version of this entry's row in the store, nil before it is
	// written.
	rowVersion atomic.Pointer[platform.Version]
	// refusedParts are the prompt parts that logRefusedParts logged last; tick uses it alone.
	refusedParts []uint64
	// heldBack holds the services that logHeldBack logged last; tick uses it alone.
	heldBack map[string]bool
	// readyLogged is set once the entry has been ready for the first time.
	readyLogged atomic.Bool
	leaving     atomic.Bool
	// closeConnections is set when responses ask callers to close their connections.
	closeConnections atomic.Bool
}

// New returns an entry. It opens no sockets; Run does.
func New(cfg Config) *Entry {
	s := cfg.Settings
	e := &Entry{
		settings: s, file: cfg.File, store: cfg.Store, clock: cfg.Clock, logger: cfg.Logger,
		log: logs.Component(cfg.Logger, "entry"),
		self: presence.Peer{
			Name: s.Name, Incarnation: rand.Uint64(), CallerAddress: s.CallerAddress,
			PeerAddress: s.PeerAddress, FailureDomain: s.FailureDomain,
		},
		release:      release.NewInfo(presence.Versions),
		peers:        presence.NewPeerTable(s.Name, peerTimeout),
		newsForPeers: make(chan struct{}, 1),
		dispatcher: dispatch.New(dispatch.Config{
			FailureDomain: s.FailureDomain,
			Warmup:        dispatch.Warmup{Share: s.Bounds.WarmupShare, Slack: s.Bounds.WarmupSlack},
			LearnsLimits:  true,
		}),
	}
	e.bounds.Store(&s.Bounds)
	e.storeWatch = newStoreWatch(e.self, logs.Component(cfg.Logger, "store"))
	e.storeWatch.configuration = e.configurationNumber
	e.operator = newOperatorObserver(e)
	e.configurations = newConfigurationExchange(e.configurationNumber, e.storeWatch.operator.Covers, logs.Component(cfg.Logger, "operator"))
	e.targets = newTargetObserver(e.dispatcher, e.clock, logs.Component(cfg.Logger, "targets"))
	e.budgets = newRetryBudgets(s.Bounds)
	e.setProcesses()
	e.metrics = metrics.New("direct", metrics.DefaultMaxOrganisations)
	e.compact = newCompactor(e.peers, e.dispatcher.TargetIDs)
	e.steering = newSteering(s, logs.Component(cfg.Logger, "directory"))
	e.metrics.Registry().MustRegister(
		e.storeWatch.followsStore, e.compact.sentBytes, e.steering.busyGauge, e.steering.elsewhere)
	e.choices = newChoiceReporter(e, logs.Component(cfg.Logger, "dispatch"))
	e.dispatcher.SetCrossing(dispatch.Crossing(s.Crossing))
	e.builds = release.NewObserver(e.metrics.Registry(), logs.Component(cfg.Logger, "peers"))
	e.poison = poison.NewTracker(poison.Config{TrialAfterCrashes: refuseAfterCrashes, RefuseAfterCrashes: refuseAfterCrashes}, e.clock)
	crashes := poison.NewCrashDetector(poison.DetectorConfig{
		Tracker: e.poison, Clock: e.clock, Metrics: e.metrics, Log: logs.Component(cfg.Logger, "poison"), Share: e.shareEvidence,
	})
	e.targets.onEnd = func(t *dispatch.Target, sign poison.CrashSign) {
		if e.dispatcher.IsLeaving(t) {
			crashes.TargetLeft(t.ID(), t.Incarnation())
			return
		}
		crashes.TargetEnded(t.ID(), t.Incarnation(), sign)
	}
	e.evidence = newEvidenceKeeper(e)
	account := newAccount(s.Memory)
	for _, part := range memory.Parts() {
		e.metrics.ObserveHeldBytes(part.String(), func() int64 { return account.Held(part) })
	}
	e.metrics.ObserveHeldBytes("reading", account.Reading)
	e.handler = forward.NewHandler(forward.Config{
		Headers: platform.ForwardHeaders(), Version: e.version.Load, Dispatcher: e.dispatcher,
		Connections: e.targets.connectionPool, Budget: e.budgets.forService,
		Poison: e.poison, Crashes: crashes, PromptParts: platform.DecodePromptParts, Tokens: platform.DecodeTokens, TrialRank: e.trialRank,
		Memory: account, Metrics: e.metrics, Clock: e.clock, Log: logs.Component(cfg.Logger, "forward"),
	})
	return e
}

// storeEra returns how often the store is known to have been restored.
func (e *Entry) storeEra() uint64 {
	if e.store == nil {
		return 0
	}
	return e.store.Era()
}

// ready reports whether callers may be directed to this entry.
func (e *Entry) ready() bool {
	return !e.leaving.Load() && e.version.Load() != nil && e.targetsLoaded.Load() && e.peersLoaded.Load() &&
		e.evidenceLoaded.Load() && !e.configurations.isBehind(e.clock.Now())
}

// configurationNumber returns the number of the configuration in force, 0 before the first one.
func (e *Entry) configurationNumber() uint64 {
	if current := e.version.Load(); current != nil {
		return current.Number
	}
	return 0
}

// shareEvidence asks for a heartbeat, unless one is due already, and for the evidence to be
// written to the store.
func (e *Entry) shareEvidence() {
	e.evidence.changed()
	e.notifyPeers()
}

// notifyPeers asks for a heartbeat, unless one is due already.
func (e *Entry) notifyPeers() {
	select {
	case e.newsForPeers <- struct{}{}:
	default:
	}
}

// learnTime is how long after it knows the other entries this entry has heard from them of all
// limits that targets have named. They answer its first heartbeat; one may be lost.
const learnTime = 500 * time.Millisecond

// joinPeers announces this entry to those that it has learned of from the store.
func (e *Entry) joinPeers() {
	e.setProcesses()
	if e.peersLoaded.CompareAndSwap(false, true) {
		e.dispatcher.LearnLimitsUntil(e.clock.Now().Add(learnTime))
		e.notifyPeers()
	}
}

// trialRank returns the rank of this entry in the order of all entries that a fingerprint
// determines.
func (e *Entry) trialRank(fingerprint uint64) int {
	return e.processes.Load().Rank(strconv.FormatUint(fingerprint, 10))
}

// Reload implements command.Reloader. New bounds apply at once, except those of
// retries, whose budgets are in use already, and those from which startBackground derives
// the intervals of reading the store. The latter and new addresses apply from the next
// start.
func (e *Entry) Reload() {
	loaded, err := settings.LoadDirect(e.file)
	if err != nil {
		e.log.WithError(err).Error("settings not reloaded; the previous ones stay in force")
		return
	}
	e.bounds.Store(&loaded.Bounds)
	e.dispatcher.SetWarmup(dispatch.Warmup{Share: loaded.Bounds.WarmupShare, Slack: loaded.Bounds.WarmupSlack}, e.clock.Now())
	e.dispatcher.SetCrossing(dispatch.Crossing(loaded.Crossing))
	e.log.WithField("file", e.file).Info("settings reloaded")
}

// runEvery calls f once per interval until ctx is done.
func runEvery(ctx context.Context, clock clockwork.Clock, interval time.Duration, f func()) {
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
