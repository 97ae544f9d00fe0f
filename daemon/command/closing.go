package command

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
)

// Logged returns a daemon that writes its log to standard output, without ever
// waiting for that, and closes the log when it has run.
func Logged(log settings.Log, build func(*logrus.Logger) Daemon) Daemon {
	bounded := logs.NewNonBlockingWriter(os.Stdout)
	return closing{build(logs.New(bounded, log)), bounded}
}

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
