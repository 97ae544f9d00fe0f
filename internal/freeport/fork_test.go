package freeport

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPortIsFreeWhileProcessesAreStarted guards against a port that cannot be listened on
// because a child that is being started holds the socket by which the port was checked.
func TestPortIsFreeWhileProcessesAreStarted(t *testing.T) {
	// The first start of a process also forks to find out what the kernel supports, which
	// nothing can keep from happening in between.
	require.NoError(t, exec.Command("true").Run())
	stop := make(chan struct{})
	var starting sync.WaitGroup
	for range 4 {
		starting.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	for range 500 {
		address, err := Address("127.0.0.1")
		require.NoError(t, err)
		listener, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, listener.Close())
	}
	close(stop)
	starting.Wait()
}
