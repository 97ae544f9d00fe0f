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

// scripted is a target that answers each connection as a function says.
type scripted struct {
	listener net.Listener
	accepted atomic.Int64
}

func startScripted(t *testing.T, serve func(c net.Conn, in *bufio.Reader, number int)) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &scripted{listener: listener}
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

func (s *scripted) pool(limit int) *Pool { return NewPool(s.listener.Addr().String(), limit, nil) }

// readRequest reads a request with its body.
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
		Method: http.MethodGet, Target: "/a%2Fb?x=1", Host: "h.example",
		Header: http.Header{"X-Id": {id}}, Deadline: time.Now().Add(5 * time.Second), IDHeader: "X-Id", ID: id,
	}
}

func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func readAll(t *testing.T, answer *Answer) string {
	t.Helper()
	body, err := io.ReadAll(answer)
	require.NoError(t, err)
	answer.Close()
	return string(body)
}

func TestRequestsGoOutUnchangedOnOneConnection(t *testing.T) {
	got := make(chan *http.Request, 4)
	s := startScripted(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			r, _, err := readRequest(in)
			if err != nil {
				return
			}
			got <- r
			_, _ = io.WriteString(c, answerTo(r.Header.Get("X-Id"), "ok"))
		}
	})
	pool := s.pool(4)
	for _, id := range []string{"1", "2", "3"} {
		answer, err := pool.Do(t.Context(), request(id), false)
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, answer))
		r := <-got
		require.Equal(t, "/a%2Fb?x=1", r.RequestURI)
		require.Equal(t, "h.example", r.Host)
		require.Equal(t, id, r.Header.Get("X-Id"))
	}
	require.Equal(t, int64(1), s.accepted.Load())
	require.Equal(t, 1, pool.Idle())
}

func TestAnAnswerThatIsCutOffIsNotWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"in the body":    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf",
		"in a chunk":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		"between chunks": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startScripted(t, func(c net.Conn, in *bufio.Reader, _ int) {
				_, _, _ = readRequest(in)
				_, _ = io.WriteString(c, answer)
			})
			pool := s.pool(4)
			got, err := pool.Do(t.Context(), request("1"), false)
			require.NoError(t, err)
			_, err = io.ReadAll(got)
			require.Error(t, err)
			got.Close()
			require.Zero(t, pool.Idle())
		})
	}
}

func TestAnAnswerWithoutLengthThatIsResetIsNotWhole(t *testing.T) {
	s := startScripted(t, func(c net.Conn, in *bufio.Reader, number int) {
		_, _, _ = readRequest(in)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nbody")
		if number == 2 {
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	pool := s.pool(4)
	whole, err := pool.Do(t.Context(), request("1"), false)
	require.NoError(t, err)
	require.Equal(t, "body", readAll(t, whole))
	require.Zero(t, pool.Idle(), "a connection that ends with its answer is not kept")
	cut, err := pool.Do(t.Context(), request("1"), false)
	require.NoError(t, err)
	_, err = io.ReadAll(cut)
	require.Error(t, err)
}

func TestASecondAnswerIsNotTakenForTheNextRequests(t *testing.T) {
	s := startScripted(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			r, _, err := readRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Id")
			_, _ = io.WriteString(c, answerTo(id, "own")+answerTo(id, "dup"))
		}
	})
	pool := s.pool(4)
	for _, id := range []string{"1", "2", "3"} {
		answer, err := pool.Do(t.Context(), request(id), false)
		require.NoError(t, err)
		require.Equal(t, id, answer.Header.Get("X-Id"))
		require.Equal(t, "own", readAll(t, answer))
		time.Sleep(10 * time.Millisecond)
	}
}

func TestALateAnswerToAnEarlierRequestIsPassedOver(t *testing.T) {
	s := startScripted(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			r, _, err := readRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Id")
			if id == "2" {
				_, _ = io.WriteString(c, answerTo("1", "late"))
			}
			_, _ = io.WriteString(c, answerTo(id, "own"))
		}
	})
	pool := s.pool(4)
	for _, id := range []string{"1", "2"} {
		answer, err := pool.Do(t.Context(), request(id), false)
		require.NoError(t, err)
		require.Equal(t, "own", readAll(t, answer))
	}
	require.Equal(t, int64(1), s.accepted.Load())
}

