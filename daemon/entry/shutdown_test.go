package entry

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/logs"
)

// TestShutdownAnswersOperatorsCalls guards against a change of the tables that is applied while the
// entry stops, and whose operator never learns that.
func TestShutdownAnswersOperatorsCalls(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	called := make(chan struct{})
	e := &Entry{log: logs.Component(logs.Discard(), "entry"), operatorServer: &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(called)
			time.Sleep(100 * time.Millisecond)
			w.WriteHeader(http.StatusOK)
		}),
	}}
	go func() { _ = e.operatorServer.Serve(listener) }()
	statuses := make(chan int, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	<-called
	e.finishOperatorCalls()
	require.Equal(t, http.StatusOK, <-statuses)
}
