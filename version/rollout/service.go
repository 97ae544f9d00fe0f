package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	// readTimeout bounds one read of the log or the host list; a slow platform may
	// take seconds.
	readTimeout = 5 * time.Second
	// loadTimeout bounds one load of the full table.
	loadTimeout = 60 * time.Second
	// decisionTTL is how long a decision to serve is valid, so that a process that
	// was paused for longer refuses new work until it decides again.
	decisionTTL = 5 * TickInterval
)

// Transport carries messages between the rollout services of processes.
type Transport interface {
	// PeerNames returns the names of the connected processes.
	PeerNames() []string
	// Send queues a message without waiting for the peer. It fails if the peer is
	// not reachable.
	Send(peer string, kind uint16, body any) error
}

// ServiceConfig configures a Service. All fields except Logger and Metrics are
// required.
type ServiceConfig struct {
	Log       *Log
	Clock     clockwork.Clock
	Identity  Identity
	Random    *rand.Rand
	Transport Transport
	Live      platform.LiveList
	// Logger receives log lines; nil selects the standard logger of logrus.
	Logger *logrus.Logger
	// Metrics is where the service's metrics are registered; nil to register none.
	Metrics prometheus.Registerer
}

// Service keeps one process at the newest version of the tables. It is safe for
// concurrent use.
type Service struct {
	config  ServiceConfig
	log     *logrus.Entry
	metrics *metrics
	// current is the active snapshot; nil until the node is ready.
	current  atomic.Pointer[table.Snapshot]
	decision atomic.Pointer[timedDecision]
	hosts    atomic.Pointer[[]platform.Host]
	ready    chan struct{}
	parts    partsCache
	// background tracks the goroutines that perform slow actions of the node.
	background sync.WaitGroup

	// mu guards the fields below. While it is held, no message is sent and no
	// other lock of this package is taken, except in Log.CacheTable.
	mu   sync.Mutex
	node *Node
	// newest is the newest snapshot. It becomes active once the node is ready.
	newest *table.Snapshot
	// changed is closed and replaced whenever a snapshot is published.
	changed chan struct{}
	// runCtx is the context of Run; nil before Run, while inputs are ignored.
	runCtx context.Context
}

// timedDecision is a decision and the time of its evaluation.
type timedDecision struct {
	decision ServeDecision
	at       time.Time
}

// NewService returns a service that has to be started with Run.
func NewService(config ServiceConfig) *Service {
	now := config.Clock.Now()
	service := &Service{
		config:  config,
		log:     logs.Component(logs.OrDefault(config.Logger), "rollout"),
		metrics: newMetrics(config.Metrics),
		ready:   make(chan struct{}),
		node:    NewNode(config.Identity, config.Random, now),
		newest:  table.CompileUnchecked(table.New()),
		changed: make(chan struct{}),
	}
	service.hosts.Store(&[]platform.Host{})
	service.decision.Store(&timedDecision{decision: RefuseStarting, at: now})
	return service
}

// Run runs the service until ctx is done, then returns nil.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	s.runCtx = ctx
	s.mu.Unlock()
	ticker := s.config.Clock.NewTicker(TickInterval)
	defer ticker.Stop()
	defer s.waitBackground()
	for {
		s.tick()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// waitBackground waits for background actions in progress. It must be called after
// the context of Run is done, since perform then starts no further ones.
func (s *Service) waitBackground() {
	s.mu.Lock()
	//lint:ignore SA2001 a call of perform that saw an active context under mu has added its goroutine to background by now
	s.mu.Unlock()
	s.background.Wait()
}

func (s *Service) tick() {
	peers := s.config.Transport.PeerNames()
	s.step(func(now time.Time) []Action {
		s.node.SetConnected(peers)
		return s.node.Tick(now)
	})
}

// Current returns the active snapshot, or nil until the service is ready.
func (s *Service) Current() *table.Snapshot { return s.current.Load() }

// Ready returns a channel that is closed once there is an active snapshot.
func (s *Service) Ready() <-chan struct{} { return s.ready }

// Hosts returns the newest host list, which must not be modified.
func (s *Service) Hosts() []platform.Host { return *s.hosts.Load() }

// MayServe returns whether this process may accept new work now. It takes no lock.
func (s *Service) MayServe() ServeDecision {
	latest := s.decision.Load()
	if latest.decision.OK() && s.config.Clock.Since(latest.at) > decisionTTL {
		return RefusePartitioned
	}
	return latest.decision
}

// ObserveVersion handles the configuration version that a frame from a peer
// carried.
func (s *Service) ObserveVersion(peer string, version uint64) {
	current := s.current.Load()
	if current != nil && version <= current.Version() {
		return
	}
	s.step(func(now time.Time) []Action { return s.node.Observe(now, peer, version) })
}

// Changed returns a channel that is closed when the next snapshot becomes active.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// WaitForVersion waits until the active version is at least version. It fails with
// the context's error.
func (s *Service) WaitForVersion(ctx context.Context, version uint64) error {
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if current := s.current.Load(); current != nil && current.Version() >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Propose appends an operator's change to the log and starts its rollout. It fails
// with the same errors as Log.Propose.
func (s *Service) Propose(ctx context.Context, change Change) (uint64, error) {
	version, err := s.config.Log.Propose(ctx, change)
	if err != nil {
		return 0, err
	}
	s.log.WithField("version", version).WithField("operator", change.Operator).Info("configuration change accepted")
	s.step(func(now time.Time) []Action { return s.node.HandleAccepted(now, version) })
	return version, nil
}

// Adoption returns the processes known to have adopted a version and the other
// hosts of the host list. The first call starts tracking the version; call it
// repeatedly until no host is missing.
func (s *Service) Adoption(version uint64) (adopted, missing []string) {
	s.step(func(now time.Time) []Action {
		adopted, missing = s.node.Adoption(now, version)
		return nil
	})
	return adopted, missing
}
