package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

type testHead struct {
	Name string
}

// echoHandler responds to each stream with the head and body it received. Some head
// names select other behaviour.
type echoHandler struct {
	mu       sync.Mutex
	messages []string
	// received holds a token for each message.
	received chan struct{}
}

func newEchoHandler() *echoHandler {
	return &echoHandler{received: make(chan struct{}, 1024)}
}

func (h *echoHandler) ServeStream(_ context.Context, _ *Link, s *Stream) {
	var head testHead
	if s.DecodeHead(&head) != nil {
		return
	}
	switch head.Name {
	case "respond-early":
		_ = s.SendHead(head, nil, true)
		return
	case "no-response":
		return
	case "panic":
		panic("a fault of the handler")
	case "wait":
		<-s.Context().Done()
		return
	}
	if s.SendHead(head, nil, false) != nil {
		return
	}
	if _, err := io.Copy(s, s); err != nil {
		return
	}
	_ = s.CloseWrite()
}

func (h *echoHandler) ServeMessage(_ context.Context, _ *Link, _ uint16, body []byte) {
	var text string
	if Unmarshal(body, &text) == nil {
		h.mu.Lock()
		h.messages = append(h.messages, text)
		h.mu.Unlock()
	}
	h.received <- struct{}{}
}

func testConfig(name string, handler Handler) Config {
	role := RoleEntry
	if strings.HasPrefix(name, "agent") {
		role = RoleAgent
	}
	return Config{
		Identity: Identity{Name: name, Role: role, FailureDomain: "thamel", Incarnation: name + "-1"},
		Handler:  handler,
		Clock:    clockwork.NewFakeClock(),
	}
}

// connect opens a link from an entry to an agent over a WebSocket on loopback.
func connect(t testing.TB, entry, agent Config) (*Link, *Acceptor) {
	acceptor := NewAcceptor(agent)
	server := httptest.NewServer(acceptor)
	t.Cleanup(server.Close)
	l, err := Dial(t.Context(), server.Listener.Addr().String(), entry)
	require.NoError(t, err)
	t.Cleanup(func() { l.fail(ErrClosed) })
	return l, acceptor
}

func TestStreamsEchoOverWebSocket(t *testing.T) {
	cases := []struct {
		desc string
		size int
	}{
		{"empty body", 0},
		{"one frame", 100},
		{"exactly the window", DefaultStreamWindowBytes},
		{"several windows", 10*DefaultStreamWindowBytes + 7},
	}
	l, acceptor := connect(t, testConfig("entry", nil), testConfig("agent", newEchoHandler()))
	require.Equal(t, "agent", l.Peer().Name)
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			body := bytes.Repeat([]byte("rose"), c.size/4+1)[:c.size]
			s, err := l.Open(t.Context(), testHead{Name: c.desc}, nil, false)
			require.NoError(t, err)
			go func() {
				_, _ = s.Write(body)
				_ = s.CloseWrite()
			}()
			var head testHead
			require.NoError(t, s.ReceiveHead(t.Context(), &head))
			require.Equal(t, c.desc, head.Name)
			got, err := io.ReadAll(s)
			require.NoError(t, err)
			require.Equal(t, body, got)
		})
	}
	// A stream has been served, so the acceptor must have registered the link.
	require.Equal(t, "entry", acceptor.Links()[0].Peer().Name)
}

func TestConcurrentStreamsReceiveOwnResponses(t *testing.T) {
	l, _ := connect(t, testConfig("entry", nil), testConfig("agent", newEchoHandler()))
	var running sync.WaitGroup
	for i := range 200 {
		running.Go(func() {
			body := bytes.Repeat([]byte{byte(i)}, 1000+i)
			s, err := l.Open(t.Context(), testHead{Name: "parallel"}, body, true)
			if err != nil {
				t.Error(err)
				return
			}
			got, err := io.ReadAll(s)
			if err != nil || !bytes.Equal(body, got) {
				t.Errorf("stream %d: %v, %d bytes", i, err, len(got))
			}
		})
	}
	running.Wait()
	l.streamsMu.Lock()
	defer l.streamsMu.Unlock()
	require.Empty(t, l.streams)
	require.Zero(t, l.opened)
}

func TestEarlyResponseStopsRequestBody(t *testing.T) {
	l, _ := connect(t, testConfig("entry", nil), testConfig("agent", newEchoHandler()))
	body := make([]byte, 4*DefaultStreamWindowBytes)
	s, err := l.Open(t.Context(), testHead{Name: "respond-early"}, body, true)
	require.NoError(t, err)
	var head testHead
	require.NoError(t, s.ReceiveHead(t.Context(), &head))
	_, err = io.ReadAll(s)
	require.NoError(t, err)
}

func TestOpenOfLargeBodyFailsWhenContextEnds(t *testing.T) {
	l, _ := connect(t, testConfig("entry", nil), testConfig("agent", newEchoHandler()))
	ctx, cancel := context.WithCancel(t.Context())
	body := make([]byte, 2*DefaultStreamWindowBytes)
	opened := make(chan error, 1)
	go func() {
		_, err := l.Open(ctx, testHead{Name: "wait"}, body, true)
		opened <- err
	}()
	cancel()
	require.Error(t, <-opened)
}

