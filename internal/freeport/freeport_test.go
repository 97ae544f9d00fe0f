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
// the same address. It holds the lock of the next port that no process has, as another process would.
func TestPortsOfOtherProcessesAreNotReturned(t *testing.T) {
	// Beside other processes the tests before this one may have reserved all ports that were left.
	releasePorts(t)
	address, err := Address("127.0.0.1")
	require.NoError(t, err)
	_, text, err := net.SplitHostPort(address)
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	taken := lockAsAnotherProcess(t, port+1)
	// Each call passes at least one port.
	for range (taken-port+portCount)%portCount + 1 {
		next, err := Address("127.0.0.1")
		require.NoError(t, err)
		require.NotEqual(t, net.JoinHostPort("127.0.0.1", strconv.Itoa(taken)), next)
	}
}

// releasePorts releases the ports of this process.
func releasePorts(t *testing.T) {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for _, file := range ports.locks {
		require.NoError(t, file.Close())
	}
	ports.locks = nil
}

// lockAsAnotherProcess locks the first port that no process has locked, this one neither, and returns it. The search
// starts at a port.
func lockAsAnotherProcess(t *testing.T, from int) int {
	t.Helper()
	for at := range portCount {
		port := firstPort + (from-firstPort+at)%portCount
		file, err := os.OpenFile(filepath.Join(os.TempDir(), "verbenaseam-ports", strconv.Itoa(port)), os.O_CREATE|os.O_RDWR, 0o644)
		require.NoError(t, err)
		if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			t.Cleanup(func() { _ = file.Close() })
			return port
		}
		require.NoError(t, file.Close())
	}
	require.Fail(t, "all ports are locked")
	return 0
}
