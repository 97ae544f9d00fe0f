package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestResponseCutAtAnyByteIsNotWhole guards against an engine's response that reads as complete though
// the engine stopped within the head or the body, on a new or a kept connection.
func TestResponseCutAtAnyByteIsNotWhole(t *testing.T) {
	const body = "abcdefghijkl"
	head := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": r\r\n"
	for name, whole := range map[string]string{
		"length": head + "Content-Length: 12\r\n\r\n" + body,
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\nc\r\n" + body + "\r\n0\r\n\r\n",
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept %v", name, kept), func(t *testing.T) {
				t.Parallel()
				for cut := range len(whole) {
					requireCutIsNotWhole(t, whole, cut, kept)
				}
			})
		}
	}
}

func requireCutIsNotWhole(t *testing.T, whole string, cut int, kept bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		in := bufio.NewReader(c)
		if kept {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, whole)
		}
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, whole[:cut])
	}()
	client, err := NewClient("http://"+listener.Addr().String(), KindService)
	require.NoError(t, err)
	defer client.Close()
	send := func() error {
		response, err := client.Forward(t.Context(), Call{ID: "r", Method: http.MethodPost, Path: "/", Header: http.Header{}, Remaining: time.Second})
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		return err
	}
	if kept {
		require.NoError(t, send())
	}
	require.Error(t, send(), "after %d of %d bytes", cut, len(whole))
}
