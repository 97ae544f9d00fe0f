package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/daemon/dev"
	enginestandin "verbenaseam.example/verbenaseam/internal/standin/engine"
	"verbenaseam.example/verbenaseam/process/logs"
)

// localSystem is a whole system running in the test process on loopback.
type localSystem struct {
	*dev.System
	t   *testing.T
	key string
}

func startLocalSystem(t *testing.T) *localSystem {
	t.Helper()
	return startLocalSystemWith(t, dev.Config{})
}

// startLocalSystemWith starts a system with the given configuration, on a free port
// range unless PortBase is set. EntriesTTL and Logger are overridden.
func startLocalSystemWith(t *testing.T, cfg dev.Config) *localSystem {
	t.Helper()
	if cfg.PortBase == 0 {
		cfg.PortBase = freePortBase(t)
	}
	cfg.EntriesTTL = time.Millisecond
	cfg.Logger = logs.Discard()
	system, err := dev.Start(context.Background(), cfg)
	require.NoError(t, err)
	t.Cleanup(func() {
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		system.Stop(cancelled)
	})
	return &localSystem{System: system, t: t, key: system.Description.Callers["sorters"]}
}

func (l *localSystem) chatBody(prompt string, tokens int, stream bool) []byte {
	body, err := json.Marshal(enginestandin.Request{
		Model: l.Description.ChatModel, Stream: stream, MaxTokens: tokens,
		Messages: []enginestandin.Message{{Role: "user", Content: prompt}},
	})
	require.NoError(l.t, err)
	return body
}

// newRequest creates a caller's request to the first entry.
func (l *localSystem) newRequest(method, path string, body io.Reader) *http.Request {
	request, err := http.NewRequest(method, l.Description.Entries[0]+path, body)
	require.NoError(l.t, err)
	request.Header.Set("Authorization", "Bearer "+l.key)
	return request
}

// parseErrorBody decodes the kind and outcome of a typed failure.
func parseErrorBody(t *testing.T, body []byte) (kind, outcome string) {
	t.Helper()
	var parsed struct {
		Error struct{ Type, Outcome string }
	}
	require.NoError(t, json.Unmarshal(body, &parsed), string(body))
	return parsed.Error.Type, parsed.Error.Outcome
}

// TestInvalidRequestsAreRejectedBeforeExecution sends invalid requests. Each must
// get a typed failure with the outcome not-run.
func TestInvalidRequestsAreRejectedBeforeExecution(t *testing.T) {
	l := startLocalSystem(t)
	chat := "/v1/chat/completions"
	cases := []struct {
		desc    string
		request func() *http.Request
		status  int
		kind    string
	}{
		{"malformed JSON", func() *http.Request { return l.newRequest("POST", chat, strings.NewReader("{")) }, 400, "bad_request"},
		{"no model", func() *http.Request { return l.newRequest("POST", chat, strings.NewReader(`{"messages":[]}`)) }, 400, "bad_request"},
		{"wrong method", func() *http.Request { return l.newRequest("GET", chat, nil) }, 400, "bad_request"},
		{"unknown model", func() *http.Request {
			return l.newRequest("POST", chat, strings.NewReader(`{"model":"x","messages":[{"role":"user","content":"y"}]}`))
		}, 404, "no_route"},
		{"unknown path", func() *http.Request { return l.newRequest("GET", "/nowhere", nil) }, 404, "no_route"},
		{"oversize body", func() *http.Request {
			return l.newRequest("POST", chat, bytes.NewReader(make([]byte, 5<<20)))
		}, 413, "too_large"},
		{"oversize headers", func() *http.Request {
			r := l.newRequest("GET", "/stock", nil)
			r.Header.Set("X-Long", strings.Repeat("x", 40<<10))
			return r
		}, 413, "too_large"},
		{"wrong key", func() *http.Request {
			r := l.newRequest("GET", "/stock", nil)
			r.Header.Set("Authorization", "Bearer nobody")
			return r
		}, 401, "unauthorized"},
		{"no key", func() *http.Request {
			r := l.newRequest("GET", "/stock", nil)
			r.Header.Del("Authorization")
			return r
		}, 401, "unauthorized"},
		{"no key at the caller API", func() *http.Request {
			r := l.newRequest("GET", "/v1/entries", nil)
			r.Header.Del("Authorization")
			return r
		}, 401, "unauthorized"},
		{"invalid timeout", func() *http.Request {
			r := l.newRequest("GET", "/stock", nil)
			r.Header.Set("X-Verbenaseam-Timeout-Ms", "soon")
			return r
		}, 400, "bad_request"},
		{"long idempotency key", func() *http.Request {
			r := l.newRequest("POST", "/orders", strings.NewReader("{}"))
			r.Header.Set("Idempotency-Key", strings.Repeat("k", 1000))
			return r
		}, 400, "bad_request"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			status, outcome, body, err := send(c.request())
			require.NoError(t, err)
			require.Equal(t, c.status, status, string(body))
			kind, bodyOutcome := parseErrorBody(t, body)
			require.Equal(t, c.kind, kind)
			require.Equal(t, "not-run", bodyOutcome)
			require.Equal(t, "not-run", outcome)
		})
	}
	require.Zero(t, l.RunCounter.Runs())
}

