package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/process/failure"
	"verbenaseam.example/verbenaseam/process/health"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/metrics"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/request/admit"
	"verbenaseam.example/verbenaseam/request/poison"
	"verbenaseam.example/verbenaseam/request/stream"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	targetName = "target-1"
	callerKey  = "foo"
	// tableSource contains the SHA-256 of callerKey.
	tableSource = `
[failure_domain thamel]
region = valley
[target target-1]
agent = 127.0.0.1:21001
failure_domain = thamel
[pool stock]
kind = service
targets = target-1
cold_limit = 4
maximum = 4
fencing = ignored
[route stock]
path = /stock
pool = stock
idempotent = true
timeout = 10s
[organisation sorters]
key_sha256 = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae
`
)

// fakeAgent responds to the streams of a link; firstRefusal, if not nil, is the
// response to the first one.
type fakeAgent struct {
	firstRefusal atomic.Pointer[failure.Error]
	// served is the number of streams received.
	served atomic.Int64
}

func (a *fakeAgent) ServeStream(_ context.Context, _ *link.Link, s *link.Stream) {
	a.served.Add(1)
	if refusal := a.firstRefusal.Swap(nil); refusal != nil {
		_ = s.SendHead(&stream.ResponseHead{Refusal: stream.NewRefusal(refusal)}, nil, true)
		return
	}
	_ = s.SendHead(&stream.ResponseHead{Status: http.StatusOK}, []byte("whole"), true)
}

func (a *fakeAgent) ServeMessage(context.Context, *link.Link, uint16, []byte) {}

// switchableLinks provides one link, which Get does not return while down is
// set.
type switchableLinks struct {
	link *link.Link
	down atomic.Bool
}

func (l *switchableLinks) Get(string) (*link.Link, bool) {
	if l.down.Load() {
		return nil, false
	}
	return l.link, true
}

// linkTo connects an entry to an agent over loopback.
func linkTo(t *testing.T, handler link.Handler) *switchableLinks {
	acceptor := link.NewAcceptor(link.Config{
		Identity: link.Identity{Name: targetName, Role: link.RoleAgent, Incarnation: "1"},
		Handler:  handler, Logger: logs.Discard(),
	})
	server := httptest.NewServer(acceptor)
	t.Cleanup(server.Close)
	l, err := link.Dial(t.Context(), server.Listener.Addr().String(), link.Config{
		Identity: link.Identity{Name: "entry-1", Role: link.RoleEntry, Incarnation: "1"}, Logger: logs.Discard(),
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return &switchableLinks{link: l}
}

// newGateway returns a gateway in front of one target.
func newGateway(t *testing.T, links Links, clock clockwork.Clock) *Gateway {
	parsed, err := table.Parse(strings.NewReader(tableSource), "test")
	require.NoError(t, err)
	snapshot, err := table.Compile(parsed)
	require.NoError(t, err)
	targets := NewTargets("entry-1", 8, clock)
	targets.Update(snapshot)
	return New(Config{
		Tables: fixedTables{snapshot}, Links: links, Targets: targets, Clock: clock,
		Limits:  settings.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 20, BodyTimeout: time.Second},
		Metrics: metrics.New(link.RoleEntry, metrics.DefaultMaxOrganisations),
		Log:     logs.Component(logs.Discard(), "gateway"),
		Quotas:  admit.NewQuotas("entry-1", 1, clock),
		Poison:  poison.NewTracker(poison.Config{}, clock), ShareEvidence: func() {},
		Health: health.NewCorrelator(health.Config{Clock: clock}),
	})
}

type fixedTables struct{ snapshot *table.Snapshot }

func (f fixedTables) Current() *table.Snapshot { return f.snapshot }

// sendRequest sends one request in the background; the channel delivers the
// response.
func sendRequest(t *testing.T, g *Gateway) <-chan *httptest.ResponseRecorder {
	responses := make(chan *httptest.ResponseRecorder, 1)
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/stock/tents", strings.NewReader(""))
	request.Header.Set("Authorization", "Bearer "+callerKey)
	go func() {
		recorder := httptest.NewRecorder()
		g.ServeHTTP(recorder, request)
		responses <- recorder
	}()
	return responses
}

// linkDownTime is longer than all attempts of one request take.
const linkDownTime = 500 * time.Millisecond

// TestRequestWaitsForRestoredLink checks that a request is kept while no target
// has a link, and served once the link is back.
func TestRequestWaitsForRestoredLink(t *testing.T) {
	links := linkTo(t, &fakeAgent{})
	links.down.Store(true)
	responses := sendRequest(t, newGateway(t, links, clockwork.NewRealClock()))
	time.Sleep(linkDownTime)
	links.down.Store(false)
	recorder := <-responses
	require.Equal(t, http.StatusOK, recorder.Code, recorder.Body.String())
	require.Equal(t, "whole", recorder.Body.String())
}

// TestWaitForLinkIsBounded checks that a request for which no target has a link
// is refused after a bounded wait.
func TestWaitForLinkIsBounded(t *testing.T) {
	links := linkTo(t, &fakeAgent{})
	links.down.Store(true)
	started := time.Now()
	recorder := <-sendRequest(t, newGateway(t, links, clockwork.NewRealClock()))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code, recorder.Body.String())
	require.Equal(t, string(failure.NotRun), recorder.Header().Get(HeaderOutcome))
	require.NotEmpty(t, recorder.Header().Get("Retry-After"))
	require.Less(t, time.Since(started), 2*maxTargetWait)
}

