package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/standin/raw"
)

const (
	// uploadBytes is more than the socket buffers of both ends take.
	uploadBytes = 3 << 20
	// resetRuns is how often each way to end a connection is played: its outcome must not depend on
	// the order in which the upload and the response are handled.
	resetRuns = 20
	// forwardTimeout is the time of one request.
	forwardTimeout = 5 * time.Second
)

// TestResetDuringUploadIsNotTheEnd guards against the part of an engine's response that reads as whole,
// because the write of the upload has received the reset and the read finds the end of the connection.
func TestResetDuringUploadIsNotTheEnd(t *testing.T) {
	body := strings.Repeat("a", 700)
	for name, test := range map[string]struct {
		whole bool
		end   func(c *net.TCPConn, rest io.Reader)
	}{
		"reset":                   {false, func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }},
		"closed unread":           {false, func(*net.TCPConn, io.Reader) {}},
		"closed after it is read": {true, func(_ *net.TCPConn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest) }},
		"ended before it is read": {true, func(c *net.TCPConn, rest io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := startScripted(t, func(c *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+HeaderRequestID+": r\r\n\r\n"+body)
				test.end(c, r.Body)
			})
			for range resetRuns {
				got, err := forward(t, client, make([]byte, uploadBytes))
				if test.whole {
					require.NoError(t, err)
					require.Equal(t, body, got)
				} else {
					require.Error(t, err, "%d of an unknown number of bytes read as a whole body", len(got))
				}
			}
		})
	}
}

// startScripted returns a client of an engine that serves one request a connection, of which respond gets
// the head.
func startScripted(t *testing.T, respond func(c *net.TCPConn, r *http.Request)) *Client {
	t.Helper()
	return newTestClient(t, raw.StartOnce(t, respond))
}

// newTestClient returns a client of the engine at an address.
func newTestClient(t *testing.T, address string) *Client {
	t.Helper()
	client, err := NewClient("http://"+address, KindService)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

// forward sends a request and returns the body of its response.
func forward(t *testing.T, client *Client, upload []byte) (string, error) {
	t.Helper()
	call := Call{ID: "r", Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: upload, Remaining: time.Second}
	ctx, cancel := context.WithTimeout(t.Context(), forwardTimeout)
	defer cancel()
	response, err := client.Forward(ctx, call)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
