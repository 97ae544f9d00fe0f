package direct

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// malformedStatuses are responses to the request "own" of which one has a status that no response may have. The
// last one would be delivered without it.
var malformedStatuses = map[string]string{
	"000":                 statusText("000 X") + "X-Id: own\r\nContent-Length: 3\r\n\r\nown",
	"000 without a head":  statusText("000 X") + "\r\n" + responseTo("own", "own"),
	"000 of an ID":        statusText("000 X") + "X-Id: own\r\n\r\n" + responseTo("own", "own"),
	"099 before a 200":    statusText("099 X") + "\r\n" + responseTo("own", "own"),
	"001 before a 200":    statusText("001 X") + "\r\n" + responseTo("own", "own"),
	"+20 before a 200":    statusText("+20 X") + "\r\n" + responseTo("own", "own"),
	"000 after a 100":     statusText("100 Continue") + "\r\n" + statusText("000 X") + "\r\n" + responseTo("own", "own"),
	"000 before a 100":    statusText("000 X") + "\r\n" + statusText("100 Continue") + "\r\n" + responseTo("own", "own"),
	"101 nobody asked":    statusText("101 Switching Protocols") + "Upgrade: x\r\n\r\n" + responseTo("own", "own"),
	"600":                 statusText("600 X") + "X-Id: own\r\nContent-Length: 3\r\n\r\nown",
	"999":                 statusText("999 X") + "X-Id: own\r\nContent-Length: 3\r\n\r\nown",
	"000 as a late one":   statusText("000 X") + "X-Id: before\r\nContent-Length: 4\r\n\r\nlate" + responseTo("own", "own"),
	"600 as a late one":   statusText("600 X") + "X-Id: before\r\nContent-Length: 4\r\n\r\nlate" + responseTo("own", "own"),
	"000 ending its body": statusText("000 X") + "X-Id: own\r\n\r\nown",
}

// malformedFields are heads and trailers of responses to the request "own", of which one field is malformed.
// The rest is a sound response.
var malformedFields = map[string]string{
	"a blank after a length":      ownHead + "Content-Length : 4\r\n\r\nown",
	"a blank after an encoding":   ownHead + "Transfer-Encoding : chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n",
	"a blank after a name":        ownHead + "X-Field : a\r\nContent-Length: 3\r\n\r\nown",
	"a blank within a name":       ownHead + "X Field: a\r\nContent-Length: 3\r\n\r\nown",
	"a tab within a name":         ownHead + "X\tField: a\r\nContent-Length: 3\r\n\r\nown",
	"a control byte in a name":    ownHead + "X\x01: a\r\nContent-Length: 3\r\n\r\nown",
	"a NUL in a name":             ownHead + "X\x00: a\r\nContent-Length: 3\r\n\r\nown",
	"a DEL in a name":             ownHead + "X\x7f: a\r\nContent-Length: 3\r\n\r\nown",
	"a byte over 0x7f in a name":  ownHead + "X\xe9: a\r\nContent-Length: 3\r\n\r\nown",
	"an empty name":               ownHead + ": a\r\nContent-Length: 3\r\n\r\nown",
	"a parenthesis in a name":     ownHead + "X(: a\r\nContent-Length: 3\r\n\r\nown",
	"a control byte in a value":   ownHead + "X: a\x01\r\nContent-Length: 3\r\n\r\nown",
	"a NUL in a value":            ownHead + "X: \x00\r\nContent-Length: 3\r\n\r\nown",
	"a carriage return":           ownHead + "X: a\rb\r\nContent-Length: 3\r\n\r\nown",
	"a blank in an interim one":   statusText("102 Processing") + "X Field: a\r\n\r\n" + responseTo("own", "own"),
	"a blank in a late one":       statusText("200 OK") + "X-Id: before\r\nX Field: a\r\nContent-Length: 4\r\n\r\nlate" + responseTo("own", "own"),
	"a blank in a late trailer":   statusText("200 OK") + "X-Id: before\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Sum: 1\r\n\r\n" + responseTo("own", "own"),
	"a blank in a trailer":        ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nX Sum: 1\r\n\r\n",
	"a control byte in a trailer": ownHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nX: \x01\r\n\r\n",
}

// ownHead is the head of a response up to its framing.
const ownHead = "HTTP/1.1 200 OK\r\nX-Id: own\r\n"

// TestMalformedFieldIsNoAnswer guards against a response that is believed although a field of its head or its
// trailer is malformed, so that the length or the encoding of its body may be others than read.
func TestMalformedFieldIsNoAnswer(t *testing.T) {
	for name, text := range malformedFields {
		t.Run(name, func(t *testing.T) { requireNoAnswer(t, text) })
	}
}

// TestUnusualFieldsAreBelieved guards against sound responses that are rejected.
func TestUnusualFieldsAreBelieved(t *testing.T) {
	for name, text := range map[string]string{
		"tabs and bytes over 0x7f in values": ownHead + "X: a\tb\xe9\r\nContent-Length: 3\r\n\r\nown",
		"an empty value":                     ownHead + "X:\r\nContent-Length: 3\r\n\r\nown",
		"blanks around a value":              ownHead + "X:  \ta \t\r\nContent-Length: 3\r\n\r\nown",
		"all characters of names":            ownHead + "!#$%&'*+-.^_`|~09azAZ: a\r\nContent-Length: 3\r\n\r\nown",
		"a trailer":                          ownHead + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
				_, _, _ = readRequest(in)
				_, _ = io.WriteString(c, text)
			})
			response, err := s.pool(1).Do(t.Context(), request("own"), false)
			require.NoError(t, err)
			require.Equal(t, "own", readAll(t, response))
		})
	}
}

func statusText(status string) string { return "HTTP/1.1 " + status + "\r\n" }

// TestMalformedStatusIsNoAnswer guards against a response that is believed though its status is none, or
// that is skipped as an interim one, so that what follows it is believed.
func TestMalformedStatusIsNoAnswer(t *testing.T) {
	for name, text := range malformedStatuses {
		t.Run(name, func(t *testing.T) { requireNoAnswer(t, text) })
	}
}

// requireNoAnswer has a target send a text in place of the response to its second request. Nothing in it
// may be believed, and its connection may not be used again.
func requireNoAnswer(t *testing.T, text string) {
	t.Helper()
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			r, _, err := readRequest(in)
			if err != nil {
				return
			}
			if id := r.Header.Get("X-Id"); id != "own" {
				_, _ = io.WriteString(c, responseTo(id, "ok"))
				continue
			}
			_, _ = io.WriteString(c, text)
			_ = c.(*net.TCPConn).CloseWrite()
		}
	})
	pool := s.pool(2)
	response, err := pool.Do(t.Context(), request("before"), false)
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, response))
	sent := request("own")
	var believed []int
	sent.OnLate = func(status int, _ http.Header) { believed = append(believed, status) }
	response, err = pool.Do(t.Context(), sent, false)
	if err == nil {
		_, err = io.ReadAll(response)
		response.Close()
	} else {
		require.Empty(t, believed)
	}
	require.Error(t, err)
	var failed *ExchangeError
	if response == nil {
		require.ErrorAs(t, err, &failed)
		require.True(t, failed.Sent, "the request may have run")
	}
	require.Zero(t, pool.IdleCount())
}
