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

// listenLoopback opens a UDP socket on the loopback address.
func listenLoopback(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// TestEntriesAreNotifiedOfSlowdownAndRecovery checks that the entries are not notified
// of a target at normal speed, repeatedly of a slow one, and recoveryReports times
// after it has recovered.
func TestEntriesAreNotifiedOfSlowdownAndRecovery(t *testing.T) {
	entry := listenLoopback(t)
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	row, err := platform.EncodePeer(presence.Peer{Name: "entry", PeerAddress: entry.LocalAddr().String()})
	require.NoError(t, err)
	store.Put(row.Table, row.Key, row.Value)
	store.Put(row.Table, "undecodable", []byte("no peer"))
	a := New(Config{
		Settings: settings.Rank{TargetAddress: "10.0.0.1:80"},
		Store:    platform.NewStore(strings.TrimPrefix(server.URL, "http://")),
		Clock:    clockwork.NewRealClock(), Logger: logs.Discard(),
	})
	a.socket = listenLoopback(t)

	now := time.Now()
	a.notifyEntries(t.Context(), now)
	require.Zero(t, a.slowdownReporter.entriesReadAt, "the entries are not read while the target has normal speed")
	a.updateSlowdown(12)
	requireReport := func(slowdown float64) {
		t.Helper()
		buffer := make([]byte, 1<<10)
		require.NoError(t, entry.SetReadDeadline(time.Now().Add(2*time.Second)))
		n, err := entry.Read(buffer)
		require.NoError(t, err)
		var got presence.Datagram
		require.NoError(t, cbor.Unmarshal(buffer[:n], &got))
		require.Equal(t, &presence.SlowdownReport{Address: "10.0.0.1:80", Slowdown: slowdown}, got.SlowdownReport)
	}
	require.Eventually(t, func() bool {
		a.notifyEntries(t.Context(), now)
		return len(a.slowdownReporter.entries) == 1
	}, 2*time.Second, 5*time.Millisecond)
	requireReport(12)
	a.notifyEntries(t.Context(), now.Add(slowdownReportInterval))
	requireReport(12)
	a.updateSlowdown(1)
	for n := range 2 * recoveryReports {
		a.notifyEntries(t.Context(), now.Add(time.Duration(n+2)*slowdownReportInterval))
	}
	for range recoveryReports {
		requireReport(1)
	}
	require.Zero(t, a.slowdownReporter.remaining)
}