func TestAKeptConnectionThatWasClosedIsNotUsed(t *testing.T) {
	s := startScripted(t, func(c net.Conn, in *bufio.Reader, _ int) {
		r, _, _ := readRequest(in)
		_, _ = io.WriteString(c, answerTo(r.Header.Get("X-Id"), "ok"))
	})
	pool := s.pool(4)
	for _, id := range []string{"1", "2"} {
		answer, err := pool.Do(t.Context(), request(id), false)
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, answer))
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(2), s.accepted.Load())
}

func TestNotSentIsToldFromMayHaveRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := closed.Addr().String()
	require.NoError(t, closed.Close())
	_, err = NewPool(address, 4, nil).Do(t.Context(), request("1"), false)
	var refused *SendError
	require.ErrorAs(t, err, &refused)
	require.False(t, refused.Sent)

	s := startScripted(t, func(_ net.Conn, in *bufio.Reader, _ int) { _, _, _ = readRequest(in) })
	_, err = s.pool(4).Do(t.Context(), request("1"), false)
	var unanswered *SendError
	require.ErrorAs(t, err, &unanswered)
	require.True(t, unanswered.Sent)
}

func TestTheLimitOfConnectionsHolds(t *testing.T) {
	release := make(chan struct{})
	s := startScripted(t, func(c net.Conn, in *bufio.Reader, _ int) {
		r, _, _ := readRequest(in)
		<-release
		_, _ = io.WriteString(c, answerTo(r.Header.Get("X-Id"), "ok"))
	})
	pool := s.pool(1)
	done := make(chan error, 1)
	go func() {
		answer, err := pool.Do(context.Background(), request("1"), false)
		if err == nil {
			_, err = io.ReadAll(answer)
		}
		done <- err
	}()
	require.Eventually(t, func() bool { return s.accepted.Load() == 1 }, time.Second, time.Millisecond)
	_, err := pool.Do(t.Context(), request("2"), false)
	var full *LimitError
	require.ErrorAs(t, err, &full)
	close(release)
	require.NoError(t, <-done)
}

func TestTheEndOfTheContextEndsTheExchange(t *testing.T) {
	left := make(chan error, 1)
	s := startScripted(t, func(c net.Conn, in *bufio.Reader, _ int) {
		_, _, _ = readRequest(in)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nbegun")
		_, err := in.ReadByte()
		left <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	answer, err := s.pool(4).Do(ctx, request("1"), false)
	require.NoError(t, err)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = io.ReadAll(answer)
	require.Error(t, err)
	answer.Close()
	select {
	case err := <-left:
		require.ErrorIs(t, err, syscall.ECONNRESET, "bytes on their way must not arrive")
	case <-time.After(2 * time.Second):
		t.Fatal("the target does not see that the caller has left")
	}
}

func TestAnEarlyAnswerToALongBodyLeavesTheBodyWhole(t *testing.T) {
	body := strings.Repeat("0123456789", 200_000)
	bodies := make(chan string, 4)
	s := startScripted(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answerTo(r.Header.Get("X-Id"), "ok"))
			time.Sleep(30 * time.Millisecond)
			whole, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			bodies <- string(whole)
		}
	})
	pool := s.pool(4)
	for _, id := range []string{"1", "2"} {
		long := request(id)
		long.Method, long.Body, long.HasBody = http.MethodPost, []byte(body), true
		answer, err := pool.Do(t.Context(), long, false)
		require.NoError(t, err)
		require.Equal(t, "ok", readAll(t, answer))
		select {
		case got := <-bodies:
			require.Equal(t, len(body), len(got))
		case <-time.After(5 * time.Second):
			t.Fatal("the rest of the body does not arrive")
		}
	}
}

func TestKeepAliveTimeIsKept(t *testing.T) {
	require.Equal(t, 9500*time.Millisecond, keepAliveTime(http.Header{"Keep-Alive": {"timeout=10"}}))
	require.Equal(t, defaultIdle, keepAliveTime(http.Header{}))
	require.Equal(t, defaultIdle, keepAliveTime(http.Header{"Keep-Alive": {"max=5, timeout=x"}}))
	require.Negative(t, keepAliveTime(http.Header{"Keep-Alive": {"max=5, timeout=0"}}))
}
