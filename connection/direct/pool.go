package direct

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaseam.example/verbenaseam/connection/integrity"
)

const (
	// dialTimeout is the time limit of a connection attempt. The round trip to a
	// target takes a few milliseconds.
	dialTimeout = 500 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is how long a connection may be idle if the target sends no
	// Keep-Alive timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleMargin is subtracted from the Keep-Alive timeout of the target, so that an
	// idle connection is not used while the target may be closing it.
	idleMargin = 500 * time.Millisecond
	// unackedTimeout is the time after which a connection is closed if the target
	// does not acknowledge sent bytes.
	unackedTimeout = 2 * time.Second
	// keepAlivePeriod is the idle time before the first TCP keep-alive probe and the
	// time between probes.
	keepAlivePeriod = time.Second
	// keepAliveProbes is the number of unanswered TCP keep-alive probes after which a
	// connection is closed.
	keepAliveProbes = 2
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 0x12
)

// Pool is a connection pool for one target. It is safe for concurrent use.
type Pool struct {
	address string
	limit   int
	dialer  net.Dialer
	// onDial is called after each new connection with the time that it took to make; may be
	// nil.
	onDial func(took time.Duration)

	// mu guards the fields below.
	mu sync.Mutex
	// idle holds the idle connections, the most recently used last.
	idle []*conn
	// open counts all connections: idle, in use and being dialled.
	open   int
	closed bool
	// lastDial is when the latest connection was made.
	lastDial time.Time
}

// conn is a connection that carries one exchange at a time.
type conn struct {
	*integrity.Conn
	reader *bufio.Reader
	// limits is what reader reads from.
	limits *limitedReader
	// reused is set if the connection has been returned to the pool before, carried once a
	// request is written to it.
	reused, carried bool
	// expires is the time from which the idle connection is no longer used, because
	// the target may close it.
	expires time.Time
	// sentIDs holds the hashes of the IDs of the latest requests, the oldest at nextID.
	sentIDs [maxSentIDs]uint64
	nextID  int
}

// maxSentIDs is the number of requests of a connection whose IDs are kept.
const maxSentIDs = 32

// recordID records the ID of a request that is written to the connection.
func (c *conn) recordID(id string) {
	c.sentIDs[c.nextID] = xxhash.Sum64String(id)
	c.nextID = (c.nextID + 1) % maxSentIDs
}

// hasSent reports whether one of the latest requests had the ID. A late copy of the response to
// that one would be taken for that to another with the ID.
func (c *conn) hasSent(id string) bool {
	return slices.Contains(c.sentIDs[:], xxhash.Sum64String(id))
}

// NewPool returns a pool of at most limit connections to an IP:port address; a limit
// of 0 means none. onDial is called after each new connection with the time
// that it took to make, and may be nil.
func NewPool(address string, limit int, onDial func(took time.Duration)) *Pool {
	return &Pool{
		address: address, limit: limit, onDial: onDial,
		dialer: net.Dialer{Timeout: dialTimeout, Control: setUnackedTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
		}},
	}
}

// setUnackedTimeout sets TCP_USER_TIMEOUT to unackedTimeout on a new socket.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, unackedTimeout)
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// get returns an idle connection that has not carried a request with the ID, or a new one if
// there is none or fresh is set.
func (p *Pool) get(ctx context.Context, now time.Time, id string, fresh bool) (*conn, error) {
	for !fresh {
		c, ok := p.takeIdle(now)
		if !ok {
			break
		}
		if c.usable() && !c.hasSent(id) {
			return c, nil
		}
		p.discard(c)
	}
	return p.dial(ctx)
}

// takeIdle removes and returns the most recently used idle connection, which the
// target is least likely to have closed. It closes the expired connections that it
// finds first.
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
		return nil, &ConnectionLimitError{Limit: p.limit}
	}
	started := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.unreserve()
		return nil, err
	}
	p.mu.Lock()
	p.lastDial = time.Now()
	took := p.lastDial.Sub(started)
	p.mu.Unlock()
	if p.onDial != nil {
		p.onDial(took)
	}
	checked := integrity.NewConn(raw)
	limits := &limitedReader{Reader: checked}
	return &conn{Conn: checked, reader: bufio.NewReaderSize(limits, readBufferBytes), limits: limits}, nil
}

// Check reports whether the target accepts connections: it returns nil if an idle
// connection is still open or a new one can be made, which then becomes idle.
func (p *Pool) Check(ctx context.Context) error {
	c, err := p.get(ctx, time.Now(), "", false)
	if err != nil {
		return err
	}
	expires := c.expires
	if !c.reused {
		expires = time.Now().Add(defaultIdleTimeout)
	}
	p.putIdle(c, expires)
	return nil
}

// LastDial returns when the latest connection was made; zero before the first one. Something
// accepted connections at the address then.
func (p *Pool) LastDial() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastDial
}

// reserve counts a connection to be dialled. It returns false if the limit is reached.
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

// putIdle returns a connection to the pool, to be used until it expires. It closes the
// connection if the pool is closed, and those that have expired: get takes the latest one, if any, and
// never comes to the others.
func (p *Pool) putIdle(c *conn, expires time.Time) {
	c.reused = true
	c.expires = expires
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open--
		_ = c.Close()
		return
	}
	p.closeExpired(time.Now())
	p.idle = append(p.idle, c)
}

// closeExpired closes the oldest idle connections that have expired. The caller holds mu.
func (p *Pool) closeExpired(now time.Time) {
	count := 0
	for count < len(p.idle) && !now.Before(p.idle[count].expires) {
		_ = p.idle[count].Close()
		count++
	}
	p.open -= count
	p.idle = slices.Delete(p.idle, 0, count)
}

// discard closes a connection and removes it from the count of open ones.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.unreserve()
}

// IdleCount returns the number of idle connections.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Close closes the idle connections. Those in use are closed when their exchanges
// end.
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

// resetOnClose makes Close send a TCP reset, so that bytes of the request which are
// still in transit are not delivered.
func (c *conn) resetOnClose() {
	if tcp, ok := c.NetConn().(*net.TCPConn); ok {
		// SetLinger fails only on a connection that is already closed.
		_ = tcp.SetLinger(0)
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT of the connection.
func (c *conn) setUserTimeout(timeout time.Duration) {
	tcp, ok := c.NetConn().(*net.TCPConn)
	if !ok {
		return
	}
	// Both fail only on a connection that is already closed.
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = setUserTimeout(raw, timeout)
	}
}

// usable reports whether an idle connection can carry another request. It cannot if
// there are unread bytes, which belong to no outstanding request, or if the target has
// closed it.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	readErr := raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(fd), buffer[:])
		idle = err == syscall.EAGAIN
		return true
	})
	return readErr == nil && idle
}
