// Package raw is a stand-in for a server whose responses a test writes byte by byte.
package raw

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Start starts a server on a loopback address, which it returns. serve gets each connection; it is closed after
// that.
func Start(t testing.TB, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// StartOnce is Start for a server that reads one request a connection. respond gets the connection and the
// request, whose body has not been read.
func StartOnce(t testing.TB, respond func(c *net.TCPConn, r *http.Request)) (address string) {
	t.Helper()
	return Start(t, func(c *net.TCPConn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			respond(c, r)
		}
	})
}
