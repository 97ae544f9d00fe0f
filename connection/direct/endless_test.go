package direct

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndlessBytesEndTheExchange guards against a target whose bytes are no response and never
// end: they would fill the memory of this process, or keep it busy until the caller's deadline.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	line := strings.Repeat("x", 1000)
	for name, sent := range map[string]struct{ start, repeated string }{
		"bytes that are no head":           {"", line},
		"a head of many fields":            {"HTTP/1.1 200 OK\r\n", "X-Field: " + line + "\r\n"},
		"a head with a long field":         {"HTTP/1.1 200 OK\r\nX-Field: ", line},
		"interim responses":                {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"a late response with a long body": {"HTTP/1.1 200 OK\r\nX-Id: earlier\r\nContent-Length: 1000000000000\r\n\r\n", line},
		"a late response with chunks":      {"HTTP/1.1 200 OK\r\nX-Id: earlier\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			closed := make(chan struct{})
			target := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
				defer close(closed)
				if _, _, err := readRequest(in); err != nil {
					return
				}
				for text := sent.start; ; text = sent.repeated {
					n, err := io.WriteString(c, text)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			started := time.Now()
			_, err := target.pool(1).Do(t.Context(), request("a"), false)
			var failed *ExchangeError
			require.True(t, errors.As(err, &failed), "%v", err)
			require.True(t, failed.Sent)
			require.Less(t, time.Since(started), time.Second)
			<-closed
			require.Less(t, written.Load(), int64(16<<20))
		})
	}
}
