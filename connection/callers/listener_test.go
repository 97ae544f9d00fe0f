package callers

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

// callerServer is an echo server with timeouts that the test sets.
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
	s.server.Listener = NewListener(s.server.Listener, func() Timeouts {
		return Timeouts{Idle: time.Duration(s.idle.Load()), Header: time.Duration(s.header.Load())}
	})
	s.server.Config.ConnState = TrackState
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

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func requireOK(t *testing.T, c net.Conn) {
	t.Helper()
	response := make([]byte, 4096)
	n, err := c.Read(response)
	require.NoError(t, err)
	require.Contains(t, string(response[:n]), "200 OK")
}

// requireClosed checks that the connection is closed within 5 s, but not before
// earliest has passed.
func requireClosed(t *testing.T, c net.Conn, earliest time.Duration) {
	t.Helper()
	started := time.Now()
	require.NoError(t, c.SetReadDeadline(started.Add(5*time.Second)))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.GreaterOrEqual(t, time.Since(started), earliest)
}

const completeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func TestIdleConnectionIsClosedAfterTimeoutInForce(t *testing.T) {
	s := startCallerServer(t, time.Hour, time.Hour)
	c := s.dial(t)
	send(t, c, completeRequest)
	requireOK(t, c)
	time.Sleep(100 * time.Millisecond)
	send(t, c, completeRequest)
	requireOK(t, c)
	s.idle.Store(int64(200 * time.Millisecond))
	send(t, c, completeRequest)
	requireOK(t, c)
	requireClosed(t, c, 150*time.Millisecond)
}

func TestConnectionWithSlowHeadersIsClosedAfterTimeoutInForce(t *testing.T) {
	s := startCallerServer(t, time.Hour, 200*time.Millisecond)
	c := s.dial(t)
	time.Sleep(250 * time.Millisecond)
	send(t, c, completeRequest)
	requireOK(t, c)
	time.Sleep(250 * time.Millisecond)
	send(t, c, "GET / HTTP/1.1\r\nHost: h\r\n")
	requireClosed(t, c, 150*time.Millisecond)
}

func TestHeaderTimeoutDoesNotApplyToBody(t *testing.T) {
	s := startCallerServer(t, 100*time.Millisecond, 100*time.Millisecond)
	c := s.dial(t)
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
	time.Sleep(300 * time.Millisecond)
	send(t, c, "body")
	requireOK(t, c)
}
