package direct

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultIdleTimeout and defaultHeaderTimeout apply where the configuration sets no
	// timeout for callers' connections.
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second
)

// callerTimeouts are the timeouts of callers' connections; 0 is no timeout.
type callerTimeouts struct {
	// Idle limits how long a connection may be idle, Header how long the headers of a
	// request may take from their first byte on.
	Idle, Header time.Duration
}

// callerListener accepts callers' connections and closes those that exceed the
// timeouts in force. The timeouts of http.Server cannot change while it runs.
type callerListener struct {
	net.Listener
	timeouts func() callerTimeouts

	// mu guards the fields below. The locks of connections are acquired while it is held.
	mu sync.Mutex
	// open holds the connections that are not closed yet.
	open map[*callerConn]bool
	// acceptedAt is when the last connection was accepted.
	acceptedAt time.Time
	// ended is set once the listener accepts no more connections.
	ended bool
}

func newCallerListener(listener net.Listener, timeouts func() callerTimeouts) *callerListener {
	return &callerListener{Listener: listener, timeouts: timeouts, open: map[*callerConn]bool{}}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.ended = l.ended || errors.Is(err, net.ErrClosed)
		return nil, err
	}
	c := &callerConn{Conn: accepted, listener: l, idle: true, idleSince: time.Now()}
	l.open[c], l.acceptedAt = true, c.idleSince
	return c, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	listener *callerListener
	// reset is set if Close is to reset the connection.
	reset atomic.Bool

	// mu guards the fields below. No other lock is acquired while it is held.
	mu    sync.Mutex
	timer *time.Timer
	// idle is set until the first byte of the next request arrives, idleSince is when the
	// connection was accepted or the last response had been sent.
	idle      bool
	idleSince time.Time
}

// Read implements net.Conn. The first byte of a request starts the header timeout.
func (c *callerConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.startHeaderTimeout()
	}
	return n, err
}

// startHeaderTimeout replaces the idle timeout by the header timeout, once for each
// request.
func (c *callerConn) startHeaderTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.idle = false
		c.closeAfter(c.listener.timeouts().Header)
	}
}

// closeAfter closes the connection after a timeout and replaces the previous one; 0
// only cancels the previous one. The caller holds mu.
func (c *callerConn) closeAfter(timeout time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if timeout > 0 {
		// Close fails only if the connection is closed already.
		c.timer = time.AfterFunc(timeout, func() { _ = c.Conn.Close() })
	}
}

// SetLinger sets the socket option of the same name, so that a response can be cut off.
func (c *callerConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		c.reset.Store(true)
		return tcp.SetLinger(seconds)
	}
	return nil
}

// trackConnState is the http.Server.ConnState hook that starts and stops the timeouts
// of a callerConn.
func trackConnState(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateClosed || state == http.StateHijacked {
		c.listener.remove(c)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.idle, c.idleSince = true, time.Now()
		c.closeAfter(c.listener.timeouts().Idle)
	default:
		// The headers have been read, or the connection is closed.
		c.idle = false
		c.closeAfter(0)
	}
}

// callerTimeouts returns the timeouts in force.
func (e *Entry) callerTimeouts() callerTimeouts {
	timeouts := callerTimeouts{Idle: defaultIdleTimeout, Header: defaultHeaderTimeout}
	version := e.version.Load()
	if version == nil {
		return timeouts
	}
	if version.Limits.IdleTimeout > 0 {
		timeouts.Idle = version.Limits.IdleTimeout
	}
	if version.Limits.HeaderTimeout > 0 {
		timeouts.Header = version.Limits.HeaderTimeout
	}
	return timeouts
}
