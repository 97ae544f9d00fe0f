package direct

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/poison"
)

// peerOf returns an entry with an open socket for heartbeats that knows another.
func peerOf(t *testing.T, name string, knows *heartbeats) *heartbeats {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	e := New(Config{
		Settings: settings.Direct{Name: name, PeerAddress: socket.LocalAddr().String()},
		Clock:    clockwork.NewRealClock(), Logger: logs.Discard(),
	})
	if knows != nil {
		e.peers.Register(knows.entry.self, e.clock.Now())
	}
	return &heartbeats{entry: e, socket: socket, log: logs.Component(logs.Discard(), "peers")}
}

// TestEntriesTellEachOtherOfCrashes lets one entry see three crashes: the other
// refuses the request too, also if it starts later.
func TestEntriesTellEachOtherOfCrashes(t *testing.T) {
	hearer := peerOf(t, "a", nil)
	go hearer.receive()
	teller := peerOf(t, "b", hearer)
	for target, age := range map[string]time.Duration{"x": 15 * time.Second, "y": 10 * time.Second, "z": 5 * time.Second} {
		crash := poison.Crash{Target: target, Incarnation: "1", Fingerprints: []uint64{7}}
		require.True(t, teller.entry.poison.Crashed(crash, age))
	}
	refuses := func() bool {
		return hearer.entry.poison.Assess(7).Failure(time.Now()) != nil
	}
	teller.send()
	require.Never(t, refuses, 100*time.Millisecond, 20*time.Millisecond, "crashes of long ago are told rarely")
	for range rareBeat {
		teller.send()
	}
	require.Eventually(t, refuses, 2*time.Second, 10*time.Millisecond)
	require.Equal(t, 1, hearer.entry.peers.Count())
}
