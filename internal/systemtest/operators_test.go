package systemtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/version/table"
)

const concurrentOperators = 8

// extraRoute returns the settings of an additional route for the tables of a
// localSystem.
func extraRoute(number int) string {
	return fmt.Sprintf("\n[route extra-%d]\npath = /extra-%d\npool = stock\npriority = %d\ntimeout = 5s\nidempotent = true\ndefault_class = normal\n",
		number, number, 100+number)
}

func parseETagVersion(t *testing.T, tag string) int64 {
	version, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
	require.NoError(t, err)
	return version
}

// versionWatch polls the version in force at every entry and records each decrease
// or failed poll.
type versionWatch struct {
	l        *localSystem
	stop     chan struct{}
	watchers sync.WaitGroup
	// mu guards regressions and polls.
	mu          sync.Mutex
	regressions []string
	polls       int
}

func (l *localSystem) watchVersions() *versionWatch {
	w := &versionWatch{l: l, stop: make(chan struct{})}
	for entry := range entryCount {
		w.watchers.Go(func() { w.watch(entry) })
	}
	return w
}

func (w *versionWatch) watch(entry int) {
	highest := int64(0)
	for {
		version, err := w.l.version(entry)
		w.mu.Lock()
		w.polls++
		if err != nil || version < highest {
			w.regressions = append(w.regressions, fmt.Sprintf("entry %d: %d after %d, %v", entry, version, highest, err))
		}
		w.mu.Unlock()
		highest = max(highest, version)
		select {
		case <-w.stop:
			return
		default:
		}
	}
}

// finish stops polling and returns the recorded regressions and the number of polls.
func (w *versionWatch) finish() ([]string, int) {
	close(w.stop)
	w.watchers.Wait()
	return w.regressions, w.polls
}

// version returns the version in force at an entry.
func (l *localSystem) version(entry int) (int64, error) {
	request, err := http.NewRequest(http.MethodGet, l.operatorURL(entry)+"/status", nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+l.Description.OperatorKey)
	_, _, body, err := send(request)
	if err != nil {
		return 0, err
	}
	var status struct{ Version int64 }
	err = json.Unmarshal(body, &status)
	return status.Version, err
}

// awaitVersion waits until at least the given version is in force at every entry.
func (l *localSystem) awaitVersion(minimum int64) {
	l.t.Helper()
	require.Eventually(l.t, func() bool {
		for entry := range entryCount {
			if version, err := l.version(entry); err != nil || version < minimum {
				return false
			}
		}
		return true
	}, conditionTimeout, conditionPollInterval)
}

// changeResponse is the response to one operator's change.
type changeResponse struct {
	status int
	body   []byte
}

// TestConcurrentChangesToOneVersion submits concurrent changes based on the same
// version through every entry. Exactly one must be accepted, and the conflict
// responses must show the accepted change.
func TestConcurrentChangesToOneVersion(t *testing.T) {
	l := startLocalSystem(t)
	watch := l.watchVersions()
	for round := range 3 {
		_, tables, tag := l.callOperatorAPI(0, http.MethodGet, "/v1/tables", nil, "")
		responses := make([]changeResponse, concurrentOperators)
		var changes sync.WaitGroup
		for i := range concurrentOperators {
			changes.Go(func() {
				changed := string(tables) + extraRoute(round*concurrentOperators+i)
				status, body, _ := l.callOperatorAPI(i%entryCount, http.MethodPut, "/v1/tables", map[string]string{"If-Match": tag}, changed)
				responses[i] = changeResponse{status, body}
			})
		}
		changes.Wait()
		l.checkOneAccepted(responses, round*concurrentOperators)
		l.awaitVersion(parseETagVersion(t, tag) + 1)
		for entry := range entryCount {
			version, err := l.version(entry)
			require.NoError(t, err)
			require.Equal(t, parseETagVersion(t, tag)+1, version)
		}
	}
	regressions, polls := watch.finish()
	require.Empty(t, regressions)
	require.NotZero(t, polls)
}

func (l *localSystem) checkOneAccepted(responses []changeResponse, firstRoute int) {
	l.t.Helper()
	accepted := -1
	for i, response := range responses {
		if response.status == http.StatusOK {
			require.Equal(l.t, -1, accepted, "two changes based on the same version were accepted")
			accepted = i
		}
	}
	require.NotEqual(l.t, -1, accepted, "no change was accepted")
	for i, response := range responses {
		if i == accepted {
			continue
		}
		require.Equal(l.t, http.StatusPreconditionFailed, response.status, string(response.body))
		kind, outcome := parseErrorBody(l.t, response.body)
		require.Equal(l.t, "version_conflict", kind)
		require.Equal(l.t, "not-run", outcome)
		var parsed struct{ Error struct{ Lines []string } }
		require.NoError(l.t, json.Unmarshal(response.body, &parsed))
		require.Contains(l.t, strings.Join(parsed.Error.Lines, "\n"), fmt.Sprintf("extra-%d", firstRoute+accepted))
	}
}

// TestConcurrentChangesToDifferentDomains takes failure domains out and in
// concurrently through different entries. Every change must take effect.
func TestConcurrentChangesToDifferentDomains(t *testing.T) {
	l := startLocalSystem(t)
	watch := l.watchVersions()
	rounds := []map[string]string{
		{"thamel": "out", "patan": "out"},
		{"thamel": "in", "patan": "in", "bhaktapur": "out"},
		{"thamel": "out", "bhaktapur": "in"},
	}
	want := map[string]string{}
	for _, round := range rounds {
		var changes sync.WaitGroup
		entry := 0
		for domain, state := range round {
			through := entry
			entry++
			want[domain] = state
			changes.Go(func() {
				status, body := l.setDomain(through, domain, state)
				if status != http.StatusOK {
					t.Errorf("%s %s: %d %s", domain, state, status, body)
				}
			})
		}
		changes.Wait()
		_, tables, tag := l.callOperatorAPI(3, http.MethodGet, "/v1/tables", nil, "")
		l.awaitVersion(parseETagVersion(t, tag))
		parsed, err := table.Parse(strings.NewReader(string(tables)), "tables")
		require.NoError(t, err)
		for domain, state := range want {
			require.Equal(t, state == "out", parsed.Domains[domain].Out, domain)
		}
		l.checkLookupAndChat(0, 0)
	}
	regressions, _ := watch.finish()
	require.Empty(t, regressions)
}
