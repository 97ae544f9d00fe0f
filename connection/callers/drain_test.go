package callers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drainServer is a server of callers that a test shuts down.
type drainServer struct {
	t        *testing.T
	server   *http.Server
	listener *Listener
	address  string
	// closing is set when responses ask callers to close their connections.
	closing  atomic.Bool
	executed atomic.Int64
}

// slowListener accepts connections slowly, as the process does if its host is overloaded.
type slowListener struct {
	*net.TCPListener
	pause time.Duration
}

func (l *slowListener) Accept() (net.Conn, error) {
	time.Sleep(l.pause)
	return l.TCPListener.Accept()
}

func startDrainServer(t *testing.T, acceptPause time.Duration) *drainServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &drainServer{t: t, address: listener.Addr().String()}
	s.listener = NewListener(&slowListener{listener.(*net.TCPListener), acceptPause}, func() Timeouts { return Timeouts{} })
	s.server = &http.Server{ConnState: TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.executed.Add(1)
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		if strings.HasSuffix(r.URL.Path, "stream") {
			for range 10 {
				_, _ = io.WriteString(w, "data: x\n\n")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(10 * time.Millisecond)
			}
			return
		}
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})}
	go func() { _ = s.server.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// drain shuts the server down and returns a channel that is closed when no connection is left.
func (s *drainServer) drain() <-chan struct{} {
	s.closing.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if left := s.listener.Drain(ctx); left > 0 {
			s.t.Errorf("%d connections are left", left)
		}
		_ = s.server.Close()
	}()
	return done
}

func (s *drainServer) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	require.NoError(s.t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c, bufio.NewReader(c)
}

func (s *drainServer) requireResponse(in *bufio.Reader, body string) {
	s.t.Helper()
	response, err := http.ReadResponse(in, nil)
	require.NoError(s.t, err)
	got, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	require.Equal(s.t, http.StatusOK, response.StatusCode)
	require.Equal(s.t, body, string(got))
}

const getRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// TestShutdownAnswersRequestsOfQueuedConnections guards against resetting connections that the
// kernel has accepted and the process has not when the listener is closed.
func TestShutdownAnswersRequestsOfQueuedConnections(t *testing.T) {
	const count = 10
	s := startDrainServer(t, 10*time.Millisecond)
	var inputs []*bufio.Reader
	for range count {
		c, in := s.dial()
		send(t, c, getRequest)
		inputs = append(inputs, in)
	}
	done := s.drain()
	for _, in := range inputs {
		s.requireResponse(in, "done")
	}
	<-done
	_, err := net.Dial("tcp", s.address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}

// TestShutdownAnswersRequestsUnderWay guards against closing connections without a response to a
// request whose head is arriving, or that follows the response before it, when a shutdown begins.
func TestShutdownAnswersRequestsUnderWay(t *testing.T) {
	s := startDrainServer(t, 0)
	half, halfIn := s.dial()
	send(t, half, getRequest)
	s.requireResponse(halfIn, "done")
	send(t, half, getRequest[:12])
	accepted, acceptedIn := s.dial()
	stream, streamIn := s.dial()
	send(t, stream, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	done := s.drain()
	time.Sleep(60 * time.Millisecond)
	send(t, half, getRequest[12:])
	s.requireResponse(halfIn, "done")
	send(t, accepted, getRequest)
	s.requireResponse(acceptedIn, "done")
	s.requireResponse(streamIn, strings.Repeat("data: x\n\n", 10))
	send(t, stream, getRequest)
	s.requireResponse(streamIn, "done")
	<-done
}

// TestShutdownUnderLoadLosesNoRequest guards against requests without a response during a shutdown
// under load, by callers that go elsewhere a little later, as their directory answers expire.
func TestShutdownUnderLoadLosesNoRequest(t *testing.T) {
	s := startDrainServer(t, 0)
	var lost, answered atomic.Int64
	var expired atomic.Bool
	var callers sync.WaitGroup
	for range 64 {
		callers.Go(func() {
			client := http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			defer client.CloseIdleConnections()
			for !expired.Load() {
				response, err := client.Post("http://"+s.address+"/x", "text/plain", strings.NewReader("body"))
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				if err != nil {
					lost.Add(1)
					t.Log(err)
					return
				}
				answered.Add(1)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	done := s.drain()
	time.Sleep(100 * time.Millisecond)
	expired.Store(true)
	callers.Wait()
	<-done
	require.Zero(t, lost.Load())
	require.Positive(t, answered.Load())
	require.Equal(t, answered.Load(), s.executed.Load())
}

// TestShutdownClosesIdleConnections guards against a shutdown that waits for connections without
// requests, and checks that requests sent together are answered in order or not run.
func TestShutdownClosesIdleConnections(t *testing.T) {
	s := startDrainServer(t, 0)
	idle, idleIn := s.dial()
	send(t, idle, getRequest)
	s.requireResponse(idleIn, "done")
	_, unusedIn := s.dial()
	together, togetherIn := s.dial()
	started := time.Now()
	done := s.drain()
	send(t, together, strings.Repeat(getRequest, 3))
	s.requireResponse(togetherIn, "done")
	responses := int64(2)
	for ; ; responses++ {
		if response, err := http.ReadResponse(togetherIn, nil); err != nil {
			break
		} else if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
	}
	for _, in := range []*bufio.Reader{idleIn, unusedIn} {
		_, err := in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
	<-done
	require.Less(t, time.Since(started), time.Second)
	require.Equal(t, responses, s.executed.Load(), "a request ran without a response")
}

// TestResponseSurvivesUnreadRequests guards against losing the rest of a response because the
// connection is closed after it while bytes of a next request are unread, which resets it.
func TestResponseSurvivesUnreadRequests(t *testing.T) {
	const size = 8 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnState: TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	})}
	go func() {
		_ = server.Serve(NewListener(listener, func() Timeouts { return Timeouts{} }))
	}()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(c, strings.Repeat(getRequest, 2000))
	require.NoError(t, err)
	// The response fills the buffers of the connection before the caller reads it.
	time.Sleep(50 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	read := 0
	for buffer := make([]byte, 64<<10); ; {
		n, err := response.Body.Read(buffer)
		read += n
		if err != nil {
			require.ErrorIs(t, err, io.EOF, "after %d bytes", read)
			break
		}
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, size, read)
}
