package rank

import (
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/process/settings"
)

// loopback opens a socket for datagrams.
func loopback(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// TestEntriesAreToldOfASlowTargetAndOfItsEnd lets a target turn slow and back.
func TestEntriesAreToldOfASlowTargetAndOfItsEnd(t *testing.T) {
	entry := loopback(t)
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	row, err := platform.EncodePeer(presence.Peer{Name: "entry", PeerAddress: entry.LocalAddr().String()})
	require.NoError(t, err)
	store.Put(row.Table, row.Key, row.Value)
	store.Put(row.Table, "another writer's", []byte("no peer"))
	a := New(Config{
		Settings: settings.Rank{TargetAddress: "10.0.0.1:80"},
		Store:    platform.NewStore(strings.TrimPrefix(server.URL, "http://")),
		Clock:    clockwork.NewRealClock(), Logger: logs.Discard(),
	})
	a.socket = loopback(t)

	now := time.Now()
	a.tellEntries(t.Context(), now)
	require.Zero(t, a.slowness.asked, "nothing is read while the target is as usual")
	a.notePace(12)
	told := func(pace float64) {
		t.Helper()
		buffer := make([]byte, 1<<10)
		require.NoError(t, entry.SetReadDeadline(time.Now().Add(2*time.Second)))
		n, err := entry.Read(buffer)
		require.NoError(t, err)
		var got presence.Datagram
		require.NoError(t, cbor.Unmarshal(buffer[:n], &got))
		require.Equal(t, &presence.SlowdownReport{Address: "10.0.0.1:80", Slowdown: pace}, got.SlowdownReport)
	}
	require.Eventually(t, func() bool {
		a.tellEntries(t.Context(), now)
		return len(a.slowness.entries) == 1
	}, 2*time.Second, 5*time.Millisecond)
	told(12)
	a.tellEntries(t.Context(), now.Add(tellSlowEvery))
	told(12)
	a.notePace(1)
	for n := range 2 * tellUsual {
		a.tellEntries(t.Context(), now.Add(time.Duration(n+2)*tellSlowEvery))
	}
	for range tellUsual {
		told(1)
	}
	require.Zero(t, a.slowness.left)
}
