package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/api/gen/engineapi"
)

// testEngine is an engine on a fake clock behind an HTTP test server.
type testEngine struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	engine *Engine
	server *httptest.Server
	api    *engineapi.Client
}

func newTestEngine(t *testing.T, config Config) *testEngine {
	clock := clockwork.NewFakeClock()
	config.Clock = clock
	engine := New(config)
	server := httptest.NewServer(engine.Handler())
	api, err := engineapi.NewClient(server.URL)
	require.NoError(t, err)
	t.Cleanup(func() {
		engine.Close()
		server.Close()
	})
	return &testEngine{t: t, clock: clock, engine: engine, server: server, api: api}
}

// advanceSteps runs n batch steps, each of at most stepLimit.
func (te *testEngine) advanceSteps(n int) {
	const stepLimit = time.Second
	for range n {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		require.NoError(te.t, te.clock.BlockUntilContext(ctx, 1))
		cancel()
		te.clock.Advance(stepLimit)
	}
}

func (te *testEngine) submit(id, prompt string, tokens int) (*sequence, error) {
	seq := te.engine.newSequence(Request{Prompt: prompt, MaxTokens: tokens}, http.Header{RequestIDHeader: {id}})
	return seq, te.engine.submit(seq)
}

// waitFinished waits until the sequence has finished or failed; it advances the
// clock whenever the engine waits on it.
func (te *testEngine) waitFinished(seq *sequence) sequenceSnapshot {
	const stepLimit = time.Second
	for {
		progress := te.engine.snapshot(seq)
		if progress.state == stateFinished || progress.state == stateFailed {
			return progress
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-progress.changed
			cancel()
		}()
		if te.clock.BlockUntilContext(ctx, 1) == nil {
			te.clock.Advance(stepLimit)
		}
	}
}

func (te *testEngine) post(path, body string) *http.Response {
	request, err := http.NewRequest(http.MethodPost, te.server.URL+path, strings.NewReader(body))
	require.NoError(te.t, err)
	request.Header.Set(RequestIDHeader, "wire")
	response, err := te.server.Client().Do(request)
	require.NoError(te.t, err)
	return response
}

func TestColdOverloadAndPoisonPromptCrashEngine(t *testing.T) {
	te := newTestEngine(t, Config{MaxColdInFlight: 2, WarmupRequests: 2, MaxBatchSize: 4, PoisonMarker: "POISON"})
	first, err := te.submit("a", "one", 3)
	require.NoError(t, err)
	second, err := te.submit("b", "two", 3)
	require.NoError(t, err)
	cold := te.engine.Incarnation()
	_, err = te.submit("c", "three", 3)
	require.ErrorIs(t, err, ErrCrashed, "the third request exceeds MaxColdInFlight")
	require.ErrorIs(t, te.waitFinished(first).err, ErrCrashed)
	require.ErrorIs(t, te.waitFinished(second).err, ErrCrashed)
	require.NotEqual(t, cold, te.engine.Incarnation())
	require.EqualValues(t, 1, te.engine.Counters().OverloadCrashes)

	for range 2 {
		seq, err := te.submit("w", "warm", 3)
		require.NoError(t, err)
		require.Equal(t, stateFinished, te.waitFinished(seq).state)
	}
	require.False(t, te.engine.Cold())
	warm := te.engine.Incarnation()
	for range 8 {
		_, err := te.submit("x", "many", 3)
		require.NoError(t, err)
	}
	te.engine.SetCold()
	require.Equal(t, warm, te.engine.Incarnation(), "SetCold starts no new incarnation")
	te.clock.Advance(DefaultColdGracePeriod)
	_, err = te.submit("y", "after grace", 3)
	require.ErrorIs(t, err, ErrCrashed)
	poison, err := te.submit("z", "some POISON here", 3)
	require.NoError(t, err)
	require.ErrorIs(t, te.waitFinished(poison).err, ErrCrashed)
	require.EqualValues(t, 3, te.engine.Counters().Crashes)
	require.EqualValues(t, 2, te.engine.Counters().OverloadCrashes)
}

