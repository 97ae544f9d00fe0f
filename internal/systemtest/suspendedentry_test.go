package systemtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	enginestandin "verbenaseam.example/verbenaseam/internal/standin/engine"
)

const (
	serviceDelay      = 30 * time.Millisecond
	suspendedEntry    = 2
	queuedChats       = 12
	shortAnswerTokens = 8
)

// patanTargets are the model targets in the failure domain patan of the himal example.
var patanTargets = []string{"advice-2", "advice-5", "advice-8", "advice-11"}

// chatResult is the outcome of a chat.
type chatResult struct {
	status  int
	outcome string
	content []byte
	err     error
	prompt  string
}

// startChat sends a chat and returns a channel that receives its result.
func (f *fleet) startChat(entry int, prompt string, tokens int, stream bool) <-chan chatResult {
	body, err := json.Marshal(enginestandin.Request{
		Model: "petal-advice", Stream: stream, MaxTokens: tokens,
		Messages: []enginestandin.Message{{Role: "user", Content: prompt}},
	})
	require.NoError(f.t, err)
	request := f.newRequest(http.MethodPost, f.url(entry)+"/v1/chat/completions", body, "")
	ended := make(chan chatResult, 1)
	go func() { ended <- readChatResult(request, prompt) }()
	return ended
}

func readChatResult(request *http.Request, prompt string) chatResult {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return chatResult{err: err, prompt: prompt}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return chatResult{
		status: response.StatusCode, outcome: response.Header.Get("X-Verbenaseam-Outcome"),
		content: content, err: err, prompt: prompt,
	}
}

// hasErrorEvent reports whether a stream was cut off with an error event whose
// outcome is unknown.
func (r chatResult) hasErrorEvent() bool {
	return r.err != nil && bytes.Contains(r.content, []byte(`"error"`)) && bytes.Contains(r.content, []byte(`"unknown"`))
}

// checkSuspendedEntry suspends an entry (SIGSTOP) with open streams, takes a failure
// domain out meanwhile, and resumes the entry with calls queued at its socket. The
// entry must not start work in that failure domain.
func (f *fleet) checkSuspendedEntry() {
	streams := []<-chan chatResult{}
	for i := range entryCount * 2 {
		streams = append(streams, f.startChat(suspendedEntry, fmt.Sprintf("suspended stream %d", i), longAnswerTokens, true))
	}
	require.Eventually(f.t, func() bool { return f.inFlight() >= len(streams) }, conditionTimeout, conditionPollInterval)
	name := fmt.Sprintf("entry-%d.ini", suspendedEntry+1)
	f.signal(name, syscall.SIGSTOP)
	suspendedAt := time.Now()
	output, _ := f.runTool("--timeout", "4s", "domain", "out", "patan")
	require.Contains(f.t, output, "accepted")
	queued := []<-chan chatResult{}
	for i := range queuedChats {
		queued = append(queued, f.startChat(suspendedEntry, fmt.Sprintf("queued chat %d", i), shortAnswerTokens, false))
	}
	const suspension = 4 * time.Second
	require.Eventually(f.t, func() bool { return time.Since(suspendedAt) > suspension }, conditionTimeout, conditionPollInterval)
	started := f.startedRequests(patanTargets...)
	f.signal(name, syscall.SIGCONT)
	f.checkQueuedChats(queued)
	f.checkStreams(streams)
	require.Equal(f.t, started, f.startedRequests(patanTargets...), "work was started in a failure domain that is out")
	f.mustRunTool("domain", "in", "patan")
	f.awaitLookup(suspendedEntry)
}

func (f *fleet) inFlight() int {
	count := 0
	for _, engine := range f.standins.Engines {
		count += engine.InFlight()
	}
	return count
}

// checkQueuedChats requires an answer or a typed failure for each call.
func (f *fleet) checkQueuedChats(queued []<-chan chatResult) {
	done := 0
	failures := map[string]int{}
	for _, chat := range queued {
		result := <-chat
		require.NoError(f.t, result.err)
		if result.status == http.StatusOK {
			done++
			require.Contains(f.t, string(result.content), fmt.Sprintf("tokens=%d", shortAnswerTokens))
			continue
		}
		kind, outcome := parseErrorBody(f.t, result.content)
		require.NotEmpty(f.t, kind)
		require.Equal(f.t, result.outcome, outcome)
		failures[kind+" "+outcome]++
	}
	f.t.Logf("%d of %d calls queued at the suspended entry were answered; failures: %v", done, len(queued), failures)
}

// checkStreams requires that each stream is complete or ends with an error event.
func (f *fleet) checkStreams(streams []<-chan chatResult) {
	complete := 0
	for _, stream := range streams {
		result := <-stream
		if result.err == nil && isCompleteAnswer(result.prompt, result.content) {
			complete++
			continue
		}
		require.True(f.t, result.hasErrorEvent(), "%v: ...%s", result.err, result.content[max(0, len(result.content)-200):])
		require.False(f.t, strings.Contains(string(result.content), "[DONE]"))
	}
	f.t.Logf("%d of %d streams were complete", complete, len(streams))
}
