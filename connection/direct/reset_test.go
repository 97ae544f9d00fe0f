package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// uploadBytes is more than the socket buffers of both ends take.
	uploadBytes = 3 << 20
	// resetRuns is how often each way to end a connection is played: its outcome must not depend on
	// the order in which the upload and the response are handled.
	resetRuns = 10
	// undelimitedHead is a head after which the body ends with the connection.
	undelimitedHead = "HTTP/1.1 200 OK\r\nX-Id: upload\r\nX-Seal: s\r\n\r\n"
)

// uploadEnds are the ways in which a target ends its connection after a response without a length, of
// which the upload is read before that or not. whole is set if the response is complete.
var uploadEnds = []struct {
	name  string
	whole bool
	end   func(c *net.TCPConn, rest io.Reader)
}{
	{"reset", false, func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }},
	{"closed unread", false, func(*net.TCPConn, io.Reader) {}},
	{"closed while it is read", false, func(_ *net.TCPConn, rest io.Reader) {
		_, _ = io.CopyN(io.Discard, rest, uploadBytes/4)
	}},
	{"closed after it was read", true, func(_ *net.TCPConn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest) }},
	{"ended before it is read", true, func(c *net.TCPConn, rest io.Reader) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, rest)
	}},
	{"ended and never read", true, func(c *net.TCPConn, _ io.Reader) {
		_ = c.CloseWrite()
		time.Sleep(unreadTime)
	}},
}

// unreadTime is how long a target that never reads the upload keeps its connection, longer than a response
// is held back.
const unreadTime = 3 * time.Second

// TestResetDuringUploadIsNotTheEnd guards against the part of a response that reads as whole, because
// the write of the upload has received the reset and the read after it finds the end of the connection.
func TestResetDuringUploadIsNotTheEnd(t *testing.T) {
	for _, test := range uploadEnds {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/after %v", test.name, pause), func(t *testing.T) {
				t.Parallel()
				body := strings.Repeat("a", 700)
				s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, undelimitedHead+body)
					time.Sleep(pause)
					test.end(c.(*net.TCPConn), r.Body)
				})
				pool := s.pool(0)
				for range resetRuns {
					got, err := upload(t, pool)
					require.Zero(t, pool.IdleCount())
					if test.whole {
						require.NoError(t, err)
						require.Equal(t, body, got)
					} else {
						require.Error(t, err, "%d of an unknown number of bytes read as a whole body", len(got))
					}
				}
			})
		}
	}
}

// upload sends a large body and returns that of the response.
func upload(t *testing.T, pool *Pool) (string, error) {
	t.Helper()
	r := request("upload")
	r.Method, r.Body, r.HasBody = http.MethodPost, make([]byte, uploadBytes), true
	response, err := pool.Do(t.Context(), r, true)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}
