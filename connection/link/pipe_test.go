package link

import (
	"io"
	"sync"
)

// pipe is one end of an in-memory transport.
type pipe struct {
	in   <-chan []byte
	out  chan<- []byte
	done chan struct{}
	once *sync.Once
}

// newPipe returns the two ends of an in-memory transport. Closing one closes both.
func newPipe() (*pipe, *pipe) {
	first, second := make(chan []byte, 64), make(chan []byte, 64)
	done, once := make(chan struct{}), new(sync.Once)
	return &pipe{in: second, out: first, done: done, once: once},
		&pipe{in: first, out: second, done: done, once: once}
}

func (p *pipe) readMessage() ([]byte, error) {
	select {
	case message := <-p.in:
		return message, nil
	case <-p.done:
		return nil, &TransportError{Operation: "read", Cause: io.ErrClosedPipe}
	}
}

func (p *pipe) writeMessage(message []byte) error {
	copied := append([]byte(nil), message...)
	select {
	case p.out <- copied:
		return nil
	case <-p.done:
		return &TransportError{Operation: "write", Cause: io.ErrClosedPipe}
	}
}

func (p *pipe) close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

// helloOf returns the hello of a process with this configuration.
func helloOf(config Config) hello {
	config = config.withDefaults()
	return hello{
		Protocol:          firstVersion,
		Name:              config.Identity.Name,
		Role:              config.Identity.Role,
		FailureDomain:     config.Identity.FailureDomain,
		Incarnation:       config.Identity.Incarnation,
		MaxFrameBytes:     uint64(config.MaxFrameBytes),
		StreamWindowBytes: uint64(config.StreamWindowBytes),
		MaxStreams:        uint64(config.MaxStreams),
	}
}
