package systemtest

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform/standin"
)

const (
	// outageDuration exceeds the duration of every lease between processes.
	outageDuration = 4 * time.Second
	// maxRefusalLatency is half of the orders' timeout: a refusal must not wait for the
	// platform.
	maxRefusalLatency = 5 * time.Second
	// maxLostReplies is the highest number of replies lost for one order. A lost reply
	// may hit the write of a lease instead, so several orders are sent.
	maxLostReplies = 3
)

// newRequestTo creates a caller's request to the given entry.
func (l *localSystem) newRequestTo(entry int, method, path, key string, body []byte) *http.Request {
	request, err := http.NewRequest(method, l.Description.Entries[entry]+path, bytes.NewReader(body))
	require.NoError(l.t, err)
	request.Header.Set("Authorization", "Bearer "+l.key)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return request
}

// callOperatorAPI calls the operator API of an entry and returns the status, body
// and ETag.
func (l *localSystem) callOperatorAPI(entry int, method, path string, header map[string]string, body string) (int, []byte, string) {
	l.t.Helper()
	request, err := http.NewRequest(method, l.operatorURL(entry)+path, strings.NewReader(body))
	require.NoError(l.t, err)
	request.Header.Set("Authorization", "Bearer "+l.Description.OperatorKey)
	request.Header.Set("Content-Type", "text/plain")
	if strings.HasPrefix(path, "/v1/domains/") {
		request.Header.Set("Content-Type", "application/json")
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(l.t, err)
	defer func() { _ = response.Body.Close() }()
	var content bytes.Buffer
	_, err = content.ReadFrom(response.Body)
	require.NoError(l.t, err)
	return response.StatusCode, content.Bytes(), response.Header.Get("ETag")
}

// operatorURL returns the URL of an entry's operator API. The operator ports start
// ten ports above the first entry's caller port and are numbered like the entries.
func (l *localSystem) operatorURL(entry int) string {
	var port int
	_, err := fmt.Sscanf(l.Description.Operator, "http://127.0.0.1:%d", &port)
	require.NoError(l.t, err)
	return fmt.Sprintf("http://127.0.0.1:%d", port+entry)
}

// setDomain sets the state of a failure domain, out or in.
func (l *localSystem) setDomain(entry int, name, state string) (int, []byte) {
	l.t.Helper()
	status, body, _ := l.callOperatorAPI(entry, http.MethodPut, "/v1/domains/"+name+"/state", nil, fmt.Sprintf(`{"state":%q}`, state))
	return status, body
}

// checkLookupAndChat sends one lookup and one chat to an entry and requires that both
// succeed.
func (l *localSystem) checkLookupAndChat(entry, number int) {
	l.t.Helper()
	status, _, body, err := send(l.newRequestTo(entry, http.MethodGet, "/stock?item=rose", "", nil))
	require.NoError(l.t, err)
	require.Equal(l.t, http.StatusOK, status, string(body))
	chat := l.chatBody(fmt.Sprintf("moisture %d", number), shortAnswerTokens, false)
	status, _, body, err = send(l.newRequestTo(entry, http.MethodPost, "/v1/chat/completions", "", chat))
	require.NoError(l.t, err)
	require.Equal(l.t, http.StatusOK, status, string(body))
}

// TestPlatformOutage makes the platform unavailable. Lookups and chats must still be
// served. Orders and operators' changes must be refused without waiting, with the
// outcome not-run.
func TestPlatformOutage(t *testing.T) {
	l := startLocalSystem(t)
	l.Platform.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	start := time.Now()
	for number := 0; time.Since(start) < outageDuration; number++ {
		l.checkLookupAndChat(number%entryCount, number)
	}
	for entry := range entryCount {
		body := fmt.Sprintf(`{"refused":%d}`, entry)
		sent := time.Now()
		status, outcome, answer, err := send(l.newRequestTo(entry, http.MethodPost, "/orders", "outage-"+body, []byte(body)))
		require.NoError(t, err)
		require.Less(t, time.Since(sent), maxRefusalLatency)
		require.Equal(t, http.StatusServiceUnavailable, status, string(answer))
		require.Equal(t, "not-run", outcome)
		kind, _ := parseErrorBody(t, answer)
		require.Equal(t, "platform_unavailable", kind)
		status, answer = l.setDomain(entry, "patan", "out")
		require.Equal(t, http.StatusServiceUnavailable, status, string(answer))
		kind, outcome = parseErrorBody(t, answer)
		require.Equal(t, "platform_unavailable", kind)
		require.Equal(t, "not-run", outcome)
	}
	require.Zero(t, l.RunCounter.Runs())
	l.Platform.SetFaults(standin.StoreFaults{})
	l.checkRecovered()
}

func (l *localSystem) checkRecovered() {
	l.t.Helper()
	for entry := range entryCount {
		body := []byte(fmt.Sprintf(`{"after":%d}`, entry))
		status, outcome, answer, err := send(l.newRequestTo(entry, http.MethodPost, "/orders", string(body), body))
		require.NoError(l.t, err)
		require.Equal(l.t, http.StatusOK, status, string(answer))
		require.Equal(l.t, "done", outcome)
		require.Equal(l.t, 1, l.RunCounter.RunsWithBody(string(body)))
		l.checkLookupAndChat(entry, entry)
	}
	for _, state := range []string{"out", "in"} {
		status, answer := l.setDomain(0, "patan", state)
		require.Equal(l.t, http.StatusOK, status, string(answer))
	}
}

// TestOrderRunsOnceWhenRepliesAreLost drops replies of the platform after the writes
// took effect. The order must run once, and every repeat must get the same answer.
func TestOrderRunsOnceWhenRepliesAreLost(t *testing.T) {
	l := startLocalSystem(t)
	for number := range 3 * maxLostReplies {
		l.checkOrderWithLostReplies(number, 1+number%maxLostReplies)
	}
}

// checkOrderWithLostReplies sends one order twice through every entry while the
// platform loses replies.
func (l *localSystem) checkOrderWithLostReplies(number, lostReplies int) {
	l.t.Helper()
	body := []byte(fmt.Sprintf(`{"lost":%d}`, number))
	l.Platform.SetFaults(standin.StoreFaults{LostResponses: lostReplies})
	defer l.Platform.SetFaults(standin.StoreFaults{})
	answers := map[string]int{}
	for repeat := range 2 * entryCount {
		status, outcome, answer, err := send(l.newRequestTo(repeat%entryCount, http.MethodPost, "/orders", string(body), body))
		require.NoError(l.t, err)
		if status == http.StatusOK {
			require.Equal(l.t, "done", outcome)
			answers[string(answer)]++
		}
	}
	require.Equal(l.t, 1, l.RunCounter.RunsWithBody(string(body)), "%d replies lost", lostReplies)
	require.Len(l.t, answers, 1, "%d replies lost", lostReplies)
	for _, count := range answers {
		require.GreaterOrEqual(l.t, count, entryCount, "%d replies lost", lostReplies)
	}
}

// TestChangeIsAppliedOnceWhenReplyIsLost drops the platform's reply to the write of an
// operator's change. The change must be applied once, and its repeat through another
// entry must return the same version.
func TestChangeIsAppliedOnceWhenReplyIsLost(t *testing.T) {
	l := startLocalSystem(t)
	_, tables, tag := l.callOperatorAPI(0, http.MethodGet, "/v1/tables", nil, "")
	changed := string(tables) + extraRoute(0)
	header := map[string]string{"If-Match": tag, "X-Change-Id": "change-with-lost-reply"}
	l.Platform.SetFaults(standin.StoreFaults{LostResponses: 1})
	status, first, _ := l.callOperatorAPI(0, http.MethodPut, "/v1/tables", header, changed)
	require.Equal(t, http.StatusOK, status, string(first))
	status, second, _ := l.callOperatorAPI(1, http.MethodPut, "/v1/tables", header, changed)
	require.Equal(t, http.StatusOK, status, string(second))
	require.JSONEq(t, string(first), string(second))
	_, _, changedTag := l.callOperatorAPI(2, http.MethodGet, "/v1/tables", nil, "")
	require.Equal(t, parseETagVersion(t, tag)+1, parseETagVersion(t, changedTag))
}
