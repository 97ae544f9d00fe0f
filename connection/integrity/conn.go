package integrity

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"verbenaseam.example/verbenaseam/connection/socket"
)

const (
	// resetWait is how long the end of a connection is held back while a part of the request has not
	// been acknowledged. A peer that has closed its connection answers that part with a reset within
	// a round trip.
	resetWait = 300 * time.Millisecond
	// resetPoll is the interval at which the connection is checked during that time.
	resetPoll = time.Millisecond
)

// Conn is a connection to a peer, which reads one request at a time and responds to it. Read returns
// io.EOF if the peer has ended its direction of the connection, and a ResetError if the connection was
// reset, or closed before the peer had received the whole request.
//
// One goroutine may read while another one writes.
type Conn struct {
	net.Conn
	// raw is nil if the connection has no socket; its end is then not checked.
	raw syscall.RawConn

	// mu guards the fields below.
	mu      sync.Mutex
	request requestProgress
	// writeErr is the error of a write.
	writeErr error
	// exchange is closed once the latest exchange of a Transport has ended, nil before the first one.
	exchange chan struct{}
	// endErr is what Read returns after the end of the connection, nil before that.
	endErr error
}

// NewConn returns a Conn that reads from and writes to a connection.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{Conn: c}
	if s, ok := c.(syscall.Conn); ok {
		// This fails only on a closed connection, which reads and writes report.
		conn.raw, _ = s.SyscallConn()
	}
	return conn
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// BeginRequest must be called before a request is written. bodyBytes is the length of its body, or
// negative if that is not known. It is not called for requests over TLS, which tells an end from a reset itself.
func (c *Conn) BeginRequest(bodyBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = requestProgress{begun: true, bodyBytes: bodyBytes}
}

// beginExchange begins an exchange of a Transport, after the last one has ended. The caller must close the
// channel that it returns.
func (c *Conn) beginExchange() chan<- struct{} {
	ended := make(chan struct{})
	c.mu.Lock()
	last := c.exchange
	c.exchange = ended
	c.mu.Unlock()
	if last != nil {
		<-last
	}
	return ended
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.wrote(p[:n])
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. After an error other than a timeout it returns the same one: the kernel reports a
// reset to one read only, and the end of the connection to those after it.
func (c *Conn) Read(p []byte) (int, error) {
	if ended := c.knownEnd(); ended != nil {
		return 0, ended
	}
	n, err := c.Conn.Read(p)
	if n > 0 || err == nil {
		return n, err
	}
	if errors.Is(err, io.EOF) && c.raw != nil {
		err = c.awaitEnd(p)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.setEnd(err)
	}
	return 0, err
}

func (c *Conn) knownEnd() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endErr
}

func (c *Conn) setEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endErr = err
}

// awaitEnd returns how a connection has ended from which no more bytes can be read. If the peer may
// still reset it, awaitEnd waits up to resetWait. The end of the read deadline ends the wait.
func (c *Conn) awaitEnd(p []byte) error {
	for giveUp := time.Now().Add(resetWait); ; {
		received, err := c.requestReceived()
		if err != nil {
			return err
		}
		if received || !time.Now().Before(giveUp) {
			return io.EOF
		}
		time.Sleep(resetPoll)
		// The read returns io.EOF again, unless the deadline has passed or the connection is closed.
		if _, err := c.Conn.Read(p); !errors.Is(err, io.EOF) {
			return err
		}
	}
}

// requestReceived reports whether the peer has received the whole request. It returns a ResetError if
// that cannot happen any more.
//
// A reset after that is not reported: it comes after the end of the peer's bytes. Without that end, the
// read would have received the reset, as no write was left to receive it.
func (c *Conn) requestReceived() (bool, error) {
	c.mu.Lock()
	begun, written, writeErr := c.request.begun, c.request.complete(), c.writeErr
	c.mu.Unlock()
	if !begun {
		return true, nil
	}
	if writeErr != nil {
		return false, &ResetError{}
	}
	// Both queries fail only on a connection that this process has closed, which the next read reports.
	unacknowledged, err := socket.Unacknowledged(c.raw)
	if err == nil && written && unacknowledged == 0 {
		return true, nil
	}
	if closed, err := socket.Closed(c.raw); err == nil && closed {
		return false, &ResetError{}
	}
	return false, nil
}
