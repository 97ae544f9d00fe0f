package link

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/release"
)

// Path is the HTTP path at which an Acceptor is served.
const Path = "/v1/link"

// Roles of a process.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Default limits of a Config.
const (
	DefaultMaxFrameBytes     = 256 << 10
	DefaultStreamWindowBytes = 64 << 10
	DefaultMaxStreams        = 4096
	DefaultSendQueueBytes    = 1 << 20
	DefaultMaxLinks          = 16384
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultHeartbeatTimeout  = 1500 * time.Millisecond
	DefaultHandshakeTimeout  = 3 * time.Second
)

// Identity identifies a process.
type Identity struct {
	// Name is the process's name. With TLS, its certificate must hold the name.
	Name string
	// Role is RoleEntry or RoleAgent.
	Role string
	// FailureDomain is the failure domain of the process's host.
	FailureDomain string
	// Incarnation is unique to each start of the process.
	Incarnation string
}

// Handler serves the streams and messages that the peer sends.
type Handler interface {
	// ServeStream serves an accepted stream on a worker goroutine. If it returns
	// before it has sent a terminal frame, the stream is cancelled.
	ServeStream(ctx context.Context, l *Link, s *Stream)
	// ServeMessage handles a one-way message whose body is CBOR. It runs on the
	// link's reader goroutine and must not block.
	ServeMessage(ctx context.Context, l *Link, kind uint16, body []byte)
}

// Config configures links. A limit that is not positive means its default.
type Config struct {
	// Identity is the identity of this process.
	Identity Identity
	// ExpectedPeerName is the name that a dialled peer must have; empty means any name.
	ExpectedPeerName string
	// Version returns the configuration version written into each sent frame. It
	// is called for every frame with a lock held and must be cheap. If it is nil, the
	// version is 0.
	Version func() uint64
	// OnPeerVersion is called when a peer's version rises, before the frame that
	// carried the version is handled. Once the link is open, the call is made on the
	// link's reader goroutine. It may be nil.
	OnPeerVersion func(peer Identity, version uint64)
	// OnEstablished is called with every new link, dialled or accepted, before any
	// of its frames is handled. It may be nil.
	OnEstablished func(*Link)
	// Versions is the versions of the protocol that this process speaks; the zero value
	// means Versions of this package.
	Versions release.Range
	// TLS is the configuration for mutual TLS; nil means plaintext TCP.
	TLS *tls.Config
	// AllowPlaintext permits plaintext TCP to addresses other than loopback.
	AllowPlaintext bool
	// Handler serves the streams and messages of the peer. If it is nil, streams
	// are refused and messages dropped.
	Handler Handler
	// OnLost is called when a link has ended, before its streams fail. It may be
	// nil.
	OnLost func(*Link)
	// Logger receives the log entries of links; nil means logrus's standard
	// logger.
	Logger *logrus.Logger
	// Clock is the time source of heartbeats and of the flush time-out of Close; nil
	// means the real clock.
	Clock clockwork.Clock
	// Counters is updated by all links made with this Config; nil means new counters.
	Counters *Counters

	// MaxFrameBytes is the maximum encoded size of a frame, received or sent.
	MaxFrameBytes int
	// StreamWindowBytes is the flow-control window: the maximum number of unread
	// body bytes of a stream.
	StreamWindowBytes int
	// MaxStreams is the maximum number of streams that a peer may have open on a
	// link.
	MaxStreams int
	// SendQueueBytes limits the frames queued on a link: at this size, no more data and
	// no one-way messages are queued.
	SendQueueBytes int
	// MaxLinks is the maximum number of links of an Acceptor.
	MaxLinks int
	// HeartbeatInterval is the time between pings.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time after which an unanswered ping ends the link.
	HeartbeatTimeout time.Duration
	// HandshakeTimeout is the time limit for opening a link.
	HandshakeTimeout time.Duration
}

func (c Config) withDefaults() Config {
	if c.Version == nil {
		c.Version = func() uint64 { return 0 }
	}
	if c.OnPeerVersion == nil {
		c.OnPeerVersion = func(Identity, uint64) {}
	}
	if c.OnEstablished == nil {
		c.OnEstablished = func(*Link) {}
	}
	if c.OnLost == nil {
		c.OnLost = func(*Link) {}
	}
	if c.Versions == (release.Range{}) {
		c.Versions = Versions
	}
	c.Logger = logs.OrDefault(c.Logger)
	if c.Handler == nil {
		c.Handler = refusingHandler{}
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Counters == nil {
		c.Counters = NewCounters()
	}
	setDefault(&c.MaxFrameBytes, DefaultMaxFrameBytes)
	setDefault(&c.StreamWindowBytes, DefaultStreamWindowBytes)
	setDefault(&c.MaxStreams, DefaultMaxStreams)
	setDefault(&c.SendQueueBytes, DefaultSendQueueBytes)
	setDefault(&c.MaxLinks, DefaultMaxLinks)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.HeartbeatTimeout, DefaultHeartbeatTimeout)
	setDefault(&c.HandshakeTimeout, DefaultHandshakeTimeout)
	return c
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// refusingHandler is the default Handler. It cancels every stream and drops every
// message.
type refusingHandler struct{}

func (refusingHandler) ServeStream(_ context.Context, _ *Link, s *Stream) {
	s.Cancel("no streams are accepted here")
}

func (refusingHandler) ServeMessage(context.Context, *Link, uint16, []byte) {}
