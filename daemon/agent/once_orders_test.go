package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/connection/engine"
	"verbenaseam.example/verbenaseam/internal/standin/raw"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/stream"
	"verbenaseam.example/verbenaseam/version/table"
)

// TestIncarnationOfACutAnswerIsNotBelieved guards against a crash of an engine that is reported, with the requests
// that it runs as suspects, because of the head of an answer that is not whole.
func TestIncarnationOfACutAnswerIsNotBelieved(t *testing.T) {
	for name, rest := range map[string]string{
		"length":             "Content-Length: 20\r\n\r\npart",
		"chunks":             "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"trailer":            "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX Sum: 1\r\n\r\n",
		"a blank in a field": "X Field: a\r\nContent-Length: 4\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			address := raw.StartOnce(t, func(c *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+engine.HeaderIncarnation+": next\r\n"+rest)
			})
			client, err := engine.NewClient("http://"+address, engine.KindService)
			require.NoError(t, err)
			t.Cleanup(client.Close)
			gate := admit.NewGate(admit.GateConfig{ColdLimit: 1, Maximum: 1, Kind: table.KindService})
			m := &monitor{
				gate: gate, admission: newAdmission(gate), inFlight: newInFlightTracker(), trials: &trials{},
				known: true, incarnation: "current", clock: clockwork.NewRealClock(), log: logs.Component(logs.Discard(), "test"),
				onCrash: func(report stream.CrashReport) { t.Error("reported", fmt.Sprint(report)) },
			}
			o := &onceOrders{agent: &Agent{monitor: m, forwarder: &forwarder{engine: client, monitor: m}}}
			_, err = o.call(t.Context(), &stream.RequestHead{RequestID: "r", Method: http.MethodPost, Path: "/"}, nil, nil)
			require.Error(t, err)
			require.Equal(t, "current", m.incarnation)
		})
	}
}
