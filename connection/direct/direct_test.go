package direct

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedTarget is a TCP server that handles each connection with a function.
type scriptedTarget struct {
	listener net.Listener
	accepted atomic.Int64
}

// startTarget starts a target. serve gets each connection with its number, counted
// from 1.
func startTarget(t *testing.T, serve func(c net.Conn, in *bufio.Reader, number int)) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedTarget{listener: listener}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(s.accepted.Add(1))
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c), number)
			}()
		}
	}()
	return s
}

func (s *scriptedTarget) pool(limit int) *Pool {
	return NewPool(s.listener.Addr().String(), limit, nil)
}

// readRequest reads a request and its body.
func readRequest(in *bufio.Reader) (*http.Request, string, error) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodGet, RequestTarget: "/a%2Fb?x=1", Host: "h.example",
		Header: http.Header{"X-Id": {id}}, Deadline: time.Now().Add(5 * time.Second), IDHeader: "X-Id", ID: id,
	}
}

func responseTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func readAll(t *testing.T, response *Response) string {
	t.Helper()
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	response.Close()
	return string(body)
}

func TestRequestsAreSentUnchangedOnOneConnection(t *testing.T) {
	got := make(chan *http.Request, 4)
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			r, _, err := readRequest(in)
			if err != nil {
				return
			}
			got <- r
			_, _ = io.WriteString(c, responseTo(r.Header.Get("X-Id"), "ok"))
		}
	})
	pool := s.pool(4)
	for _, id := range []string{"1", "2", "3"} {
		response, err := pool.Do(t.Context(), request(id), false)
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, response))
		r := <-got
		require.Equal(t, "/a%2Fb?x=1", r.RequestURI)
		require.Equal(t, "h.example", r.Host)
		require.Equal(t, id, r.Header.Get("X-Id"))
	}
	require.Equal(t, int64(1), s.accepted.Load())
	require.Equal(t, 1, pool.IdleCount())
}

// TestExpiredConnectionsAreClosed guards against connections that stay open for good, because each request is
// sent over a new one and none is taken from the pool.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
		r, _, err := readRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, responseTo(r.Header.Get("X-Id"), "ok"))
		_, _ = io.Copy(io.Discard, in)
	})
	pool := s.pool(0)
	send := func(id string) {
		response, err := pool.Do(t.Context(), request(id), true)
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, response))
	}
	for id := range 5 {
		send(strconv.Itoa(id))
	}
	require.Equal(t, 5, pool.IdleCount())
	for _, c := range pool.idle[:4] {
		c.expires = time.Now()
	}
	expired := pool.idle[0]
	send("6")
	require.Equal(t, 2, pool.IdleCount())
	require.Equal(t, 2, pool.open)
	_, err := expired.Write([]byte("x"))
	require.ErrorIs(t, err, net.ErrClosed)
}

func TestTruncatedResponseFails(t *testing.T) {
	for name, truncated := range map[string]string{
		"in the body":    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf",
		"in a chunk":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		"between chunks": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
				_, _, _ = readRequest(in)
				_, _ = io.WriteString(c, truncated)
			})
			pool := s.pool(4)
			response, err := pool.Do(t.Context(), request("1"), false)
			require.NoError(t, err)
			_, err = io.ReadAll(response)
			require.Error(t, err)
			response.Close()
			require.Zero(t, pool.IdleCount())
		})
	}
}

// TestResetOfResponseWithoutLengthFails guards against taking a connection reset for
// the end of a response that is delimited only by the close of its connection.
func TestResetOfResponseWithoutLengthFails(t *testing.T) {
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, number int) {
		_, _, _ = readRequest(in)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nbody")
		if number == 2 {
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	pool := s.pool(4)
	complete, err := pool.Do(t.Context(), request("1"), false)
	require.NoError(t, err)
	require.Equal(t, "body", readAll(t, complete))
	require.Zero(t, pool.IdleCount(), "a connection that delimits its response by closing must not be reused")
	truncated, err := pool.Do(t.Context(), request("1"), false)
	require.NoError(t, err)
	_, err = io.ReadAll(truncated)
	require.Error(t, err)
}

// TestDuplicateResponseIsNotUsedForNextRequest guards against taking the duplicate of
// a response for the response to the next request. The target responds to each request
// twice, so the second response is left unread on the connection.
func TestDuplicateResponseIsNotUsedForNextRequest(t *testing.T) {
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			r, _, err := readRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Id")
			_, _ = io.WriteString(c, responseTo(id, "own")+responseTo(id, "dup"))
		}
	})
	pool := s.pool(4)
	for _, id := range []string{"1", "2", "3"} {
		response, err := pool.Do(t.Context(), request(id), false)
		require.NoError(t, err)
		require.Equal(t, id, response.Header.Get("X-Id"))
		require.Equal(t, "own", readAll(t, response))
		time.Sleep(10 * time.Millisecond)
	}
}

