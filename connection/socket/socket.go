// Package socket reads the state that the kernel keeps of a TCP connection.
package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClose is TCP_CLOSE of the kernel: a reset has ended both directions of the connection, or both
// ends have closed it.
const stateClose = 7

// Unacknowledged returns the number of bytes that were written to a connection and that the peer has
// not acknowledged. It also does so after a reset.
func Unacknowledged(raw syscall.RawConn) (int, error) {
	return control(raw, func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
}

// Closed reports whether both directions of a connection have ended.
func Closed(raw syscall.RawConn) (bool, error) {
	return control(raw, func(fd int) (bool, error) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err == nil && info.State == stateClose, err
	})
}

// control calls query with the file descriptor of a connection.
func control[T any](raw syscall.RawConn, query func(fd int) (T, error)) (T, error) {
	var result T
	var queryErr error
	if err := raw.Control(func(fd uintptr) { result, queryErr = query(int(fd)) }); err != nil {
		return result, err
	}
	return result, queryErr
}
