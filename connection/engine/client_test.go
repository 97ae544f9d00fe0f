package engine

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/standin/late"
)

// TestLateCopyOfAResponseIsNotPassedOn guards against a caller that gets the response to an earlier
// request, such as a refusal, because the engine has sent it once more on the connection.
func TestLateCopyOfAResponseIsNotPassedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go late.Serve(listener, func(r *http.Request, body []byte) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			HeaderRequestID, r.Header.Get(HeaderRequestID), len(body), body)
	})
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
