package integrity

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (own *Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = c.Close(), accepted.Close() })
	return NewConn(c), accepted.(*net.TCPConn)
}

// TestEndIsHeldBackUntilTheRequestIsWritten guards against the end of a connection that is believed because
// the reset has not come yet: the peer has closed it, and the next part of the request shows that.
func TestEndIsHeldBackUntilTheRequestIsWritten(t *testing.T) {
	own, peer := pair(t)
	own.BeginRequest(3)
	_, err := io.WriteString(own, "POST / HTTP/1.1\r\n\r\na")
	require.NoError(t, err)
	_, err = io.ReadFull(peer, make([]byte, 20))
	require.NoError(t, err)
	require.NoError(t, peer.Close())
	time.AfterFunc(resetWait/10, func() { _, _ = io.WriteString(own, "bc") })
	_, err = own.Read(make([]byte, 1))
	var reset *ResetError
	require.ErrorAs(t, err, &reset)
	_, err = own.Read(make([]byte, 1))
	require.ErrorAs(t, err, &reset, "the end stays what it was")
}

// TestEndIsBelievedOnceTheRequestHasArrived guards against whole responses that are taken for broken or held
// back, also if the peer resets the connection after its end.
func TestEndIsBelievedOnceTheRequestHasArrived(t *testing.T) {
	for name, resets := range map[string]bool{"closed": false, "reset later": true} {
		t.Run(name, func(t *testing.T) {
			own, peer := pair(t)
			own.BeginRequest(3)
			_, err := io.WriteString(own, "POST / HTTP/1.1\r\n\r\nabc")
			require.NoError(t, err)
			require.Eventually(t, func() bool {
				received, err := own.requestReceived()
				return err == nil && received
			}, time.Second, time.Millisecond)
			require.NoError(t, peer.CloseWrite())
			if resets {
				// The unread request makes the kernel reset the connection.
				require.NoError(t, peer.Close())
			}
			started := time.Now()
			_, err = own.Read(make([]byte, 1))
			require.Equal(t, io.EOF, err)
			require.Less(t, time.Since(started), resetWait)
		})
	}
}

// TestResetIsReportedToEachRead guards against a response that is whole for whoever reads on after the error.
func TestResetIsReportedToEachRead(t *testing.T) {
	own, peer := pair(t)
	own.BeginRequest(0)
	_, err := io.WriteString(own, "GET / HTTP/1.1\r\n\r\n")
	require.NoError(t, err)
	_, err = io.ReadFull(peer, make([]byte, 18))
	require.NoError(t, err)
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	for range 3 {
		_, err = own.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// TestDeadlineEndsTheWaitForAReset guards against reads that go on after their deadline.
func TestDeadlineEndsTheWaitForAReset(t *testing.T) {
	own, peer := pair(t)
	own.BeginRequest(3)
	_, err := io.WriteString(own, "POST / HTTP/1.1\r\n\r\na")
	require.NoError(t, err)
	require.NoError(t, peer.CloseWrite())
	require.NoError(t, own.SetReadDeadline(time.Now().Add(resetWait/10)))
	_, err = own.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// TestRequestProgressFindsTheBody guards against requests that count as written early or never, by how their
// bytes are divided into writes.
func TestRequestProgressFindsTheBody(t *testing.T) {
	const text = "POST / HTTP/1.1\r\nX: \r\r\n\r\nbody\r\n\r\n"
	for first := range len(text) {
		for second := first; second < len(text); second++ {
			r := requestProgress{bodyBytes: 8}
			r.wrote([]byte(text[:first]))
			r.wrote([]byte(text[first:second]))
			require.False(t, r.complete(), "%q", text[:second])
			r.wrote([]byte(text[second:]))
			require.True(t, r.complete())
		}
	}
	unknown := requestProgress{bodyBytes: -1}
	unknown.wrote([]byte(text))
	require.False(t, unknown.complete())
}
