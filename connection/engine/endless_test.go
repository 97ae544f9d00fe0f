package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/version/expertmap"
)

// TestControlResponsesWithoutEndAreErrors guards against an engine whose responses have no end, which use up
// the memory of its agent.
func TestControlResponsesWithoutEndAreErrors(t *testing.T) {
	// The kernel's buffers count too.
	const mostWritten = 3 * maxControlBytes
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	text := strings.Repeat("e", 1000)
	forms := map[string]struct{ start, piece string }{
		"stated length":         {head + "Content-Length: 1000000000000\r\n\r\n\"", text},
		"chunks":                {head + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + text + "\r\n"},
		"ended by a connection": {head + "Connection: close\r\n\r\n\"", text},
		"interim responses":     {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"one long field":        {head + "X-Field: ", text},
		"a failure":             {"HTTP/1.1 500 Error\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n\"", text},
	}
	readers := map[string]func(context.Context, *Client) error{
		"probe": func(ctx context.Context, c *Client) error {
			_, err := c.Probe(ctx)
			return err
		},
		"expert map": func(ctx context.Context, c *Client) error {
			_, err := c.ReadMap(ctx, expertmap.MapID{})
			return err
		},
		"expert load": func(ctx context.Context, c *Client) error {
			_, err := c.ReadExpertLoad(ctx)
			return err
		},
		"state": func(_ context.Context, c *Client) error {
			_, err := NewRankClient(c).State()
			return err
		},
	}
	for form, sent := range forms {
		for reader, read := range readers {
			t.Run(reader+"/"+form, func(t *testing.T) {
				var written atomic.Int64
				ended := make(chan struct{})
				address := serveEndless(t, sent.start, sent.piece, &written, ended)
				client, err := NewClient("http://"+address, KindModel)
				require.NoError(t, err)
				defer client.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				require.Error(t, read(ctx, client))
				<-ended
				require.Less(t, written.Load(), int64(mostWritten))
			})
		}
	}
}

// serveEndless answers one request with start and then piece again and again, until the connection is closed,
// and counts the bytes.
func serveEndless(t *testing.T, start, piece string, written *atomic.Int64, ended chan<- struct{}) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		defer close(ended)
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for text := start + piece; err == nil; text = piece {
			var n int
			n, err = io.WriteString(c, text)
			written.Add(int64(n))
		}
	}()
	return listener.Addr().String()
}
