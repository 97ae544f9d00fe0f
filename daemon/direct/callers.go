package direct

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// defaultIdle is how long a caller's connection may be idle, and defaultHeader
	// how long the headers of a request may take, where no configuration says it.
	defaultIdle   = time.Minute
	defaultHeader = 10 * time.Second
)

// callerLimits are the times that callers may take.
type callerLimits struct {
	// Idle is how long a connection may be idle, Header how long the headers of a
	// request may take from their first byte on.
	Idle, Header time.Duration
}

// callerListener accepts callers' connections and closes those that take longer
// than the limits in force. The limits of http.Server cannot change while it runs.
type callerListener struct {
	net.Listener
	limits func() callerLimits
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: accepted, limits: l.limits}, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	limits func() callerLimits

	// mu guards all below; it is a leaf.
	mu    sync.Mutex
	timer *time.Timer
	// idle tells that no byte of the next request has come.
	idle bool
}

// Read implements net.Conn. The first byte of a request starts the time for its
// headers.
func (c *callerConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.begin()
	}
	return n, err
}

func (c *callerConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.idle = false
		c.closeAfter(c.limits().Header)
	}
}

// closeAfter closes the connection after a time, unless it is called again; 0 stops
// that.
func (c *callerConn) closeAfter(limit time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if limit > 0 {
		// The error is that of a connection which is closed already.
		c.timer = time.AfterFunc(limit, func() { _ = c.Conn.Close() })
	}
}

// noteCaller is for http.Server.ConnState.
func noteCaller(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.idle = true
		c.closeAfter(c.limits().Idle)
	default:
		// The headers have been read, or the connection is closed.
		c.idle = false
		c.closeAfter(0)
	}
}

// callerLimits returns the limits in force.
func (e *Entry) callerLimits() callerLimits {
	limits := callerLimits{Idle: defaultIdle, Header: defaultHeader}
	version := e.version.Load()
	if version == nil {
		return limits
	}
	if version.Limits.IdleTimeout > 0 {
		limits.Idle = version.Limits.IdleTimeout
	}
	if version.Limits.HeaderTimeout > 0 {
		limits.Header = version.Limits.HeaderTimeout
	}
	return limits
}
