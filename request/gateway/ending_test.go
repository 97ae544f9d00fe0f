package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/request/finish"
)

// silentAgent never responds.
type silentAgent struct {
	fakeAgent
	received atomic.Int64
}

func (a *silentAgent) ServeStream(ctx context.Context, _ *link.Link, _ *link.Stream) {
	a.received.Add(1)
	<-ctx.Done()
}

// TestGatewayRefusesWhatItCannotFinish guards against requests that an entry passes on late in its
// shutdown and cuts off when that ends.
func TestGatewayRefusesWhatItCannotFinish(t *testing.T) {
	agent := &fakeAgent{}
	g := newGateway(t, linkTo(t, agent), clockwork.NewRealClock())
	g.EndBy(finish.Ending{By: time.Now().Add(5 * time.Second), CallersGone: time.Now()})
	recorder := <-sendRequest(t, g)
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.Equal(t, string(failure.NotRun), recorder.Header().Get(HeaderOutcome))
	require.Equal(t, "close", recorder.Header().Get("Connection"))
	require.Zero(t, agent.served.Load())
}

// TestGatewayServesQuickRequestsWhileItEnds guards against an entry that refuses everything once it
// shuts down.
func TestGatewayServesQuickRequestsWhileItEnds(t *testing.T) {
	g := newGateway(t, linkTo(t, &fakeAgent{}), clockwork.NewRealClock())
	require.Equal(t, http.StatusOK, (<-sendRequest(t, g)).Code)
	g.EndBy(finish.Ending{By: time.Now().Add(5 * time.Second), CallersGone: time.Now()})
	require.Equal(t, http.StatusOK, (<-sendRequest(t, g)).Code)
	require.Empty(t, g.Unfinished())
}

// TestGatewayAnswersWhatIsUnfinishedAtItsEnd guards against connections that are closed without an
// answer when the time limit of a shutdown is reached.
func TestGatewayAnswersWhatIsUnfinishedAtItsEnd(t *testing.T) {
	agent := &silentAgent{}
	g := newGateway(t, linkTo(t, agent), clockwork.NewRealClock())
	responses := sendRequest(t, g)
	require.Eventually(t, func() bool { return agent.received.Load() > 0 }, 5*time.Second, time.Millisecond)
	require.Len(t, g.Unfinished(), 1)
	g.End()
	recorder := <-responses
	require.Equal(t, string(failure.Unknown), recorder.Header().Get(HeaderOutcome))
	require.Contains(t, recorder.Body.String(), finish.ErrProcessEnds.Error())
	require.Empty(t, g.Unfinished())
}
