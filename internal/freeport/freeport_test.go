package freeport

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAddressesStayFree guards against programs that cannot listen at their address, because
// a connection took the port between its choice and their start.
func TestAddressesStayFree(t *testing.T) {
	limits, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	require.NoError(t, err)
	firstEphemeral, err := strconv.Atoi(strings.Fields(string(limits))[0])
	require.NoError(t, err)
	seen := map[string]bool{}
	for range 20 {
		address, err := Address("127.0.0.1")
		require.NoError(t, err)
		_, port, err := net.SplitHostPort(address)
		require.NoError(t, err)
		number, err := strconv.Atoi(port)
		require.NoError(t, err)
		require.Less(t, number, firstEphemeral)
		require.False(t, seen[address], "returned twice")
		seen[address] = true
	}
}

// TestPortsOfOtherProcessesAreNotReturned guards against two processes that start programs at
// the same address. It holds the lock of the next port as another process would.
func TestPortsOfOtherProcessesAreNotReturned(t *testing.T) {
	address, err := Address("127.0.0.1")
	require.NoError(t, err)
	_, text, err := net.SplitHostPort(address)
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	file, err := os.OpenFile(filepath.Join(os.TempDir(), "verbenaseam-ports", strconv.Itoa(port+1)), os.O_CREATE|os.O_RDWR, 0o644)
	require.NoError(t, err)
	defer file.Close()
	// The port may be reserved already, by a test that runs beside this one.
	_ = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	next, err := Address("127.0.0.1")
	require.NoError(t, err)
	require.NotEqual(t, net.JoinHostPort("127.0.0.1", strconv.Itoa(port+1)), next)
}
