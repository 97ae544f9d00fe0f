// Package node provides the parts common to entries and agents: an identity, links
// to the other processes, the tables in force, and the health and metrics endpoints.
package node

import (
	"context"
	"crypto/tls"
	stdlog "log"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/connection/peers"
	"verbenaseam.example/verbenaseam/process/keys"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/membership"
	"verbenaseam.example/verbenaseam/process/metrics"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

// Range of the message kinds of the rollout protocol. The kinds of the membership
// protocol lie within it, so dispatcher checks for them first; all kinds outside the
// range are passed to the daemon.
const (
	firstRolloutKind uint16 = 100
	lastRolloutKind  uint16 = 149
)

// hostRoles maps the link role of a process to the role of its host in the
// platform's list of live hosts.
var hostRoles = map[string]string{link.RoleEntry: "entry", link.RoleAgent: "target"}

// Config holds the settings and dependencies of a node.
type Config struct {
	Name, Role, FailureDomain string
	// Address is the IP:port on which this process accepts links.
	Address  string
	Platform platform.Service
	TLS      settings.TLS
	Clock    clockwork.Clock
	Logger   *logrus.Logger
	Metrics  *metrics.Metrics
	// Handler serves all streams and the messages of the daemon's own protocols.
	Handler link.Handler
	// OnLinkLost is called when a link has ended, before its streams fail. It may be nil.
	OnLinkLost func(*link.Link)
}

// Node is the common part of an entry or agent.
type Node struct {
	// Identity is the identity of this process towards its peers.
	Identity link.Identity
	// Peers holds the live links.
	Peers *peers.Registry
	// Dialer dials and maintains the outgoing links.
	Dialer *peers.Dialer
	// Rollout receives and distributes the tables.
	Rollout *rollout.Service
	// Membership tracks which hosts are alive.
	Membership *membership.Service
	// RolloutLog is the rollout log, which holds the accepted table versions in the platform's
	// table.
	RolloutLog *rollout.Log

	acceptor *link.Acceptor
	server   *http.Server
	config   Config
	// background counts the goroutines that Background has started.
	background sync.WaitGroup
	stop       context.CancelFunc
}

// New creates a node. It starts no background work; call Start for that.
func New(cfg Config) (*Node, error) {
	identity := link.Identity{
		Name: cfg.Name, Role: cfg.Role, FailureDomain: cfg.FailureDomain,
		Incarnation: uuid.NewString(),
	}
	n := &Node{Identity: identity, Peers: peers.NewRegistry(), config: cfg}
	tlsConfig, err := loadTLS(cfg.TLS, cfg.Clock, cfg.Logger)
	if err != nil {
		return nil, err
	}
	n.RolloutLog = rollout.NewLog(cfg.Platform, cfg.Clock)
	n.Rollout = rollout.NewService(rollout.ServiceConfig{
		Log:   n.RolloutLog,
		Clock: cfg.Clock,
		Identity: rollout.Identity{
			Name: cfg.Name, Role: hostRoles[cfg.Role], FailureDomain: cfg.FailureDomain,
			Incarnation: identity.Incarnation,
		},
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Transport: n.Peers,
		Live:      cfg.Platform,
		Logger:    cfg.Logger,
		Metrics:   cfg.Metrics.Registry(),
	})
	n.Membership = newMembership(n, cfg)
	linkConfig := n.linkConfig(tlsConfig)
	n.acceptor = link.NewAcceptor(linkConfig)
	n.server = newLinkServer(n.acceptor, tlsConfig, logs.Component(cfg.Logger, "link"))
	n.Dialer = peers.NewDialer(linkConfig, cfg.Clock, logs.Component(cfg.Logger, "link"))
	return n, nil
}

func loadTLS(s settings.TLS, clock clockwork.Clock, logger *logrus.Logger) (*tls.Config, error) {
	if !s.Enabled() {
		return nil, nil
	}
	source, err := keys.Load(keys.Files{Certificate: s.Certificate, Key: s.Key, CA: s.CA}, clock, logger)
	if err != nil {
		return nil, err
	}
	return source.TLSConfig(), nil
}

func (n *Node) linkConfig(tlsConfig *tls.Config) link.Config {
	counters := link.NewCounters()
	n.config.Metrics.Registry().MustRegister(counters)
	return link.Config{
		Identity:       n.Identity,
		Version:        n.Version,
		OnPeerVersion:  func(peer link.Identity, version uint64) { n.Rollout.ObserveVersion(peer.Name, version) },
		TLS:            tlsConfig,
		AllowPlaintext: n.config.TLS.Plain,
		OnEstablished:  n.Peers.Add,
		OnLost:         n.config.OnLinkLost,
		Handler:        (*dispatcher)(n),
		Clock:          n.config.Clock,
		Logger:         n.config.Logger,
		Counters:       counters,
	}
}

// Version returns the version of the tables in force, or 0 before the first.
func (n *Node) Version() uint64 {
	snapshot := n.Rollout.Current()
	if snapshot == nil {
		return 0
	}
	return snapshot.Version()
}

// Current returns the tables in force, or nil before the first.
func (n *Node) Current() *table.Snapshot { return n.Rollout.Current() }

// dispatcher routes incoming messages to the membership service, the rollout
// service or the daemon, and incoming streams to the daemon.
type dispatcher Node

// ServeStream implements link.Handler.
func (d *dispatcher) ServeStream(ctx context.Context, l *link.Link, s *link.Stream) {
	d.config.Handler.ServeStream(ctx, l, s)
}

// ServeMessage implements link.Handler.
func (d *dispatcher) ServeMessage(ctx context.Context, l *link.Link, kind uint16, body []byte) {
	if kind >= membership.KindPing && kind <= membership.KindIndirectAck {
		d.Membership.Receive(l.Peer().Name, kind, body)
		return
	}
	if kind >= firstRolloutKind && kind <= lastRolloutKind {
		d.Rollout.Receive(l.Peer().Name, kind, body)
		return
	}
	d.config.Handler.ServeMessage(ctx, l, kind, body)
}

// Background runs f in a goroutine that Stop waits for. f must return when ctx is
// done.
func (n *Node) Background(ctx context.Context, f func(context.Context)) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		f(ctx)
	}()
}

// readHeaderTimeout bounds how long a client may take to send the headers of a
// link request.
const readHeaderTimeout = 5 * time.Second

func newLinkServer(acceptor *link.Acceptor, tlsConfig *tls.Config, log *logrus.Entry) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/v1/link", acceptor)
	return &http.Server{
		Handler: mux, TLSConfig: tlsConfig, ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog: stdlog.New(&logWriter{log: log}, "", 0),
	}
}
