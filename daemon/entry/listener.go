package entry

import (
	"net"
	"sync"
)

// limitListener limits the number of open connections of a listener. At the limit,
// Accept blocks until a connection is closed.
type limitListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
}

func newLimitListener(inner net.Listener, limit int) *limitListener {
	return &limitListener{Listener: inner, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitConn{Conn: accepted, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitConn releases its slot in the listener when it is closed.
type limitConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
