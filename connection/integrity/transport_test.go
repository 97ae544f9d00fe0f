package integrity

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTransportSendsOverTLS guards against requests to peers with TLS that fail, or wait at the end of their
// response, because their connection is another one than that of the socket.
func TestTransportSendsOverTLS(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/ends" {
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, "ok")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.StartTLS()
	t.Cleanup(server.Close)
	client := &http.Client{Transport: NewTransport(&http.Transport{
		DialContext:     new(net.Dialer).DialContext,
		TLSClientConfig: &tls.Config{RootCAs: server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs},
	})}
	t.Cleanup(client.CloseIdleConnections)
	started := time.Now()
	for _, path := range []string{"/", "/", "/ends"} {
		response, err := client.Post(server.URL+path, "text/plain", strings.NewReader("body"))
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		require.NoError(t, response.Body.Close())
	}
	require.Less(t, time.Since(started), resetWait)
	require.Equal(t, int64(1), connections.Load())
}