func TestPriorityOrdersQueueAndCachedPrefixSkipsPrefill(t *testing.T) {
	te := newTestEngine(t, Config{MaxBatchSize: 1, MaxColdInFlight: 8})
	prompt := strings.Repeat("x", 10*blockBytes)
	first, err := te.submit("a", prompt, 2)
	require.NoError(t, err)
	require.Equal(t, stateFinished, te.waitFinished(first).state)

	te.engine.SetStalled(true)
	low := te.engine.newSequence(Request{Prompt: prompt}, http.Header{PriorityHeader: {"1"}})
	high := te.engine.newSequence(Request{Prompt: "new" + prompt}, http.Header{PriorityHeader: {"2"}})
	require.NoError(t, te.engine.submit(low))
	require.NoError(t, te.engine.submit(high))
	te.engine.mu.Lock()
	defer te.engine.mu.Unlock()
	require.Equal(t, []*sequence{high, low}, te.engine.waiting)
	require.Equal(t, 0, te.engine.cache.lookupAndStore(low.blocks))
	require.Equal(t, 10, te.engine.cache.lookupAndStore(high.blocks))
}

func TestDisconnectedStreamPausesAndResumes(t *testing.T) {
	te := newTestEngine(t, Config{MaxColdInFlight: 8})
	response := te.post("/v1/completions", `{"prompt":"petals","max_tokens":6,"stream":true}`)
	require.Equal(t, te.engine.Incarnation(), response.Header.Get(IncarnationHeader))
	te.advanceSteps(2)
	events := bufio.NewScanner(response.Body)
	text := readTokens(t, events, 2)
	response.Body.Close()
	te.waitState("wire", statePaused)
	te.engine.mu.Lock()
	seq := te.engine.byID["wire"]
	te.engine.mu.Unlock()
	resumed, err := http.Get(te.server.URL + "/v1/streams/wire?from=2")
	require.NoError(t, err)
	defer resumed.Body.Close()
	require.Equal(t, stateFinished, te.waitFinished(seq).state)
	rest := bufio.NewScanner(resumed.Body)
	text += readTokens(t, rest, 4)
	require.True(t, CheckAnswer("petals", 6, text), text)
	require.True(t, rest.Scan())
	require.Equal(t, "data: [DONE]", rest.Text())
}

// waitState waits until the sequence with that id is in a state.
func (te *testEngine) waitState(id string, want sequenceState) {
	for {
		te.engine.mu.Lock()
		seq := te.engine.byID[id]
		state, changed := seq.state, seq.changed
		te.engine.mu.Unlock()
		if state == want {
			return
		}
		<-changed
	}
}

// readTokens reads the text of the next n events.
func readTokens(t *testing.T, events *bufio.Scanner, n int) string {
	var text string
	for n > 0 && events.Scan() {
		data, ok := strings.CutPrefix(events.Text(), "data: ")
		if !ok {
			continue
		}
		var body completion
		require.NoError(t, json.Unmarshal([]byte(data), &body))
		text += body.Choices[0].Text
		n--
	}
	for events.Scan() && events.Text() != "" {
		continue
	}
	require.Zero(t, n, "the stream ended early")
	return text
}

