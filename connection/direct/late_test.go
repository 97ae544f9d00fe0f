package direct

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortDeadline is the time limit of requests that may be left without a response.
const shortDeadline = 300 * time.Millisecond

// lateCopies are second copies of the response to request 1, with the text "late" as the body.
var lateCopies = map[string]struct {
	text string
	// own is set if the response to the next request is still found.
	own bool
}{
	"with a length":          {responseTo("1", "late"), true},
	"with chunks":            {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n", true},
	"without a length":       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nlate", false},
	"of no ID, a length":     {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", false},
	"of no ID, chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n", false},
	"of no ID, no length":    {"HTTP/1.1 200 OK\r\n\r\nlate", false},
	"of no ID, a refusal":    {"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 4\r\n\r\nlate", false},
	"of no ID, a time-out":   {"HTTP/1.1 408 Request Timeout\r\nContent-Length: 4\r\n\r\nlate", false},
	"after an interim one":   {"HTTP/1.1 102 Processing\r\n\r\n" + responseTo("1", "late"), true},
	"cut off after its head": {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\n", false},
}

// TestLateCopyIsNotTheResponseToTheNextRequest guards against a caller that gets the response to
// another caller's request: the target sends a second copy of a response after the connection
// was found idle and used for the next request.
func TestLateCopyIsNotTheResponseToTheNextRequest(t *testing.T) {
	for name, late := range lateCopies {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
				for {
					r, _, err := readRequest(in)
					if err != nil {
						return
					}
					id := r.Header.Get("X-Id")
					if id == "2" {
						_, _ = io.WriteString(c, late.text)
					}
					_, _ = io.WriteString(c, responseTo(id, "own"+id))
				}
			})
			pool := s.pool(4)
			response, err := pool.Do(t.Context(), request("1"), false)
			require.NoError(t, err)
			require.Equal(t, "own1", readAll(t, response))
			second := request("2")
			second.Deadline = time.Now().Add(shortDeadline)
			response, err = pool.Do(t.Context(), second, false)
			if err == nil {
				require.Equal(t, http.StatusOK, response.Status)
				require.Equal(t, "own2", readAll(t, response))
				require.True(t, late.own)
				return
			}
			require.False(t, late.own, "%v", err)
			var exchange *ExchangeError
			require.ErrorAs(t, err, &exchange)
			require.True(t, exchange.Sent, "the request may have run")
			require.Zero(t, pool.IdleCount())
		})
	}
}

// TestHeadIsNotAnsweredByALateResponse guards against taking the body of a late response for a
// response of its own: a response to HEAD has the length of a body that does not follow.
func TestHeadIsNotAnsweredByALateResponse(t *testing.T) {
	for name, methods := range map[string][2]string{
		"GET then HEAD": {http.MethodGet, http.MethodHead},
		"HEAD then GET": {http.MethodHead, http.MethodGet},
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
				for {
					r, _, err := readRequest(in)
					if err != nil {
						return
					}
					id := r.Header.Get("X-Id")
					// The body of the late response reads as a response to request 2.
					body := responseTo("2", "other")
					if id == "2" && methods[0] == http.MethodGet {
						_, _ = io.WriteString(c, responseTo("1", body))
					} else if id == "2" {
						_, _ = io.WriteString(c, strings.TrimSuffix(responseTo("1", body), body))
					}
					text := responseTo(id, "own"+id)
					if r.Method == http.MethodHead {
						text = strings.TrimSuffix(text, "own"+id)
					}
					_, _ = io.WriteString(c, text)
				}
			})
			pool := s.pool(4)
			for i, method := range methods {
				id := []string{"1", "2"}[i]
				sent := request(id)
				sent.Method, sent.Deadline = method, time.Now().Add(shortDeadline)
				response, err := pool.Do(t.Context(), sent, false)
				if err != nil {
					require.Equal(t, "2", id)
					return
				}
				require.Equal(t, int64(len("own1")), response.Length)
				body, err := io.ReadAll(response)
				if err == nil && method == http.MethodGet {
					require.Equal(t, "own"+id, string(body))
				}
				response.Close()
			}
		})
	}
}

// TestResponseWithoutIDEndsItsConnection guards against reusing a connection whose late responses
// could not be told from those to the next requests.
func TestResponseWithoutIDEndsItsConnection(t *testing.T) {
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			if _, _, err := readRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
		}
	})
	pool := s.pool(4)
	for _, id := range []string{"1", "2"} {
		response, err := pool.Do(t.Context(), request(id), false)
		require.NoError(t, err)
		require.Equal(t, "own", readAll(t, response))
		require.Zero(t, pool.IdleCount())
	}
	require.Equal(t, int64(2), s.accepted.Load())
}

// TestRequestThatMeetsTheCloseOfItsConnectionMayHaveRun guards against stating that a request was
// not sent that a target received before it closed or reset the connection.
func TestRequestThatMeetsTheCloseOfItsConnectionMayHaveRun(t *testing.T) {
	large := strings.Repeat("x", 4<<20)
	for name, test := range map[string]struct {
		body  string
		reset bool
	}{
		"close, small":        {"x", false},
		"reset, small":        {"x", true},
		"close, while sent":   {large, false},
		"reset, while sent":   {large, true},
		"reset, without body": {"", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
				r, _, err := readRequest(in)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, responseTo(r.Header.Get("X-Id"), "own"))
				// The first bytes of the next request have arrived.
				if _, err := in.ReadByte(); err == nil && test.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			pool := s.pool(4)
			response, err := pool.Do(t.Context(), request("1"), false)
			require.NoError(t, err)
			require.Equal(t, "own", readAll(t, response))
			second := request("2")
			second.Method, second.Body, second.HasBody = http.MethodPost, []byte(test.body), true
			_, err = pool.Do(t.Context(), second, false)
			var exchange *ExchangeError
			require.True(t, errors.As(err, &exchange), "%v", err)
			require.True(t, exchange.Sent)
			require.Equal(t, int64(1), s.accepted.Load(), "the request must not be sent again")
		})
	}
}

// TestLateRefusalOfAnEarlierRequestWithTheSameID guards against a caller that is told that its request
// has not run, although it runs: the target has refused an earlier request with the same ID, and sends that
// refusal once more on the connection.
func TestLateRefusalOfAnEarlierRequestWithTheSameID(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, number int) {
		for {
			if _, _, err := readRequest(in); err != nil {
				return
			}
			if number == 1 {
				// The request that follows the refused one runs, and its response takes time.
				_, _ = io.WriteString(c, refusal)
				continue
			}
			_, _ = io.WriteString(c, responseTo("1", "own"))
		}
	})
	pool := s.pool(4)
	response, err := pool.Do(t.Context(), request("1"), false)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.Status)
	require.Empty(t, readAll(t, response))
	require.Equal(t, 1, pool.IdleCount())
	response, err = pool.Do(t.Context(), request("1"), false)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.Status)
	require.Equal(t, "own", readAll(t, response))
}
