package soak

import (
	"net"
	"sync"
	"time"
)

// linkMode is what a proxy does with the bytes of its connections.
type linkMode uint8

const (
	linkOpen linkMode = iota
	// linkDelayed delays all bytes by linkDelay.
	linkDelayed
	// linkSilent holds all bytes back until the mode changes, like a cut after which lost
	// packets are sent again.
	linkSilent
)

const (
	linkDelay = 150 * time.Millisecond
	// linkPoll is the time between two looks at the mode of a silent link.
	linkPoll = 5 * time.Millisecond
)

// proxy forwards connections on loopback to an address and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string

	// mu guards the fields below; it is a leaf lock.
	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]bool
}

// newProxy returns a proxy that listens at an address and forwards to the target.
func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		incoming, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(incoming)
	}
}

func (p *proxy) serve(incoming net.Conn) {
	outgoing, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(incoming)
		return
	}
	p.mu.Lock()
	p.conns[incoming], p.conns[outgoing] = true, true
	p.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() { p.pump(outgoing, incoming) })
	pumps.Go(func() { p.pump(incoming, outgoing) })
	pumps.Wait()
	p.mu.Lock()
	delete(p.conns, incoming)
	delete(p.conns, outgoing)
	p.mu.Unlock()
}

// pump copies bytes until either connection ends, and then ends both.
func (p *proxy) pump(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.hold()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits as the mode demands.
func (p *proxy) hold() {
	for {
		switch p.currentMode() {
		case linkOpen:
			return
		case linkDelayed:
			time.Sleep(linkDelay)
			return
		}
		time.Sleep(linkPoll)
	}
}

func (p *proxy) currentMode() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) setMode(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// resetAll resets all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(linkOpen)
	p.resetAll()
}

// reset ends a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
