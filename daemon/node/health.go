package node

import (
	"io"
	"net/http"

	"verbenaseam.example/verbenaseam/process/metrics"
)

// HandleHealth registers the handlers of /metrics, /healthz and /readyz.
func HandleHealth(mux *http.ServeMux, m *metrics.Metrics, ready func() bool) {
	mux.Handle("/metrics", m.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
}