// TestTruncatedBodyIsNotDispatched sends only part of a request's body and closes
// the sending side. The request must not reach a back end.
func TestTruncatedBodyIsNotDispatched(t *testing.T) {
	l := startLocalSystem(t)
	connection, err := net.Dial("tcp", strings.TrimPrefix(l.Description.Entries[0], "http://"))
	require.NoError(t, err)
	_, err = fmt.Fprintf(connection, "POST /orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", l.key)
	require.NoError(t, err)
	require.NoError(t, connection.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(connection)
	require.NoError(t, err)
	require.Contains(t, string(answer), "not-run")
	require.Zero(t, l.RunCounter.Runs())
}

// TestClientDisconnectCancelsEngineWork closes a stream after its first token. The
// engine must cancel the request long before the answer would be complete.
func TestClientDisconnectCancelsEngineWork(t *testing.T) {
	l := startLocalSystem(t)
	const maxTokens = 60000
	response, err := http.DefaultClient.Do(l.newRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(l.chatBody("long", maxTokens, true))))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	_, err = io.ReadFull(response.Body, make([]byte, 10))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Eventually(t, func() bool {
		cancelled := int64(0)
		for _, engine := range l.Engines {
			if engine.InFlight() > 0 {
				return false
			}
			cancelled += engine.Counters().Cancelled
		}
		return cancelled == 1
	}, 30*time.Second, 5*time.Millisecond)
}

// TestDeadlineCancelsRequest requests more tokens than can be generated before the
// deadline. The caller must get a typed failure with the outcome unknown.
func TestDeadlineCancelsRequest(t *testing.T) {
	l := startLocalSystem(t)
	request := l.newRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(l.chatBody("late", 60000, false)))
	request.Header.Set("X-Verbenaseam-Timeout-Ms", "200")
	status, outcome, body, err := send(request)
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, status, string(body))
	kind, _ := parseErrorBody(t, body)
	require.Equal(t, "deadline_exceeded", kind)
	require.Equal(t, "unknown", outcome)
}

// TestOperatorAPIRejectsCallerKeys calls the operator API without a key and with a
// caller's key.
func TestOperatorAPIRejectsCallerKeys(t *testing.T) {
	l := startLocalSystem(t)
	for _, key := range []string{"", l.key} {
		request, err := http.NewRequest(http.MethodGet, l.Description.Operator+"/v1/tables", nil)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+key)
		status, _, body, err := send(request)
		require.NoError(t, err)
		require.Equal(t, http.StatusUnauthorized, status, string(body))
		require.NotContains(t, string(body), "pool")
	}
}
