package direct

import (
	"context"
	"net"
	"time"

	"verbenaseam.example/verbenaseam/connection/callers"
	"verbenaseam.example/verbenaseam/request/forward"
)

const (
	// defaultIdleTimeout and defaultHeaderTimeout apply where the configuration sets no
	// timeout for callers' connections.
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second
)

// withCallerConn is the http.Server.ConnContext hook that passes on the caller's connection.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return forward.WithConnection(ctx, callers.Unwrap(c))
}

// callerTimeouts returns the timeouts in force.
func (e *Entry) callerTimeouts() callers.Timeouts {
	timeouts := callers.Timeouts{Idle: defaultIdleTimeout, Header: defaultHeaderTimeout}
	version := e.version.Load()
	if version == nil {
		return timeouts
	}
	if version.Limits.IdleTimeout > 0 {
		timeouts.Idle = version.Limits.IdleTimeout
	}
	if version.Limits.HeaderTimeout > 0 {
		timeouts.Header = version.Limits.HeaderTimeout
	}
	return timeouts
}