func TestDisconnectAndCancelStopUnaryRequests(t *testing.T) {
	te := newTestEngine(t, Config{MaxColdInFlight: 8})
	ctx, disconnect := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, te.server.URL+"/v1/chat/completions",
		strings.NewReader(`{"messages":[{"role":"user","content":"hi"}],"max_tokens":100}`))
	require.NoError(t, err)
	request.Header.Set(RequestIDHeader, "gone")
	answered := make(chan error)
	go func() {
		_, err := te.server.Client().Do(request)
		answered <- err
	}()
	te.advanceSteps(1)
	te.engine.mu.Lock()
	abandoned := te.engine.byID["gone"]
	te.engine.mu.Unlock()
	disconnect()
	require.Error(t, <-answered)
	for progress := te.engine.snapshot(abandoned); progress.state != stateFailed; progress = te.engine.snapshot(abandoned) {
		<-progress.changed
	}
	require.Zero(t, te.engine.InFlight())
	require.EqualValues(t, 1, te.engine.Counters().Cancelled)

	seq, err := te.submit("c", "to cancel", 50)
	require.NoError(t, err)
	done, err := te.api.CancelRequest(context.Background(), engineapi.CancelRequestParams{ID: "c"})
	require.NoError(t, err)
	require.True(t, done.Found)
	require.ErrorIs(t, te.waitFinished(seq).err, ErrCancelled)
}

func TestOrderFencing(t *testing.T) {
	table := []struct {
		desc   string
		ignore bool
		role   string
		stale  int64
	}{
		{"fencing on: the stale order is rejected", false, "decode", 0},
		{"fencing ignored: the stale order takes effect and is counted", true, "prefill", 1},
	}
	for _, row := range table {
		t.Run(row.desc, func(t *testing.T) {
			te := newTestEngine(t, Config{IgnoreFencing: row.ignore})
			ctx := context.Background()
			order := &engineapi.EngineOrder{Kind: engineapi.EngineOrderKindChangeRole, Value: "decode"}
			_, err := te.api.PlaceOrder(ctx, order, engineapi.PlaceOrderParams{XEpoch: 7})
			require.NoError(t, err)
			order.Value = "prefill"
			_, err = te.api.PlaceOrder(ctx, order, engineapi.PlaceOrderParams{XEpoch: 6})
			var failed *engineapi.FailureStatusCode
			if !row.ignore {
				require.ErrorAs(t, err, &failed)
				require.Equal(t, engineapi.ErrorBodyTypeStaleEpoch, failed.Response.Type)
			}
			status, err := te.api.GetStatus(ctx)
			require.NoError(t, err)
			require.Equal(t, row.role, status.Role)
			require.Equal(t, row.stale, te.engine.Counters().StaleOrders)
		})
	}
}

func TestLoadReportLagAndDelayedCacheEvents(t *testing.T) {
	te := newTestEngine(t, Config{MaxColdInFlight: 8, LoadLag: time.Second, EventLag: time.Second, EventLossInterval: 3})
	ctx := context.Background()
	te.engine.SetStalled(true)
	_, err := te.submit("a", strings.Repeat("y", 4*blockBytes), 5)
	require.NoError(t, err)
	status, err := te.api.GetStatus(ctx)
	require.NoError(t, err)
	require.Zero(t, status.Waiting)
	list, err := te.api.ListInFlight(ctx)
	require.NoError(t, err)
	require.Len(t, list.Requests, 1, "the in-flight list must not lag")
	te.clock.Advance(time.Second)
	status, err = te.api.GetStatus(ctx)
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, status.InFlight)

	te.engine.SetStalled(false)
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	require.NoError(t, te.clock.BlockUntilContext(ctx, 1))
	events, err := te.api.ListCacheEvents(ctx, engineapi.ListCacheEventsParams{})
	require.NoError(t, err)
	require.Empty(t, events.Events)
	te.clock.Advance(time.Second)
	events, err = te.api.ListCacheEvents(ctx, engineapi.ListCacheEventsParams{After: 1})
	require.NoError(t, err)
	require.Len(t, events.Events, 2, "of 4 events, the first is excluded by After and the third is lost")
	require.EqualValues(t, 4, events.Published)

	other := newTestEngine(t, Config{})
	exported, err := te.api.ExportKV(ctx, &engineapi.ExportKVReq{Blocks: []string{}})
	require.NoError(t, err)
	taken, err := other.api.ImportKV(ctx, engineapi.ImportKVReq{Data: exported})
	require.NoError(t, err)
	require.Equal(t, 4, taken.Blocks)
}
