package node

import (
	"context"
	"crypto/tls"
	"net"

	"verbenaseam.example/verbenaseam/process/logs"
)

// ListenError reports that the process cannot listen on an address.
type ListenError struct {
	Address string // IP:port
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Cause }

// Listen listens on a TCP address of the form IP:port. Its errors are of type
// *ListenError.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return listener, nil
}

// Start accepts links and runs the rollout and membership services until Stop.
func (n *Node) Start() error {
	listener, err := Listen(n.config.Address)
	if err != nil {
		return err
	}
	if n.server.TLSConfig != nil {
		listener = tls.NewListener(listener, n.server.TLSConfig)
	}
	go func() { _ = n.server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.Background(ctx, func(ctx context.Context) {
		if err := n.Rollout.Run(ctx); err != nil && ctx.Err() == nil {
			logs.Component(n.config.Logger, "rollout").WithError(err).Error("rollout service failed")
		}
	})
	n.Background(ctx, n.runMembership)
	return nil
}

// Stop closes all links, stops accepting new ones and waits for the background
// goroutines. Start must have succeeded.
func (n *Node) Stop() {
	n.Dialer.Stop()
	n.stop()
	for _, l := range n.Peers.Links() {
		_ = l.Close()
	}
	n.acceptor.Close()
	_ = n.server.Close()
	n.background.Wait()
}
