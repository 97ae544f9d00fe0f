package pace

import (
	"net"
	"syscall"

	"verbenaseam.example/verbenaseam/connection/socket"
)

// Progress returns a function that returns by how many bytes the send queue of a connection
// has changed since its last call, and whether it holds any. The kernel accepts more bytes only
// after a large part of its queue has been acknowledged, so the ends of writes alone show the
// progress of a slow reader too late. Without a TCP connection, the result is nil.
func Progress(c net.Conn) func() (moved int64, queued bool) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	// Most exchanges end before the first call, which only sets the length to compare with.
	last, known := 0, false
	return func() (int64, bool) {
		length := queueLength(raw)
		if !known {
			last, known = length, true
		}
		moved := int64(max(length-last, last-length))
		last = length
		return moved, length > 0
	}
}

// queueLength returns the number of bytes that were written to a connection and are not yet
// acknowledged; 0 if the connection is closed.
func queueLength(raw syscall.RawConn) int {
	length, err := socket.Unacknowledged(raw)
	if err != nil {
		return 0
	}
	return length
}
