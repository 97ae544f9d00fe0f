package rank

import (
	"net"
	"net/http"
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
	"verbenaseam.example/verbenaseam/version/expertmap"
)

// listenLoopback opens a UDP socket on the loopback address.
func listenLoopback(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// newReportingAgent returns an agent without an engine, the store that it reads, and an entry
// that is registered there.
func newReportingAgent(t *testing.T) (*Agent, *standin.Store, *net.UDPConn) {
	t.Helper()
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
	return a, store, entry
}

// requireReport checks the next report that an entry receives.
func requireReport(t *testing.T, entry *net.UDPConn, want presence.TargetReport) {
	t.Helper()
	buffer := make([]byte, 1<<10)
	require.NoError(t, entry.SetReadDeadline(time.Now().Add(2*time.Second)))
	n, err := entry.Read(buffer)
	require.NoError(t, err)
	var got presence.Datagram
	require.NoError(t, cbor.Unmarshal(buffer[:n], &got))
	require.Equal(t, &want, got.TargetReport)
}

// awaitEntries calls notifyEntries until the agent knows the entry.
func awaitEntries(t *testing.T, a *Agent, now time.Time) {
	t.Helper()
	require.Eventually(t, func() bool {
		a.notifyEntries(t.Context(), now)
		return len(a.targetReporter.entries) == 1
	}, 2*time.Second, 5*time.Millisecond)
}

// TestEntriesAreNotifiedOfSlowdownAndRecovery checks that the entries are not notified
// of a target at normal speed, repeatedly of a slow one, and recoveryReports times
// after it has recovered.
func TestEntriesAreNotifiedOfSlowdownAndRecovery(t *testing.T) {
	a, _, entry := newReportingAgent(t)
	now := time.Now()
	a.notifyEntries(t.Context(), now)
	require.Empty(t, a.targetReporter.entryReads, "the entries are not read at once while the target has normal speed")
	a.updateSlowdown(12)
	now = now.Add(entriesReadInterval)
	awaitEntries(t, a, now)
	slow, usual := presence.TargetReport{Address: "10.0.0.1:80", Slowdown: 12}, presence.TargetReport{Address: "10.0.0.1:80", Slowdown: 1}
	requireReport(t, entry, slow)
	a.notifyEntries(t.Context(), now.Add(targetReportInterval))
	requireReport(t, entry, slow)
	a.updateSlowdown(1)
	for n := range 2 * recoveryReports {
		a.notifyEntries(t.Context(), now.Add(time.Duration(n+2)*targetReportInterval))
	}
	for range recoveryReports {
		requireReport(t, entry, usual)
	}
	require.Zero(t, a.targetReporter.remaining)
}

// TestEntriesAreNotifiedOfLeavingTargetWithoutTheStore guards against an agent that knows
// that its target leaves, and can tell nobody because it has not read the entries' addresses
// before the store went away.
func TestEntriesAreNotifiedOfLeavingTargetWithoutTheStore(t *testing.T) {
	a, store, entry := newReportingAgent(t)
	now := time.Now()
	a.slowdown = 1
	a.notifyEntries(t.Context(), now)
	now = now.Add(entriesReadInterval)
	awaitEntries(t, a, now)
	readAt := a.targetReporter.entriesReadAt
	a.notifyEntries(t.Context(), now.Add(10*entriesReadInterval))
	require.Equal(t, readAt, a.targetReporter.entriesReadAt, "read once while there is nothing to report")

	store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	started := time.UnixMilli(5)
	a.updateLeaving(expertmap.RankReport{StartedAt: started, Leaving: true})
	a.updateLeaving(expertmap.RankReport{StartedAt: started})
	now = now.Add(20 * entriesReadInterval)
	a.notifyEntries(t.Context(), now)
	requireReport(t, entry, presence.TargetReport{Address: "10.0.0.1:80", Slowdown: 1, Leaving: true, StartedAtMillis: 5})
	a.updateLeaving(expertmap.RankReport{StartedAt: started.Add(time.Second)})
	a.notifyEntries(t.Context(), now.Add(targetReportInterval))
	requireReport(t, entry, presence.TargetReport{Address: "10.0.0.1:80", Slowdown: 1})
}
