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

// WithLogger returns a daemon whose logger writes to standard output without blocking. The
// log is closed when the daemon has ended.
func WithLogger(log settings.Log, build func(*logrus.Logger) Daemon) Daemon {
	writer := logs.NewNonBlockingWriter(os.Stdout)
	return loggedDaemon{build(logs.New(writer, log)), writer}
}

// loggedDaemon closes its daemon's log after Run.
type loggedDaemon struct {
	daemon Daemon
	writer io.Closer
}

// Run implements Daemon.
func (d loggedDaemon) Run(ctx, abort context.Context) error {
	err := d.daemon.Run(ctx, abort)
	return errors.Join(err, d.writer.Close())
}

// Reload implements Reloader.
func (d loggedDaemon) Reload() {
	if reloader, ok := d.daemon.(Reloader); ok {
		reloader.Reload()
	}
}

// metricsHeaderTimeout is the time limit for reading the headers of a request for metrics.
const metricsHeaderTimeout = 5 * time.Second

// NewMetricsServer returns a server for a process's metrics; the caller starts it.
func NewMetricsServer(handler http.Handler) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	return &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}
}
