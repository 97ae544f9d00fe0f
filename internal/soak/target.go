package soak

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
)

// plainTarget is a place at which incarnations of a target of the plain service run, one
// after the other, behind a proxy. Their address stays.
type plainTarget struct {
	number int
	store  *standin.Store
	link   *proxy
	// onCrash replaces the target after a request with crashingPart.
	onCrash func()
	// replacing is held while an incarnation is replaced; it is taken before mu.
	replacing sync.Mutex

	// mu guards the fields below. standin.Target's lock is taken under it.
	mu sync.Mutex
	// address is that of the server behind the proxy.
	address string
	server  *http.Server
	current *standin.Target
	// all holds every incarnation so far.
	all []*standin.Target
}

// start starts the next incarnation and registers it.
func (p *plainTarget) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	listener, err := listenAgain(p.address)
	if err != nil {
		return err
	}
	p.current = &standin.Target{ID: fmt.Sprintf("plain-%d-%d", p.number, len(p.all)), Service: "plain", FailureDomain: failureDomain}
	p.current.Crash = p.onCrash
	p.current.SetFaults(standin.TargetFaults{CrashOnPart: crashingPart})
	p.all = append(p.all, p.current)
	p.server = &http.Server{Handler: p.current}
	go func(server *http.Server) { _ = server.Serve(listener) }(p.server)
	p.store.Put(platform.TableTargets, p.current.ID, p.current.RegistrationValue(p.link.address(), "ready"))
	return nil
}

const (
	// listenTries is how often an address is tried that was in use until a moment ago, and
	// listenPause the time between: a child that is being started holds the socket until it
	// executes its program.
	listenTries = 50
	listenPause = 10 * time.Millisecond
)

// listenAgain listens on an address on which this process may have listened before.
func listenAgain(address string) (net.Listener, error) {
	for try := 1; ; try++ {
		listener, err := net.Listen("tcp", address)
		if err == nil || try == listenTries {
			return listener, err
		}
		time.Sleep(listenPause)
	}
}

// crash ends the current incarnation. Its registration stays for now.
func (p *plainTarget) crash() (id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.server.Close()
	p.link.resetAll()
	return p.current.ID
}

// setFaults sets the faults of the current incarnation.
func (p *plainTarget) setFaults(faults standin.TargetFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults.CrashOnPart = crashingPart
	p.current.SetFaults(faults)
}

// registerAgain writes the registration of the current incarnation again, as targets do. The
// platform removes those of earlier incarnations, which a copy may have brought back.
func (p *plainTarget) registerAgain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ended := range p.all[:len(p.all)-1] {
		p.store.Delete(platform.TableTargets, ended.ID)
	}
	p.store.Put(platform.TableTargets, p.current.ID, p.current.RegistrationValue(p.link.address(), "ready"))
}

// executed returns the requests that all incarnations have run.
func (p *plainTarget) executed() []standin.ExecutedRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []standin.ExecutedRequest
	for _, incarnation := range p.all {
		all = append(all, incarnation.Executed()...)
	}
	return all
}

func (p *plainTarget) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.server.Close()
	p.link.close()
}
