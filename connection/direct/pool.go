package direct

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a connection attempt; targets are a few milliseconds away.
	dialTimeout = 500 * time.Millisecond
	// readBuffer is the buffer of a connection's reader.
	readBuffer = 4 << 10
	// defaultIdle is how long a connection is kept where the target names no time.
	defaultIdle = 5 * time.Second
	// idleMargin is how much before the target a connection is closed.
	idleMargin = 500 * time.Millisecond
	// unackedTimeout ends a connection whose bytes the target does not acknowledge.
	unackedTimeout = 2 * time.Second
	// keepAlivePeriod is the time between probes of a silent connection.
	keepAlivePeriod = time.Second
	// keepAliveProbes is how many probes without an answer end a connection.
	keepAliveProbes = 2
	// tcpUserTimeout is the option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 0x12
)

// Pool keeps the connections to one target. It is safe for concurrent use.
type Pool struct {
	address string
	limit   int
	dialer  net.Dialer
	// dialled is called after each new connection; nil for none.
	dialled func()

	mu sync.Mutex
	// idle holds connections in the order of their last use, and open counts all.
	idle   []*conn
	open   int
	closed bool
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// reused tells that it has carried a request before.
	reused bool
	// expires is when the target may close it while it is idle.
	expires time.Time
}

// NewPool returns a pool of at most limit connections to an IP:port address;
// dialled is called after each new connection and may be nil.
func NewPool(address string, limit int, dialled func()) *Pool {
	return &Pool{
		address: address, limit: limit, dialled: dialled,
		dialer: net.Dialer{Timeout: dialTimeout, Control: setUnackedTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
		}},
	}
}

// setUnackedTimeout bounds how long sent bytes may stay without acknowledgement.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// get returns a kept connection, or a new one if there is none or fresh is set.
func (p *Pool) get(ctx context.Context, now time.Time, fresh bool) (*conn, error) {
	for !fresh {
		kept, ok := p.takeIdle(now)
		if !ok {
			break
		}
		if kept.quiet() {
			return kept, nil
		}
		p.drop(kept)
	}
	return p.dial(ctx)
}

// takeIdle takes the connection that was used last, whose target is least likely
// to close it, and drops those that have expired.
func (p *Pool) takeIdle(now time.Time) (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(last.expires) {
			return last, true
		}
		p.open--
		_ = last.Close()
	}
	return nil, false
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	if !p.reserve() {
		return nil, &LimitError{Limit: p.limit}
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.unreserve()
		return nil, err
	}
	if p.dialled != nil {
		p.dialled()
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 && p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// keep takes a connection back that has carried a whole answer.
func (p *Pool) keep(c *conn, until time.Time) {
	c.reused = true
	c.expires = until
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open--
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection.
func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.unreserve()
}

// Idle returns how many kept connections are not in use.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Close closes the connections that are not in use; the others are closed after
// their answers.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.open--
		_ = c.Close()
	}
	p.idle = nil
}

// reset makes the connection end with a reset when it is closed, so that bytes of
// a request which are still on their way never arrive.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// It fails only on a connection that is closed already.
		_ = tcp.SetLinger(0)
	}
}

// quiet tells whether nothing has come on an idle connection: bytes there belong
// to no request, and an end means that the target has closed it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	readErr := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return readErr == nil && quiet
}
