package link

import (
	"bufio"
	"io"
	"net"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/standin/raw"
)

// TestMalformedHandshakeOpensNoLink guards against a link to a process whose handshake response has a field with
// a malformed name, as if that had not been sent.
func TestMalformedHandshakeOpensNoLink(t *testing.T) {
	for _, field := range []string{"X Field: a", "Sec-WebSocket-Protocol : x", "X\tField: a", "X\x01: a"} {
		t.Run(field, func(t *testing.T) {
			server := httptest.NewServer(NewAcceptor(testConfig("agent", newEchoHandler())))
			t.Cleanup(server.Close)
			l, err := Dial(t.Context(), addToHead(t, server.Listener.Addr().String(), field+"\r\n"), testConfig("entry", nil))
			if err == nil {
				l.fail(ErrClosed)
			}
			var failed *TransportError
			require.ErrorAs(t, err, &failed)
		})
	}
	t.Run("none", func(t *testing.T) {
		server := httptest.NewServer(NewAcceptor(testConfig("agent", newEchoHandler())))
		t.Cleanup(server.Close)
		l, err := Dial(t.Context(), addToHead(t, server.Listener.Addr().String(), ""), testConfig("entry", nil))
		require.NoError(t, err)
		l.fail(ErrClosed)
	})
}

// addToHead returns the address of a server that passes on connections to another address, and adds a line to the
// head of the response.
func addToHead(t *testing.T, address, line string) string {
	t.Helper()
	return raw.Start(t, func(c *net.TCPConn) {
		to, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		defer to.Close()
		go func() { _, _ = io.Copy(to, c) }()
		response := bufio.NewReader(to)
		status, err := response.ReadString('\n')
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, status+line)
		_, _ = io.Copy(c, response)
	})
}
