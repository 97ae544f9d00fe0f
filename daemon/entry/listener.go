package entry

import (
	"net"
	"sync"
)

// limitListener limits the number of open connections of a listener. At the limit,
// Accept blocks until a connection is closed.
type limitListener struct {
	*net.TCPListener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
}

func newLimitListener(inner *net.TCPListener, limit int) *limitListener {
	return &limitListener{TCPListener: inner, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	accepted, err := l.AcceptTCP()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitConn{TCPConn: accepted, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.TCPListener.Close()
}

// limitConn releases its slot in the listener when it is closed.
type limitConn struct {
	*net.TCPConn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(c.release)
	return err
}
