package systemtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	enginestandin "verbenaseam.example/verbenaseam/internal/standin/engine"
)

const (
	entryCount = 4
	agentCount = 15
	// entryStatusOffset and agentStatusOffset are the offsets of the first status port
	// of the entries and of the agents in an example's port range.
	entryStatusOffset = 10
	agentStatusOffset = 200
	longAnswerTokens  = 150
)

// callerKeys holds the API key of one organisation of each example.
var callerKeys = map[string]string{
	"himal": "example-key-of-sorters", "kowalczyk": "example-key-of-drivers",
}

func (f *fleet) newRequest(method, url string, body []byte, key string) *http.Request {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+callerKeys[f.example])
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return request
}

// send sends a request and returns the status, the outcome header and the body of the
// response.
func send(request *http.Request) (int, string, []byte, error) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("X-Verbenaseam-Outcome"), body, err
}

// openStream starts a long chat stream at an entry and returns a channel that
// receives nil once the stream has ended with the complete answer, or an error.
func (f *fleet) openStream(entry, number int) <-chan error {
	prompt := fmt.Sprintf("moisture of batch %d", number)
	body, err := json.Marshal(enginestandin.Request{
		Model: "petal-advice", Stream: true, MaxTokens: longAnswerTokens,
		Messages: []enginestandin.Message{{Role: "user", Content: prompt}},
	})
	require.NoError(f.t, err)
	response, err := http.DefaultClient.Do(f.newRequest(http.MethodPost, f.url(entry)+"/v1/chat/completions", body, ""))
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, response.StatusCode)
	ended := make(chan error, 1)
	go func() {
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		if err == nil && !isCompleteAnswer(prompt, content) {
			err = fmt.Errorf("stream %d is incomplete: ...%s", number, content[max(0, len(content)-200):])
		}
		ended <- err
	}()
	return ended
}

// isCompleteAnswer reports whether the events of a stream hold the complete answer of
// longAnswerTokens tokens to the prompt, followed by [DONE].
func isCompleteAnswer(prompt string, events []byte) bool {
	var text strings.Builder
	for line := range strings.Lines(string(events)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return enginestandin.CheckAnswer("user: "+prompt+"\n", longAnswerTokens, text.String())
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) == 1 {
			text.WriteString(event.Choices[0].Delta.Content)
		}
	}
	return false
}

// TestSeparateProcesses starts the programs from the example settings, applies the
// tables, sends lookups and orders, and stops processes with SIGTERM while streams
// are open. No stream may be cut off.
func TestSeparateProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 19 processes")
	}
	f := startFleet(t, "himal")
	for i := range entryCount {
		f.awaitReady(entryStatusOffset + i)
	}
	applied := f.mustRunTool("tables", "apply", f.directory+"/tables.ini", "--expect-version", "0")
	require.Contains(t, applied, "in force on all 19 processes")
	for i := range agentCount {
		f.awaitReady(agentStatusOffset + i)
	}
	f.checkLookupsAndOrders()
	f.checkGracefulStop()
}

func (f *fleet) checkLookupsAndOrders() {
	for i := range entryCount {
		status, outcome, body, err := send(f.newRequest(http.MethodGet, f.url(i)+"/stock?item=rose", nil, ""))
		require.NoError(f.t, err)
		require.Equal(f.t, http.StatusOK, status, string(body))
		require.Equal(f.t, "done", outcome)
	}
	var first []byte
	for i := range entryCount {
		status, outcome, body, err := send(f.newRequest(http.MethodPost, f.url(i)+"/orders", []byte(`{"release":1}`), "kiln-7"))
		require.NoError(f.t, err)
		require.Equal(f.t, http.StatusOK, status, string(body))
		require.Equal(f.t, "done", outcome)
		if i == 0 {
			first = body
		}
		require.Equal(f.t, string(first), string(body), "entry %d", i+1)
	}
	require.EqualValues(f.t, 1, f.standins.RunCounter.Runs())
	require.Contains(f.t, f.mustRunTool("order", "show", "sorters", "kiln-7"), `"done"`)
	status, _, _, err := send(f.newRequest(http.MethodGet, f.url(0)+"/nowhere", nil, ""))
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusNotFound, status)
}

// checkGracefulStop stops an entry and two agents while streams are open on each.
func (f *fleet) checkGracefulStop() {
	streams := []<-chan error{}
	for i := range 16 {
		streams = append(streams, f.openStream(i%entryCount, i))
	}
	ended := []<-chan error{}
	for _, name := range []string{"entry-1.ini", "agent-advice-1.ini", "agent-advice-2.ini"} {
		ended = append(ended, f.terminate(name))
	}
	for _, stream := range streams {
		require.NoError(f.t, <-stream)
	}
	for _, end := range ended {
		require.NoError(f.t, <-end)
	}
	var lookups sync.WaitGroup
	for i := range 6 {
		lookups.Go(func() {
			status, _, body, err := send(f.newRequest(http.MethodGet, f.url(1+i%3)+"/stock?item=rose", nil, ""))
			if err != nil || status != http.StatusOK {
				f.t.Errorf("lookup after the stop: status %d, error %v, body %s", status, err, body)
			}
		})
	}
	lookups.Wait()
}
