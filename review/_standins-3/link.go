package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link forwards TCP connections from one loopback address to another.
type link struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open map[*linked]bool
}

// linked is a forwarded connection.
type linked struct {
	in, out net.Conn
	// silent is set if no more bytes pass; both ends stay open. used is set once the entry has sent
	// something since.
	silent, used atomic.Bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, open: map[*linked]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(in)
	}
}

func (l *link) serve(in net.Conn) {
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = in.Close()
		return
	}
	c := &linked{in: in, out: out}
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.pump(out, in) })
	both.Go(func() { c.pump(in, out) })
	both.Wait()
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

// pump forwards bytes until a side ends, which ends the other one, unless the connection is silent.
func (c *linked) pump(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.silent.Load() {
			_, _ = to.Write(buffer[:n])
		} else if n > 0 && from == c.in {
			c.used.Store(true)
		}
		if err == nil {
			continue
		}
		if !c.silent.Load() || from == c.in {
			_ = to.Close()
		}
		if err != io.EOF || !c.silent.Load() {
			_ = from.Close()
		}
		return
	}
}

// silence makes all open connections silent for good. New ones work. It returns how many there are.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
		time.AfterFunc(keepAliveTime, func() {
			if !c.used.Load() {
				_ = c.in.Close()
			}
		})
	}
	return len(l.open)
}

// keepAliveTime is when the entry's TCP keep-alive (probes after 1, 2 and 3 s) would end a silent
// connection that it doesn't use. A proxy cannot leave the probes unanswered, so it closes such ones.
const keepAliveTime = 3 * time.Second

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.in.Close()
		_ = c.out.Close()
	}
}