func TestStreamFailuresAreTyped(t *testing.T) {
	l, acceptor := connect(t, testConfig("entry", nil), testConfig("agent", newEchoHandler()))
	read := func(s *Stream) error {
		_, err := io.ReadAll(s)
		return err
	}

	unanswered, err := l.Open(t.Context(), testHead{Name: "no-response"}, nil, true)
	require.NoError(t, err)
	var cancelled *CancelledError
	require.ErrorAs(t, read(unanswered), &cancelled)
	require.True(t, cancelled.Remote)
	require.ErrorAs(t, context.Cause(unanswered.Context()), &cancelled)

	waiting, err := l.Open(t.Context(), testHead{Name: "wait"}, nil, true)
	require.NoError(t, err)
	waiting.Cancel("caller left")
	require.ErrorAs(t, read(waiting), &cancelled)
	require.False(t, cancelled.Remote)

	lost, err := l.Open(t.Context(), testHead{Name: "wait"}, nil, true)
	require.NoError(t, err)
	acceptor.Close()
	var linkLost *LinkLostError
	require.ErrorAs(t, read(lost), &linkLost)
	<-l.Done()
	_, err = l.Open(t.Context(), testHead{}, nil, true)
	require.ErrorAs(t, err, &linkLost)
	require.Empty(t, acceptor.Links())
}

// TestPanicOfAHandlerEndsItsStreamOnly guards against a request whose handler panics and takes the
// process down with all its links.
func TestPanicOfAHandlerEndsItsStreamOnly(t *testing.T) {
	l, _ := connect(t, testConfig("entry", nil), testConfig("agent", newEchoHandler()))
	for range 3 {
		s, err := l.Open(t.Context(), testHead{Name: "panic"}, nil, true)
		require.NoError(t, err)
		var head testHead
		var cancelled *CancelledError
		require.ErrorAs(t, s.ReceiveHead(t.Context(), &head), &cancelled)
		require.True(t, cancelled.Remote)
	}
	s, err := l.Open(t.Context(), testHead{Name: "respond-early"}, nil, true)
	require.NoError(t, err)
	var head testHead
	require.NoError(t, s.ReceiveHead(t.Context(), &head))
}

func TestMessagesAndVersionsAreDelivered(t *testing.T) {
	entry, agent := testConfig("entry", nil), testConfig("agent", newEchoHandler())
	handler := agent.Handler.(*echoHandler)
	var versions []uint64
	entry.Version = func() uint64 { return 7 }
	agent.OnPeerVersion = func(peer Identity, version uint64) {
		require.Equal(t, "entry", peer.Name)
		versions = append(versions, version)
	}
	l, _ := connect(t, entry, agent)
	require.NoError(t, l.Send(3, "ripe"))
	require.NoError(t, l.Send(3, "dry"))
	<-handler.received
	<-handler.received
	require.Equal(t, []string{"ripe", "dry"}, handler.messages)
	require.Equal(t, []uint64{7}, versions)
}

func TestFrameLimitOnWrite(t *testing.T) {
	l, _ := connect(t, testConfig("entry", nil), testConfig("agent", nil))
	var large *FrameTooLargeError
	require.ErrorAs(t, l.Send(1, make([]byte, DefaultMaxFrameBytes)), &large)
	_, err := l.Open(t.Context(), testHead{Name: strings.Repeat("x", DefaultMaxFrameBytes)}, nil, true)
	require.ErrorAs(t, err, &large)
}

func TestPlaintextRefusedOffLoopbackOrWithTLS(t *testing.T) {
	var refused *PlaintextRefusedError
	_, err := Dial(t.Context(), "192.0.2.1:7000", testConfig("entry", nil))
	require.ErrorAs(t, err, &refused)

	withTLS := testConfig("agent", nil)
	withTLS.TLS = &tls.Config{MinVersion: tls.VersionTLS13}
	cases := []struct {
		desc    string
		config  Config
		address string
	}{
		{"plaintext peer not on loopback", testConfig("agent", nil), "192.0.2.1:7000"},
		{"plaintext peer of a process with TLS", withTLS, "127.0.0.1:7000"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodGet, Path, nil)
			request.RemoteAddr = c.address
			recorder := httptest.NewRecorder()
			NewAcceptor(c.config).ServeHTTP(recorder, request)
			require.Equal(t, http.StatusForbidden, recorder.Code)
		})
	}
}

func TestHeartbeatTimeoutEndsLink(t *testing.T) {
	clock := clockwork.NewFakeClock()
	config := testConfig("entry", nil).withDefaults()
	config.Clock = clock
	local, remote := newPipe()
	l := newLink(config, local, helloOf(testConfig("agent", nil)), true)
	l.start()
	go func() {
		for {
			if _, err := remote.readMessage(); err != nil {
				return
			}
		}
	}()
	s, err := l.Open(t.Context(), testHead{}, nil, true)
	require.NoError(t, err)
	intervals := int(DefaultHeartbeatTimeout/DefaultHeartbeatInterval) + 1
	for range intervals {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(DefaultHeartbeatInterval)
	}
	<-l.Done()
	var timeout *HeartbeatTimeoutError
	require.ErrorAs(t, l.Err(), &timeout)
	_, err = io.ReadAll(s)
	require.ErrorAs(t, err, &timeout)
}

func TestCountersCollectEveryMetric(t *testing.T) {
	counters := NewCounters()
	counters.LateFrames.Add(2)
	require.Equal(t, len(counterMetrics), testutil.CollectAndCount(counters))
}

// TestHeartbeatToleratesLateTick guards against ending the link after this process
// was paused: the pong may have arrived during the pause and not been read yet.
func TestHeartbeatToleratesLateTick(t *testing.T) {
	config := testConfig("entry", nil).withDefaults()
	clock := config.Clock.(*clockwork.FakeClock)
	h := heartbeat{lastTick: clock.Now(), timer: clock.NewTimer(time.Hour)}
	nonce, _ := h.tick(config)
	clock.Advance(time.Minute)
	_, pingAge := h.tick(config)
	require.Zero(t, pingAge)
	require.True(t, h.handlePong(nonce, clock.Now()))
	require.False(t, h.handlePong(nonce, clock.Now()))
}
