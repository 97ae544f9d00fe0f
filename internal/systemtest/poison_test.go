package systemtest

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/daemon/dev"
)

// engineCrashes counts the crashes of all engines.
func (l *localSystem) engineCrashes() int64 {
	total := int64(0)
	for _, engine := range l.Engines {
		total += engine.Counters().Crashes
	}
	return total
}

// chatFailureKind sends a short chat to an entry and returns the kind of its failure,
// or an empty string if it was answered.
func (l *localSystem) chatFailureKind(entry int, prompt string) string {
	body := l.chatBody(prompt, 2, false)
	request, err := http.NewRequest(http.MethodPost, l.Description.Entries[entry]+"/v1/chat/completions", bytes.NewReader(body))
	require.NoError(l.t, err)
	request.Header.Set("Authorization", "Bearer "+l.key)
	status, _, answer, err := send(request)
	require.NoError(l.t, err)
	if status == http.StatusOK {
		return ""
	}
	kind, _ := parseErrorBody(l.t, answer)
	return kind
}

// TestPoisonRequestCrashesAtMostTwoEngines repeatedly sends a request that crashes any
// engine running it, to all entries in turn. Every entry must reject it as poisoned
// after at most two crashes in total, and other requests must still be served.
func TestPoisonRequestCrashesAtMostTwoEngines(t *testing.T) {
	const marker = "rotten-petal"
	l := startLocalSystemWith(t, dev.Config{PoisonMarker: marker})
	rejected := map[int]bool{}
	deadline := time.Now().Add(60 * time.Second)
	for i := 0; len(rejected) < len(l.Description.Entries); i++ {
		require.True(t, time.Now().Before(deadline), "only entries %v rejected the request, %d crashes", rejected, l.engineCrashes())
		entry := i % len(l.Description.Entries)
		if l.chatFailureKind(entry, marker) == "request_poisoned" {
			rejected[entry] = true
		}
		require.LessOrEqual(t, l.engineCrashes(), int64(2))
	}
	for i := range 8 {
		require.Empty(t, l.chatFailureKind(i%len(l.Description.Entries), fmt.Sprintf("harmless %d", i)))
	}
	require.LessOrEqual(t, l.engineCrashes(), int64(2))
}
