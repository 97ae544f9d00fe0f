package callers

import (
	"context"
	"io"
	"syscall"
	"time"
)

const (
	// quietTime is how long a connection must have been idle before it is closed in a
	// shutdown, and how long no connection must have arrived before the listener is closed.
	// A caller that has just connected, or has just received a response, may be about to
	// send a request.
	quietTime = 250 * time.Millisecond
	// maxAcceptTime is how long connections are accepted in a shutdown at most. Callers that
	// go on longer use directory answers that have expired.
	maxAcceptTime = time.Second
	// drainInterval is the time between two checks of the connections.
	drainInterval = 10 * time.Millisecond
)

// Drain stops accepting connections and waits until none is left or ctx is done. It returns
// how many are left. Meanwhile responses must ask callers to close their connections.
//
// http.Server.Shutdown is not used because requests could be lost without a response: those of
// connections that the kernel has accepted and Serve has not, those whose head has arrived in
// part, and those sent when the response before them has ended. What remains are requests that
// cross the close of a connection idle for quietTime on the network, and connections that
// arrive at the moment when the listener is closed. Such requests do not run.
func (l *Listener) Drain(ctx context.Context) (left int) {
	l.stopAccepting(ctx)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		left, ended := l.closeQuiet(time.Now())
		if left == 0 && ended {
			return 0
		}
		select {
		case <-ctx.Done():
			return left
		case <-ticker.C:
		}
	}
}

// stopAccepting closes the listener once no connection has arrived for quietTime, at the latest
// after maxAcceptTime, and none is in the kernel's queue: the close would reset those.
func (l *Listener) stopAccepting(ctx context.Context) {
	defer l.Listener.Close()
	raw := rawConn(l.Listener)
	started := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		quiet := now.Sub(l.lastAccept()) >= quietTime || now.Sub(started) >= maxAcceptTime
		if quiet && !readable(raw) {
			return
		}
		time.Sleep(drainInterval)
	}
}

// lastAccept returns when the last connection was accepted, zero if none was.
func (l *Listener) lastAccept() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acceptedAt
}

// closeQuiet closes the connections without a request. It returns how many are left, and
// whether the listener accepts no more.
func (l *Listener) closeQuiet(now time.Time) (left int, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.closeIfQuiet(now)
	}
	return len(l.open), l.ended
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// closeIfQuiet closes the connection if it has been idle for quietTime and no byte of a request
// has arrived. The server then ends it.
func (c *conn) closeIfQuiet(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || now.Sub(c.idleSince) < quietTime || readable(rawConn(c.Conn)) {
		return
	}
	// Close fails only if the connection is closed already.
	_ = c.Conn.Close()
}

// lingerTime is how long a closed connection still takes bytes from its caller.
const lingerTime = time.Second

// Close implements net.Conn. If bytes of the caller are unread, for example of a request that
// follows a response with Connection: close, the kernel would reset the connection and discard
// what is not sent yet of the response. So the connection is closed for writing only until the
// caller has closed it too, at most for lingerTime.
func (c *conn) Close() error {
	tcp, ok := c.Conn.(tcpConn)
	if !ok || c.reset.Load() || !readable(rawConn(tcp)) || tcp.CloseWrite() != nil {
		return c.Conn.Close()
	}
	go func() {
		// Errors mean that the connection has ended.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close()
	}()
	return nil
}

// rawConn returns the socket of a connection or listener, or nil if it has none.
func rawConn(of any) syscall.RawConn {
	if socket, ok := of.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// readable reports whether a socket has unread bytes, or a listener connections to accept.
func readable(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	epoll, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return false
	}
	defer syscall.Close(epoll)
	var events [1]syscall.EpollEvent
	ready := 0
	err = raw.Control(func(fd uintptr) {
		event := syscall.EpollEvent{Events: syscall.EPOLLIN, Fd: int32(fd)}
		if syscall.EpollCtl(epoll, syscall.EPOLL_CTL_ADD, int(fd), &event) == nil {
			ready, _ = syscall.EpollWait(epoll, events[:], 0)
		}
	})
	return err == nil && ready > 0
}
