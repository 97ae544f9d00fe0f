package callers

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Timeouts are the timeouts of callers' connections; 0 is no timeout.
type Timeouts struct {
	// Idle limits how long a connection may be idle, Header how long the headers of a
	// request may take from their first byte on.
	Idle, Header time.Duration
}

// Listener accepts callers' connections and closes those that exceed the
// timeouts in force. The timeouts of http.Server cannot change while it runs.
type Listener struct {
	net.Listener
	timeouts func() Timeouts

	// mu guards the fields below. The locks of connections are acquired while it is held.
	mu sync.Mutex
	// open holds the connections that are not closed yet.
	open map[*conn]bool
	// acceptedAt is when the last connection was accepted.
	acceptedAt time.Time
	// ended is set once the listener accepts no more connections.
	ended bool
}

// NewListener returns a listener that accepts from another one. timeouts returns those in force.
func NewListener(listener net.Listener, timeouts func() Timeouts) *Listener {
	return &Listener{Listener: listener, timeouts: timeouts, open: map[*conn]bool{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.ended = l.ended || errors.Is(err, net.ErrClosed)
		return nil, err
	}
	if tcp, ok := accepted.(tcpConn); ok {
		// This fails only on a connection that is already closed.
		_ = tcp.SetWriteBuffer(callerWriteBuffer)
	}
	c := &conn{Conn: accepted, listener: l, idle: true, idleSince: time.Now()}
	l.open[c], l.acceptedAt = true, c.idleSince
	return c, nil
}

// callerWriteBuffer is the kernel's write buffer of a caller's connection, in bytes (the kernel
// doubles it). Without a limit it grows to 4 MB, of memory that no one accounts for, for a caller
// that doesn't read. It allows 64 Mbit/s at a round trip of 2 ms.
const callerWriteBuffer = 16 << 10

// Unwrap returns the connection that the listener has accepted, for one that it has returned.
func Unwrap(c net.Conn) net.Conn {
	if accepted, ok := c.(*conn); ok {
		return accepted.Conn
	}
	return c
}

// tcpConn is what the connections of a TCP listener implement.
type tcpConn interface {
	CloseWrite() error
	SetLinger(seconds int) error
	SetWriteBuffer(bytes int) error
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	listener *Listener
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
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.startHeaderTimeout()
	}
	return n, err
}

// startHeaderTimeout replaces the idle timeout by the header timeout, once for each
// request.
func (c *conn) startHeaderTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.idle = false
		c.closeAfter(c.listener.timeouts().Header)
	}
}

// closeAfter closes the connection after a timeout and replaces the previous one; 0
// only cancels the previous one. The caller holds mu.
func (c *conn) closeAfter(timeout time.Duration) {
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
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(tcpConn); ok {
		c.reset.Store(true)
		return tcp.SetLinger(seconds)
	}
	return nil
}

// TrackState is the http.Server.ConnState hook that starts and stops the timeouts
// of a conn.
func TrackState(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*conn)
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
