package direct

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/connection/pace"
)

// TestBodySurvivesAPauseOfTheReader guards against ending a request whose target reads nothing
// for longer than unackedTimeout but less than the window of the pace: the target is alive and
// acknowledges probes.
func TestBodySurvivesAPauseOfTheReader(t *testing.T) {
	t.Parallel()
	const size = 8 << 20
	s := startTarget(t, func(c net.Conn, in *bufio.Reader, _ int) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		time.Sleep(unackedTimeout + 1500*time.Millisecond)
		n, _ := io.Copy(io.Discard, r.Body)
		if n == size {
			_, _ = io.WriteString(c, responseTo("1", "ok"))
		}
	})
	r := request("1")
	r.Body, r.HasBody, r.Pace, r.Deadline = make([]byte, size), true, pace.Default, time.Now().Add(20*time.Second)
	response, err := s.pool(1).Do(t.Context(), r, false)
	require.NoError(t, err)
	require.Equal(t, "ok", readAll(t, response))
}
