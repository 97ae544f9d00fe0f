package link

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/sirupsen/logrus"
)

// logPart is the value of the "part" log field of this package.
const logPart = "link"

// Acceptor accepts incoming links. It is the http.Handler for Path.
type Acceptor struct {
	config   Config
	upgrader websocket.Upgrader

	// mu guards the fields below.
	mu    sync.Mutex
	links []*Link
	// opening counts the links whose handshake is in progress.
	opening int
	closed  bool
}

// NewAcceptor returns an acceptor. If Config.TLS is set, the http.Server must
// serve TLS with that configuration and require client certificates.
func NewAcceptor(config Config) *Acceptor {
	config = config.withDefaults()
	return &Acceptor{
		config: config,
		upgrader: websocket.Upgrader{
			HandshakeTimeout: config.HandshakeTimeout,
			ReadBufferSize:   socketReadBufferBytes,
			WriteBufferSize:  socketWriteBufferBytes,
			WriteBufferPool:  &socketWriteBuffers,
			// Only browsers send Origin, and a browser is never a peer.
			CheckOrigin:  func(r *http.Request) bool { return r.Header.Get("Origin") == "" },
			Subprotocols: subprotocols(config.Versions),
		},
	}
}

// ServeHTTP implements http.Handler: it upgrades the request to a WebSocket and
// opens one link over it.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := checkPlaintextAllowed(a.config, r.RemoteAddr); err != nil {
		a.refuse(w, r, http.StatusForbidden, err)
		return
	}
	if a.config.TLS != nil && (r.TLS == nil || len(r.TLS.PeerCertificates) == 0) {
		a.refuse(w, r, http.StatusForbidden, &PlaintextRefusedError{Address: r.RemoteAddr})
		return
	}
	if !a.reserve() {
		http.Error(w, "no place for another link", http.StatusServiceUnavailable)
		return
	}
	l, err := a.open(w, r)
	a.finishOpening(l)
	if err != nil {
		a.logEntry(r, err).Warn("link handshake failed")
		return
	}
	l.start()
}

func (a *Acceptor) refuse(w http.ResponseWriter, r *http.Request, status int, err error) {
	a.logEntry(r, err).Warn("link refused")
	http.Error(w, http.StatusText(status), status)
}

func (a *Acceptor) logEntry(r *http.Request, err error) *logrus.Entry {
	return a.config.Logger.WithFields(logrus.Fields{"part": logPart, "address": r.RemoteAddr}).WithError(err)
}

func (a *Acceptor) open(w http.ResponseWriter, r *http.Request) (*Link, error) {
	header := http.Header{}
	nameBuild(header, "Server")
	socket, err := a.upgrader.Upgrade(w, r, header)
	if err != nil {
		return nil, &TransportError{Operation: "accept", Cause: err}
	}
	version, err := agreedVersion(a.config.Versions, socket.Subprotocol(), websocket.Subprotocols(r))
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	_ = socket.NetConn().SetDeadline(time.Now().Add(a.config.HandshakeTimeout))
	l, err := establish(a.config, socket, agreement{version: version, peerBuild: namedBuild(r.Header, "User-Agent")}, false)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	_ = socket.NetConn().SetDeadline(time.Time{})
	l.onDone = func() { a.remove(l) }
	return l, nil
}

// reserve counts a link that is opening against Config.MaxLinks. It returns false
// if the limit is reached or the acceptor is closed.
func (a *Acceptor) reserve() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || len(a.links)+a.opening >= a.config.MaxLinks {
		return false
	}
	a.opening++
	return true
}

// finishOpening ends the reservation of a link. l is nil if the handshake failed. If
// the acceptor has been closed in the meantime, l is closed.
func (a *Acceptor) finishOpening(l *Link) {
	a.mu.Lock()
	a.opening--
	closed := a.closed
	if l != nil && !closed {
		a.links = append(a.links, l)
	}
	a.mu.Unlock()
	if l != nil && closed {
		l.fail(ErrClosed)
	}
}

func (a *Acceptor) remove(l *Link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.links, l); i >= 0 {
		a.links = slices.Delete(a.links, i, i+1)
	}
}

// Links returns the accepted links that are open.
func (a *Acceptor) Links() []*Link {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.links)
}

// Close closes all accepted links and refuses new ones.
func (a *Acceptor) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	var closing sync.WaitGroup
	for _, l := range a.Links() {
		closing.Go(func() { _ = l.Close() })
	}
	closing.Wait()
}
