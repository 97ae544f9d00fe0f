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

// bodyTime is how long the test's server reads a body.
const bodyTime = 200 * time.Millisecond

// answer reads the body of a raw request and returns the failure.
func answer(t *testing.T, request string, limit int64) (failed *failure.Error, took time.Duration) {
	done := make(chan *failure.Error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(w, r, limit, time.Now().Add(bodyTime))
		done <- err
	}))
	t.Cleanup(server.Close)
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	started := time.Now()
	_, err = io.WriteString(connection, request)
	require.NoError(t, err)
	if strings.Contains(request, "X-Leave") {
		require.NoError(t, connection.Close())
	}
	failed = <-done
	return failed, time.Since(started)
}

func TestReadBodyTellsItsFailuresApart(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n"
	cases := map[string]struct {
		request string
		limit   int64
		kind    failure.Kind
	}{
		"whole":     {request: head + "\r\nwhole.", limit: 6},
		"no limit":  {request: head + "\r\nwhole."},
		"too large": {request: head + "\r\nwhole.", limit: 5, kind: failure.TooLarge},
		"too slow":  {request: head + "\r\nwho", limit: 6, kind: failure.DeadlineExceeded},
		"torn":      {request: head + "X-Leave: 1\r\n\r\nwho", limit: 6, kind: failure.BadRequest},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			failed, took := answer(t, tc.request, tc.limit)
			require.Less(t, took, 5*bodyTime)
			if tc.kind == "" {
				require.Nil(t, failed)
				return
			}
			require.NotNil(t, failed)
			require.Equal(t, tc.kind, failed.Kind)
			require.Equal(t, failure.NotRun, failed.Outcome)
		})
	}
}
