// Package freeport finds loopback ports for programs that tests start.
package freeport

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	// firstPort and lastPort bound the ports. They are below the ephemeral port range: the
	// system gives an ephemeral port to any connection or listener before the program that
	// is to use it has started.
	firstPort = 31000
	lastPort  = 32767
	portCount = lastPort - firstPort + 1
)

// ErrNone means that no port is left.
var ErrNone = eris.New("no free port")

var ports struct {
	// mu guards the fields below; it is a leaf lock.
	mu sync.Mutex
	// next is the position from which the next search starts.
	next int
	// locks holds the lock files of the ports of this process, which keep other processes
	// from them until this one ends.
	locks map[int]*os.File
}

// Address returns the address of a port on a loopback host that is free for TCP and UDP. No
// other process gets the port, and this one only after it has had all others. It fails with
// ErrNone, or with the error of a lock file.
func Address(host string) (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for range portCount {
		port := firstPort + ports.next
		ports.next = (ports.next + 1) % portCount
		locked, err := lock(port)
		if err != nil {
			return "", err
		}
		address := net.JoinHostPort(host, strconv.Itoa(port))
		if locked && isFree(address) {
			return address, nil
		}
	}
	return "", ErrNone
}

// lock reserves a port for this process. It returns false if another process has it.
func lock(port int) (bool, error) {
	if ports.locks[port] != nil {
		return true, nil
	}
	directory := filepath.Join(os.TempDir(), "verbenaseam-ports")
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return false, err
	}
	file, err := os.OpenFile(filepath.Join(directory, fmt.Sprint(port)), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return false, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return false, nil
	}
	if ports.locks == nil {
		ports.locks = map[int]*os.File{}
	}
	ports.locks[port] = file
	return true, nil
}

// isFree reports whether a port can be listened on. It keeps this process from forking
// meanwhile: a child would hold the sockets, and with them the port, until it executes its
// program.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}
