package systemtest

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/stretchr/testify/require"
)

const leavingTarget = "advice-1"

// checkTargetLeave makes a target leave through the operator's tool and checks that it
// gets no new work. It then replaces the target: it restarts the agent and the engine,
// and puts the target back into the tables.
func (f *fleet) checkTargetLeave() {
	out := f.mustRunTool("target", "leave", leavingTarget)
	require.Contains(f.t, out, "in force on all")
	started := f.startedRequests(leavingTarget)
	f.checkChats("after the leave", 3*entryCount)
	require.Equal(f.t, started, f.startedRequests(leavingTarget), "work was started at a target that had left")

	agent := "agent-" + leavingTarget + ".ini"
	require.NoError(f.t, <-f.terminate(agent))
	f.standins.Engines[leavingTarget].Restart()
	f.restart(agent)
	f.replaceTarget()
}

// replaceTarget puts the target back into the tables and waits until it gets work.
func (f *fleet) replaceTarget() {
	version, file := f.writeTablesWithout("leaving")
	f.mustRunTool("tables", "apply", file, "--expect-version", version)
	f.awaitReady(agentStatusOffset)
	started := f.startedRequests(leavingTarget)
	round := 0
	require.Eventually(f.t, func() bool {
		round++
		f.checkChats(fmt.Sprintf("replacement, round %d", round), 2*entryCount)
		return f.startedRequests(leavingTarget) > started
	}, conditionTimeout, conditionPollInterval)
	require.Zero(f.t, f.overloads())
}

// writeTablesWithout writes the tables in force to a file, omitting the lines of a key,
// and returns their version and the file name.
func (f *fleet) writeTablesWithout(key string) (version, file string) {
	kept := []string{}
	for line := range strings.Lines(f.mustRunTool("tables", "get")) {
		if tag, found := strings.CutPrefix(line, "; version "); found {
			version = strings.Trim(strings.TrimSpace(tag), `"`)
		}
		if !strings.HasPrefix(line, key) {
			kept = append(kept, line)
		}
	}
	file = filepath.Join(f.t.TempDir(), "tables.ini")
	require.NoError(f.t, os.WriteFile(file, []byte(strings.Join(kept, "")), 0o600))
	return version, file
}

// checkChats sends chats through all entries, one at a time per entry, and requires
// that all succeed.
func (f *fleet) checkChats(prompt string, count int) {
	f.t.Helper()
	for first := 0; first < count; first += entryCount {
		pending := []<-chan chatResult{}
		for i := range entryCount {
			pending = append(pending, f.startChat(i, fmt.Sprintf("%s, %d", prompt, first+i), shortAnswerTokens, false))
		}
		for _, chat := range pending {
			result := <-chat
			require.NoError(f.t, result.err)
			require.Equal(f.t, http.StatusOK, result.status, string(result.content))
		}
	}
}
