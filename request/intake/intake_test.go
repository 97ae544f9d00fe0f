package intake

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/failure"
)

// bodyTimeout is the time limit of the test server for reading a body.
const bodyTimeout = 200 * time.Millisecond

// readBody sends a raw request to a server and returns the failure of reading
// its body, nil if there was none, and the time taken. The client disconnects
// after the request if it contains an X-Disconnect header.
func readBody(t *testing.T, request string, limit int64) (failErr *failure.Error, elapsed time.Duration) {
	done := make(chan *failure.Error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(w, r, limit, time.Now().Add(bodyTimeout))
		done <- err
	}))
	t.Cleanup(server.Close)
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	started := time.Now()
	_, err = io.WriteString(connection, request)
	require.NoError(t, err)
	if strings.Contains(request, "X-Disconnect") {
		require.NoError(t, connection.Close())
	}
	failErr = <-done
	return failErr, time.Since(started)
}

func TestReadBodyFailureKinds(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n"
	cases := map[string]struct {
		request string
		limit   int64
		kind    failure.Kind
	}{
		"complete":  {request: head + "\r\nwhole.", limit: 6},
		"no limit":  {request: head + "\r\nwhole."},
		"too large": {request: head + "\r\nwhole.", limit: 5, kind: failure.TooLarge},
		"too slow":  {request: head + "\r\nwho", limit: 6, kind: failure.DeadlineExceeded},
		"truncated": {request: head + "X-Disconnect: 1\r\n\r\nwho", limit: 6, kind: failure.BadRequest},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			failErr, elapsed := readBody(t, tc.request, tc.limit)
			require.Less(t, elapsed, 5*bodyTimeout)
			if tc.kind == "" {
				require.Nil(t, failErr)
				return
			}
			require.NotNil(t, failErr)
			require.Equal(t, tc.kind, failErr.Kind)
			require.Equal(t, failure.NotRun, failErr.Outcome)
		})
	}
}

// TestStatedLengthOfABodyIsNotTrusted guards against a process that ends because it allocates what a
// caller states, and against a stated length beyond the limit that takes the memory of other requests.
func TestStatedLengthOfABodyIsNotTrusted(t *testing.T) {
	const stated = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9223372036854775807\r\n"
	failErr, elapsed := readBody(t, stated+"X-Disconnect: 1\r\n\r\n"+strings.Repeat("x", 2*firstBuffer), 0)
	require.Equal(t, failure.BadRequest, failErr.Kind)
	require.Less(t, elapsed, 5*bodyTimeout)
	failErr, elapsed = readBody(t, stated+"\r\n", 5)
	require.Equal(t, failure.TooLarge, failErr.Kind)
	require.Less(t, elapsed, bodyTimeout, "not awaited")
}
