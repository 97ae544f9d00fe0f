// Package node assembles what every daemon has: an identity, links to the other
// processes, the tables in force, and the status page of health and metrics.
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

// Message kinds of the rollout protocol; the rest go to the daemon.
const (
	rolloutFirst uint16 = 100
	rolloutLast  uint16 = 149
)

// hostRoles gives the live list's role of a host for a process's role.
var hostRoles = map[string]string{link.RoleEntry: "entry", link.RoleAgent: "target"}

// Config is what a node is made of.
type Config struct {
	Name, Role, FailureDomain string
	// Address is the IP:port others reach this process at.
	Address  string
	Platform platform.Service
	TLS      settings.TLS
	Clock    clockwork.Clock
	Logger   *logrus.Logger
	Metrics  *metrics.Metrics
	// Handler serves the streams and messages that are the daemon's own.
	Handler link.Handler
	// Lost is called when a link has ended, before its streams fail; it may be
	// nil.
	Lost func(*link.Link)
}

// Node is the common part of a daemon.
type Node struct {
	// Identity says who this process is.
	Identity link.Identity
	// Peers holds the live links.
	Peers *peers.Registry
	// Keeper dials the links this process wants.
	Keeper *peers.Dialer
	// Rollout brings the tables.
	Rollout *rollout.Service
	// Membership tells which hosts are alive.
	Membership *membership.Service
	// Log is the accepted versions in the platform's table.
	Log *rollout.Log

	acceptor *link.Acceptor
	server   *http.Server
	config   Config
	running  sync.WaitGroup
	stop     context.CancelFunc
}

// New assembles a node; nothing runs before Start.
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
	n.Log = rollout.NewLog(cfg.Platform, cfg.Clock)
	n.Rollout = rollout.NewService(rollout.ServiceConfig{
		Log:   n.Log,
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
	n.Keeper = peers.NewDialer(linkConfig, cfg.Clock, logs.Component(cfg.Logger, "link"))
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
		OnLost:         n.config.Lost,
		Handler:        (*dispatcher)(n),
		Clock:          n.config.Clock,
		Logger:         n.config.Logger,
		Counters:       counters,
	}
}

// Version is the version of the tables in force, 0 before the first.
func (n *Node) Version() uint64 {
	snapshot := n.Rollout.Current()
	if snapshot == nil {
		return 0
	}
	return snapshot.Version()
}

// Current returns the tables in force, nil before the first.
func (n *Node) Current() *table.Snapshot { return n.Rollout.Current() }

// dispatcher sends what arrives on links to the rollout or the daemon.
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
	if kind >= rolloutFirst && kind <= rolloutLast {
		d.Rollout.Receive(l.Peer().Name, kind, body)
		return
	}
	d.config.Handler.ServeMessage(ctx, l, kind, body)
}

// Background runs f until the node stops.
func (n *Node) Background(ctx context.Context, f func(context.Context)) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		f(ctx)
	}()
}

// readHeaderTimeout bounds the opening of a link by a slow client.
const readHeaderTimeout = 5 * time.Second

func newLinkServer(acceptor *link.Acceptor, tlsConfig *tls.Config, log *logrus.Entry) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/v1/link", acceptor)
	return &http.Server{
		Handler: mux, TLSConfig: tlsConfig, ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog: stdlog.New(&logWriter{log: log}, "", 0),
	}
}
