package systemtest

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// minSinglePort and maxSinglePort bound the ports of freeAddress, above those of
	// freePortBase and below the ephemeral port range: the system gives an ephemeral port
	// to any connection or listener before the program that is to use it has started.
	minSinglePort = 31000
	maxSinglePort = 32767
)

var singlePorts struct {
	sync.Mutex
	// taken is how many ports this process has tried.
	taken int
}

// freeAddress returns the address of a port on a loopback host that is free for TCP and UDP
// and that no other call returns. The first port depends on the process ID, so that test
// processes that run in parallel rarely try the same ones.
func freeAddress(t *testing.T, host string) string {
	t.Helper()
	singlePorts.Lock()
	defer singlePorts.Unlock()
	const ports = maxSinglePort - minSinglePort + 1
	for ; singlePorts.taken < ports; singlePorts.taken++ {
		address := fmt.Sprintf("%s:%d", host, minSinglePort+(os.Getpid()+singlePorts.taken)%ports)
		if addressFree(address) {
			singlePorts.taken++
			return address
		}
	}
	require.Fail(t, "no free port")
	return ""
}

func addressFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}

// TestFreeAddressesStayFree guards against programs that cannot listen at their address,
// because a connection took the port between its choice and their start.
func TestFreeAddressesStayFree(t *testing.T) {
	limits, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	require.NoError(t, err)
	firstEphemeral, err := strconv.Atoi(strings.Fields(string(limits))[0])
	require.NoError(t, err)
	seen := map[string]bool{}
	for range 20 {
		address := freeAddress(t, "127.0.0.1")
		_, port, err := net.SplitHostPort(address)
		require.NoError(t, err)
		number, err := strconv.Atoi(port)
		require.NoError(t, err)
		require.Less(t, number, firstEphemeral)
		require.False(t, seen[address], "returned twice")
		seen[address] = true
	}
}
