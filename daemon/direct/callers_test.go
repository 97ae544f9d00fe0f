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

// callerServer serves with limits that the test sets.
type callerServer struct {
	idle, header atomic.Int64
	server       *httptest.Server
}

func startCallerServer(t *testing.T, idle, header time.Duration) *callerServer {
	s := &callerServer{}
	s.idle.Store(int64(idle))
	s.header.Store(int64(header))
	s.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	s.server.Listener = &callerListener{s.server.Listener, func() callerLimits {
		return callerLimits{Idle: time.Duration(s.idle.Load()), Header: time.Duration(s.header.Load())}
	}}
	s.server.Config.ConnState = noteCaller
	s.server.Start()
	t.Cleanup(s.server.Close)
	return s
}

func (s *callerServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func say(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func hear(t *testing.T, c net.Conn) {
	t.Helper()
	answer := make([]byte, 4096)
	n, err := c.Read(answer)
	require.NoError(t, err)
	require.Contains(t, string(answer[:n]), "200 OK")
}

// closedWithin tells that the connection is closed, not before the least time.
func closedWithin(t *testing.T, c net.Conn, least time.Duration) {
	t.Helper()
	started := time.Now()
	require.NoError(t, c.SetReadDeadline(started.Add(5*time.Second)))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.GreaterOrEqual(t, time.Since(started), least)
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func TestIdleConnectionsAreClosedAfterTheLimitInForce(t *testing.T) {
	s := startCallerServer(t, time.Hour, time.Hour)
	c := s.dial(t)
	say(t, c, wholeRequest)
	hear(t, c)
	time.Sleep(100 * time.Millisecond)
	say(t, c, wholeRequest)
	hear(t, c)
	s.idle.Store(int64(200 * time.Millisecond))
	say(t, c, wholeRequest)
	hear(t, c)
	closedWithin(t, c, 150*time.Millisecond)
}

func TestSlowHeadersAreCutOffAfterTheLimitInForce(t *testing.T) {
	s := startCallerServer(t, time.Hour, 200*time.Millisecond)
	fresh := s.dial(t)
	time.Sleep(250 * time.Millisecond)
	say(t, fresh, wholeRequest)
	hear(t, fresh)
	time.Sleep(250 * time.Millisecond)
	say(t, fresh, "GET / HTTP/1.1\r\nHost: h\r\n")
	closedWithin(t, fresh, 150*time.Millisecond)
}

func TestASlowBodyIsNotTakenForSlowHeaders(t *testing.T) {
	s := startCallerServer(t, 100*time.Millisecond, 100*time.Millisecond)
	c := s.dial(t)
	say(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
	time.Sleep(300 * time.Millisecond)
	say(t, c, "body")
	hear(t, c)
}
