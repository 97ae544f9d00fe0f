package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// cutFramings are responses to the request "cut" with the body cutBody. ends says whether the body
// ends with the connection, so that the close of it at any byte of the body looks like its end.
var cutFramings = []struct {
	name, response string
	ends           bool
}{
	{"length", "HTTP/1.1 200 OK\r\nX-Id: cut\r\nX-Seal: s\r\nContent-Length: 12\r\n\r\n" + cutBody, false},
	{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: cut\r\nX-Seal: s\r\n\r\n" + cutBody, false},
	{"length zero", "HTTP/1.1 200 OK\r\nX-Id: cut\r\nContent-Length: 0\r\nX-Seal: s\r\n\r\n", false},
	{"chunks", "HTTP/1.1 200 OK\r\nX-Id: cut\r\nTransfer-Encoding: chunked\r\nX-Seal: s\r\n\r\n8\r\nabcdefgh\r\n4\r\nijkl\r\n0\r\n\r\n", false},
	{"chunks with a trailer", "HTTP/1.1 200 OK\r\nX-Id: cut\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n" + cutBody + "\r\n0\r\nX-Sum: 1\r\n\r\n", false},
	{"bare line feeds", "HTTP/1.1 200 OK\nX-Id: cut\nContent-Length: 12\nX-Seal: s\n\n" + cutBody, false},
	{"folded header", "HTTP/1.1 200 OK\r\nX-Id: cut\r\nX-Long: a\r\n b\r\nContent-Length: 12\r\n\r\n" + cutBody, false},
	{"interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: cut\r\nContent-Length: 12\r\n\r\n" + cutBody, false},
	{"late copy before", "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nX-Id: cut\r\nContent-Length: 12\r\n\r\n" + cutBody, false},
	{"neither", "HTTP/1.1 200 OK\r\nX-Id: cut\r\nX-Seal: s\r\n\r\n" + cutBody, true},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: cut\r\nX-Seal: s\r\n\r\n" + cutBody, true},
}

const cutBody = "abcdefghijkl"

// bodyOffset returns where the body of the response begins that ends with its connection.
func bodyOffset(response string) int { return strings.Index(response, "\r\n\r\n") + len("\r\n\r\n") }

// TestResponseCutAtAnyByteIsNotWhole guards against a response that reads as complete though its
// target stopped within the head or the body, by a close or a reset, on a new or a kept connection.
func TestResponseCutAtAnyByteIsNotWhole(t *testing.T) {
	for _, framing := range cutFramings {
		for _, kept := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/kept %v/reset %v", framing.name, kept, reset), func(t *testing.T) {
					t.Parallel()
					for cut := range len(framing.response) {
						requireNotWhole(t, framing.response[:cut], framing.ends && !reset && cut >= bodyOffset(framing.response), kept, reset)
					}
				})
			}
		}
	}
}

// requireNotWhole has a target send part of a response and end its connection. mayEnd is set if
// that is the regular end of a response.
func requireNotWhole(t *testing.T, part string, mayEnd, kept, reset bool) {
	t.Helper()
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
		if kept {
			_, _, _ = readRequest(in)
			_, _ = io.WriteString(c, responseTo("before", "ok"))
		}
		_, _, _ = readRequest(in)
		_, _ = io.WriteString(c, part)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	defer s.listener.Close()
	pool := s.pool(2)
	if kept {
		response, err := pool.Do(t.Context(), request("before"), false)
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, response))
	}
	response, err := pool.Do(t.Context(), request("cut"), false)
	if err != nil {
		var failed *ExchangeError
		require.ErrorAs(t, err, &failed)
		require.True(t, failed.Sent, "the request may have run: %v", err)
		require.Zero(t, pool.IdleCount())
		return
	}
	body, err := io.ReadAll(response)
	response.Close()
	require.Zero(t, pool.IdleCount(), "after %s", strconv.Quote(part))
	if mayEnd && err == nil {
		return
	}
	require.Error(t, err, "%s read as the whole body of %s", strconv.Quote(string(body)), strconv.Quote(part))
}