func TestLateResponseToEarlierRequestIsSkipped(t *testing.T) {
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			r, _, err := readRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Id")
			if id == "2" {
				_, _ = io.WriteString(c, responseTo("1", "late"))
			}
			_, _ = io.WriteString(c, responseTo(id, "own"))
		}
	})
	pool := s.pool(4)
	for _, id := range []string{"1", "2"} {
		response, err := pool.Do(t.Context(), request(id), false)
		require.NoError(t, err)
		require.Equal(t, "own", readAll(t, response))
	}
	require.Equal(t, int64(1), s.accepted.Load())
}

func TestIdleConnectionClosedByTargetIsNotReused(t *testing.T) {
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
		r, _, _ := readRequest(in)
		_, _ = io.WriteString(c, responseTo(r.Header.Get("X-Id"), "ok"))
	})
	pool := s.pool(4)
	for _, id := range []string{"1", "2"} {
		response, err := pool.Do(t.Context(), request(id), false)
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, response))
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(2), s.accepted.Load())
}

func TestExchangeErrorReportsWhetherRequestWasSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := closed.Addr().String()
	require.NoError(t, closed.Close())
	_, err = NewPool(address, 4, nil).Do(t.Context(), request("1"), false)
	var unsent *ExchangeError
	require.ErrorAs(t, err, &unsent)
	require.False(t, unsent.Sent)

	s := startTarget(t, func(_ net.Conn, in *bufio.Reader, _ int) { _, _, _ = readRequest(in) })
	_, err = s.pool(4).Do(t.Context(), request("1"), false)
	var unanswered *ExchangeError
	require.ErrorAs(t, err, &unanswered)
	require.True(t, unanswered.Sent)
}

func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
		r, _, _ := readRequest(in)
		<-release
		_, _ = io.WriteString(c, responseTo(r.Header.Get("X-Id"), "ok"))
	})
	pool := s.pool(1)
	done := make(chan error, 1)
	go func() {
		response, err := pool.Do(context.Background(), request("1"), false)
		if err == nil {
			_, err = io.ReadAll(response)
		}
		done <- err
	}()
	require.Eventually(t, func() bool { return s.accepted.Load() == 1 }, time.Second, time.Millisecond)
	_, err := pool.Do(t.Context(), request("2"), false)
	var limited *ConnectionLimitError
	require.ErrorAs(t, err, &limited)
	close(release)
	require.NoError(t, <-done)
}

func TestContextEndResetsConnection(t *testing.T) {
	readErrs := make(chan error, 1)
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
		_, _, _ = readRequest(in)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nbegun")
		_, err := in.ReadByte()
		readErrs <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	response, err := s.pool(4).Do(ctx, request("1"), false)
	require.NoError(t, err)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = io.ReadAll(response)
	require.Error(t, err)
	response.Close()
	select {
	case err := <-readErrs:
		require.ErrorIs(t, err, syscall.ECONNRESET, "bytes in transit must not be delivered")
	case <-time.After(2 * time.Second):
		t.Fatal("the target did not see the connection end after the context was cancelled")
	}
}

// TestEarlyResponseDoesNotTruncateBody guards against closing or reusing a connection
// while the rest of a large request body is still being written: the target responds
// before it reads the body.
func TestEarlyResponseDoesNotTruncateBody(t *testing.T) {
	body := strings.Repeat("0123456789", 200_000)
	bodies := make(chan string, 4)
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, responseTo(r.Header.Get("X-Id"), "ok"))
			time.Sleep(30 * time.Millisecond)
			received, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			bodies <- string(received)
		}
	})
	pool := s.pool(4)
	for _, id := range []string{"1", "2"} {
		post := request(id)
		post.Method, post.Body, post.HasBody = http.MethodPost, []byte(body), true
		response, err := pool.Do(t.Context(), post, false)
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, response))
		select {
		case got := <-bodies:
			require.Equal(t, len(body), len(got))
		case <-time.After(5 * time.Second):
			t.Fatal("the target did not receive the rest of the body")
		}
	}
}

func TestIdleTimeoutFromKeepAliveHeader(t *testing.T) {
	require.Equal(t, 9500*time.Millisecond, idleTimeout(http.Header{"Keep-Alive": {"timeout=10"}}))
	require.Equal(t, defaultIdleTimeout, idleTimeout(http.Header{}))
	require.Equal(t, defaultIdleTimeout, idleTimeout(http.Header{"Keep-Alive": {"max=5, timeout=x"}}))
	require.Negative(t, idleTimeout(http.Header{"Keep-Alive": {"max=5, timeout=0"}}))
}