// TestRefusalKeepsOutcomeOfEarlierAttempt fails an attempt that may have run
// and then removes the only link: the refusal must not report that the request
// did not run.
func TestRefusalKeepsOutcomeOfEarlierAttempt(t *testing.T) {
	crashing := &fakeAgent{}
	crashing.firstRefusal.Store(failure.New(failure.EngineFailed, failure.Unknown, "the engine ended"))
	links := linkTo(t, crashing)
	g := newGateway(t, &linksLostAfterFirst{switchableLinks: links, agent: crashing}, clockwork.NewRealClock())
	recorder := <-sendRequest(t, g)
	require.Equal(t, string(failure.Unknown), recorder.Header().Get(HeaderOutcome), recorder.Body.String())
	require.EqualValues(t, 1, crashing.served.Load())
}

// linksLostAfterFirst loses the link once the agent has received a stream.
type linksLostAfterFirst struct {
	*switchableLinks
	agent *fakeAgent
}

func (l *linksLostAfterFirst) Get(name string) (*link.Link, bool) {
	if l.agent.served.Load() > 0 {
		l.down.Store(true)
	}
	return l.switchableLinks.Get(name)
}

// brokenAgent sends part of a response and then fails.
type brokenAgent struct{ part string }

func (a *brokenAgent) ServeStream(_ context.Context, _ *link.Link, s *link.Stream) {
	head := &stream.ResponseHead{Status: http.StatusOK, Header: []stream.Field{{Name: "Content-Type", Value: "text/event-stream"}}}
	_ = s.SendHead(head, nil, false)
	_, _ = s.Write([]byte(a.part))
	// The bytes sent must not be overtaken by the failure.
	time.Sleep(20 * time.Millisecond)
	s.Cancel("the target failed in the middle of the answer")
}

func (a *brokenAgent) ServeMessage(context.Context, *link.Link, uint16, []byte) {}

// TestErrorOfABrokenResponseStandsBetweenEvents guards against the text of an error in the middle of an
// event.
func TestErrorOfABrokenResponseStandsBetweenEvents(t *testing.T) {
	for name, c := range map[string]struct {
		agent     brokenAgent
		wantError bool
	}{
		"between events":      {brokenAgent{"data: 1\n\n"}, true},
		"between CRLF events": {brokenAgent{"data: 1\r\n\r\n"}, true},
		"before the first":    {brokenAgent{""}, true},
		"within an event":     {brokenAgent{"data: 1\n\ndata: {\"a\":"}, false},
		"after a line":        {brokenAgent{"data: 1\n"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t, linkTo(t, &c.agent), clockwork.NewRealClock())
			request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/stock/tents", strings.NewReader(""))
			request.Header.Set("Authorization", "Bearer "+callerKey)
			recorder := httptest.NewRecorder()
			require.PanicsWithError(t, http.ErrAbortHandler.Error(), func() { g.ServeHTTP(recorder, request) })
			rest, found := strings.CutPrefix(recorder.Body.String(), c.agent.part)
			require.True(t, found, "%q", recorder.Body.String())
			require.Equal(t, c.wantError, rest != "", "%q", rest)
		})
	}
}
