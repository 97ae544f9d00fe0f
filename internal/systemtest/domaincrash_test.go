package systemtest

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/stretchr/testify/require"
)

// knownFailuresFile lists the tests that fail because of a known fault.
const knownFailuresFile = "../../KNOWN-RED.txt"

// maxKnownFailedChats is the highest number of failed chats per run that has been
// observed with the known fault. More indicates a new fault.
const maxKnownFailedChats = 1

const (
	domainCrashCallers = 24
	chatsPerCaller     = 6
)

// thamelTargets are the model targets in the failure domain thamel of the himal
// example.
var thamelTargets = []string{"advice-1", "advice-4", "advice-7", "advice-10"}

// chatCounts counts the outcomes of chats under load. A lost chat ended without a
// complete HTTP response.
type chatCounts struct {
	answered, failed, lost atomic.Int64
}

// checkDomainCrash restarts all engines of a failure domain at once under load.
// No engine may be overloaded while it is cold, no call may be lost, and all
// lookups must succeed.
func (f *fleet) checkDomainCrash() {
	for _, engine := range f.standins.Engines {
		engine.SetWarm()
	}
	counts := &f.domainCrashChats
	var callers sync.WaitGroup
	for caller := range domainCrashCallers {
		callers.Go(func() { f.sendChats(caller, counts) })
	}
	completed := func() int64 { return counts.answered.Load() + counts.failed.Load() }
	require.Eventually(f.t, func() bool { return completed() > domainCrashCallers*chatsPerCaller/4 }, startTimeout, conditionPollInterval)
	for _, target := range thamelTargets {
		f.standins.Engines[target].Restart()
	}
	for i := range 5 * entryCount {
		status, _, body, err := send(f.newRequest(http.MethodGet, f.url(i%entryCount)+"/stock?item=rose", nil, ""))
		require.NoError(f.t, err)
		require.Equal(f.t, http.StatusOK, status, string(body))
	}
	callers.Wait()
	require.Zero(f.t, f.overloads(), "a cold engine was overloaded")
	require.Zero(f.t, counts.lost.Load(), "calls without a complete response")
	f.t.Logf("%d chats answered", counts.answered.Load())
}

// checkDomainCrashChatsAnswered requires that every chat of checkDomainCrash was
// answered: chats are idempotent, and the other failure domains have capacity.
// Up to maxKnownFailedChats failures are tolerated while the test is listed in
// knownFailuresFile.
func (f *fleet) checkDomainCrashChatsAnswered() {
	failed := f.domainCrashChats.failed.Load()
	require.EqualValues(f.t, domainCrashCallers*chatsPerCaller, f.domainCrashChats.answered.Load()+failed)
	content, err := os.ReadFile(knownFailuresFile)
	known := err == nil && strings.Contains(string(content), f.t.Name())
	if known && failed > 0 && failed <= maxKnownFailedChats {
		f.t.Logf("KNOWN RED: %s: %d idempotent chats failed", f.t.Name(), failed)
		return
	}
	require.Zero(f.t, failed, "idempotent chats failed")
}

func (f *fleet) sendChats(caller int, counts *chatCounts) {
	for number := range chatsPerCaller {
		prompt := fmt.Sprintf("under load %d %d", caller, number)
		result := <-f.startChat((caller+number)%entryCount, prompt, 4*shortAnswerTokens, false)
		switch {
		case result.err != nil:
			counts.lost.Add(1)
		case result.status == http.StatusOK:
			counts.answered.Add(1)
		default:
			counts.failed.Add(1)
			f.t.Logf("caller %d: %d %s", caller, result.status, result.content)
		}
	}
}
