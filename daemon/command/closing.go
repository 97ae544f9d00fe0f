package command

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Closing returns a daemon that closes something when it has run, such as its
// log.
func Closing(daemon Daemon, closer io.Closer) Daemon { return closing{daemon, closer} }

type closing struct {
	daemon Daemon
	closer io.Closer
}

// Run implements Daemon.
func (c closing) Run(ctx, cut context.Context) error {
	err := c.daemon.Run(ctx, cut)
	return errors.Join(err, c.closer.Close())
}

// Reload implements Reloader.
func (c closing) Reload() {
	if reloader, ok := c.daemon.(Reloader); ok {
		reloader.Reload()
	}
}

// metricsHeaderTimeout bounds the reading of a request for metrics.
const metricsHeaderTimeout = 5 * time.Second

// MetricsServer returns a server of a process's metrics, not yet started.
func MetricsServer(handler http.Handler) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	return &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}
}
