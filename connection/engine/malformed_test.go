package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/standin/raw"
)

// ownAnswer is a sound response to the request "r".
const ownAnswer = ownHead + "Content-Length: 3\r\n\r\nown"

// malformedStatuses are responses of which one has a status that no response may have.
var malformedStatuses = map[string]string{
	"000 with a body":    "HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nown",
	"000 without a body": "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
	"000 before a 200":   "HTTP/1.1 000 X\r\n\r\n" + ownAnswer,
	"099 before a 200":   "HTTP/1.1 099 X\r\n\r\n" + ownAnswer,
	"000 after a 100":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n\r\n" + ownAnswer,
	"101 nobody asked":   "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + ownAnswer,
	"600 with a body":    "HTTP/1.1 600 X\r\nContent-Length: 3\r\n\r\nown",
	"600 without a body": "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
}

// TestMalformedStatusIsNoAnswer guards against an engine's response that is believed though its status is none,
// and against another use of its connection.
func TestMalformedStatusIsNoAnswer(t *testing.T) {
	for name, text := range malformedStatuses {
		t.Run(name, func(t *testing.T) { requireNoAnswer(t, text) })
	}
}

// malformedFields are responses of which a field is malformed, in the head or the trailer.
var malformedFields = map[string]string{
	"a blank after a length":      ownHead + "Content-Length : 4\r\nContent-Length: 3\r\n\r\nown",
	"a blank after an encoding":   ownHead + "Transfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\nown",
	"a blank, no body":            ownHead + "X Field: a\r\nContent-Length: 0\r\n\r\n",
	"a control byte in a value":   ownHead + "X: a\x01\r\nContent-Length: 3\r\n\r\nown",
	"a blank in an interim one":   "HTTP/1.1 102 Processing\r\nX Field: a\r\n\r\n" + ownAnswer,
	"a blank in a trailer":        ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nX Sum: 1\r\n\r\n",
	"a blank in a trailer alone":  ownHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX Sum: 1\r\n\r\n",
	"a control byte in a trailer": ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nX: \x01\r\n\r\n",
	"a declared trailer, a blank": ownHead + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nX Sum: 1\r\n\r\n",
	"a failure with a blank":      "HTTP/1.1 503 X\r\nX Field: a\r\nContent-Length: 0\r\n\r\n",
}

// ownHead is the head of a response up to its framing.
const ownHead = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": r\r\n"

// TestMalformedFieldIsNoAnswer guards against an engine's response that is believed although a field of its head
// or its trailer is malformed, and against another use of its connection.
func TestMalformedFieldIsNoAnswer(t *testing.T) {
	for name, text := range malformedFields {
		t.Run(name, func(t *testing.T) { requireNoAnswer(t, text) })
	}
}

// requireNoAnswer has an engine send a text in place of a response.
func requireNoAnswer(t *testing.T, text string) {
	t.Helper()
	var connections atomic.Int64
	client := startKept(t, func(c net.Conn, number int) {
		if number == 1 {
			connections.Add(1)
		}
		if connections.Load() == 1 && number == 2 {
			_, _ = io.WriteString(c, text)
			return
		}
		_, _ = io.WriteString(c, ownAnswer)
	})
	body, err := forward(t, client, nil)
	require.NoError(t, err)
	require.Equal(t, "own", body)
	_, err = forward(t, client, nil)
	require.Error(t, err)
	body, err = forward(t, client, nil)
	require.NoError(t, err)
	require.Equal(t, "own", body)
	require.Equal(t, int64(2), connections.Load(), "the connection of a malformed response was used again")
}

// TestProbeOfACutAnswerFails guards against a service that counts as alive, or as restarted, because of the head of
// an answer that is not whole.
func TestProbeOfACutAnswerFails(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + HeaderIncarnation + ": next\r\n"
	for name, text := range map[string]string{
		"length":  head + "Content-Length: 9\r\n\r\npart",
		"chunks":  head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"trailer": head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX Sum: 1\r\n\r\n",
		"field":   head + "X Field: a\r\nContent-Length: 0\r\n\r\n",
		"status":  "HTTP/1.1 000 X\r\n" + HeaderIncarnation + ": next\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := startScripted(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, text) })
			_, err := client.Probe(t.Context())
			var unreachable *UnreachableError
			require.ErrorAs(t, err, &unreachable)
		})
	}
}

// startKept returns a client of an engine that keeps its connections. respond gets a connection and the number
// of the request on it, from 1 on.
func startKept(t *testing.T, respond func(c net.Conn, number int)) *Client {
	t.Helper()
	return newTestClient(t, raw.Start(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		for number := 1; ; number++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			respond(c, number)
		}
	}))
}

// TestConnectionOfAMalformedResponseIsNeverUsedAgain guards against a request that gets the connection of a
// malformed response without a body, which net/http offers before the response has been checked.
func TestConnectionOfAMalformedResponseIsNeverUsedAgain(t *testing.T) {
	const senders, requests = 8, 100
	var usedAgain atomic.Int64
	client := startKept(t, func(c net.Conn, number int) {
		if number > 1 {
			usedAgain.Add(1)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n")
	})
	var sending sync.WaitGroup
	failures := make(chan string, senders*requests)
	for range senders {
		sending.Go(func() {
			for range requests {
				call := Call{ID: "r", Method: http.MethodGet, Path: "/", Header: http.Header{}, Remaining: time.Second}
				if response, err := client.Forward(t.Context(), call); err == nil {
					failures <- fmt.Sprint(response.StatusCode)
				}
			}
		})
	}
	sending.Wait()
	require.Empty(t, failures)
	require.Zero(t, usedAgain.Load())
}
