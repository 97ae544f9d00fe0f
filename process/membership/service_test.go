package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/platform"
)

// network connects services in memory. A host without a service refuses messages.
type network struct {
	mu       sync.Mutex
	services map[string]*Service
}

// endpoint is the Transport of one service.
type endpoint struct {
	*network
	self string
}

func (e endpoint) Send(peer string, kind uint16, body any) error {
	e.mu.Lock()
	to := e.services[peer]
	e.mu.Unlock()
	if to == nil {
		return context.Canceled
	}
	encoded, err := cbor.Marshal(body)
	if err == nil {
		to.Receive(e.self, kind, encoded)
	}
	return err
}

func TestServicesDetectEndedProcess(t *testing.T) {
	net := &network{services: map[string]*Service{}}
	names := []string{"a", "b", "c", "d"}
	var hosts []platform.Host
	for _, name := range names {
		hosts = append(hosts, platform.Host{Name: name})
	}
	clock := clockwork.NewRealClock()
	stop := map[string]context.CancelFunc{}
	var running sync.WaitGroup
	for i, name := range names {
		net.services[name] = NewService(ServiceConfig{Self: name, Incarnation: 1, Clock: clock,
			Random: rand.New(rand.NewPCG(uint64(i), 1)), Transport: endpoint{net, name},
			Hosts: func() []platform.Host { return hosts }})
	}
	service := net.services["a"]
	for _, name := range names {
		ctx, cancel := context.WithCancel(t.Context())
		stop[name] = cancel
		run := net.services[name]
		running.Go(func() { _ = run.Run(ctx) })
	}
	for len(service.Members()) < 3 {
		clock.Sleep(TickInterval)
	}
	require.Equal(t, Alive, service.State("d"))
	stop["d"]()
	net.mu.Lock()
	delete(net.services, "d")
	net.mu.Unlock()
	for service.State("d") != Dead {
		clock.Sleep(TickInterval)
	}
	require.Equal(t, Alive, service.State("b"))
	require.Len(t, service.Members(), 3)
	for _, cancel := range stop {
		cancel()
	}
	running.Wait()
}
