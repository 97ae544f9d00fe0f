package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateCopyOfAResponseIsNotPassedOn guards against a caller that gets the response to an earlier
// request, such as a refusal, because the engine has sent it once more on the connection.
func TestLateCopyOfAResponseIsNotPassedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerTwice(c)
		}
	}()
	client, err := NewClient("http://"+listener.Addr().String(), KindService)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	for n := range 6 {
		id := "r" + strconv.Itoa(n)
		response, err := client.Forward(t.Context(), Call{ID: id, Method: http.MethodPost, Path: "/", Body: []byte(id), Remaining: time.Second})
		if err != nil {
			var foreign *ForeignResponseError
			require.ErrorAs(t, err, &foreign)
			continue
		}
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, id, string(body))
	}
}

// answerTwice serves a connection. Before each response it sends the one before once more.
func answerTwice(c net.Conn) {
	defer c.Close()
	in, last := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		text := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": " + r.Header.Get(HeaderRequestID) + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body)
		_, _ = io.WriteString(c, last+text)
		last = text
	}
}
