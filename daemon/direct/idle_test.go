package direct

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleConnectionsAreClosedAfterTheLimitInForce(t *testing.T) {
	var limit atomic.Int64
	limit.Store(int64(time.Hour))
	idle := newIdleConnections(func() time.Duration { return time.Duration(limit.Load()) })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = idle.note
	server.Start()
	defer server.Close()

	c, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	ask := func() {
		t.Helper()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		answer := make([]byte, 4096)
		n, err := c.Read(answer)
		require.NoError(t, err)
		require.Contains(t, string(answer[:n]), "200 OK")
	}
	ask()
	time.Sleep(100 * time.Millisecond)
	ask()
	limit.Store(int64(200 * time.Millisecond))
	ask()
	started := time.Now()
	require.NoError(t, c.SetReadDeadline(started.Add(5*time.Second)))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.GreaterOrEqual(t, time.Since(started), 150*time.Millisecond)
}
