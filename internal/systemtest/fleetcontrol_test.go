package systemtest

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	conditionTimeout      = 30 * time.Second
	conditionPollInterval = 10 * time.Millisecond
)

// makeReady applies the example's tables and waits until every process is ready.
func (f *fleet) makeReady() {
	f.t.Helper()
	for i := range entryCount {
		f.awaitReady(entryStatusOffset + i)
	}
	f.mustRunTool("tables", "apply", f.directory+"/tables.ini", "--expect-version", "0")
	for i := range agentCount {
		f.awaitReady(agentStatusOffset + i)
	}
	for i := range entryCount {
		f.awaitLookup(i)
	}
}

// awaitLookup waits until an entry answers a lookup.
func (f *fleet) awaitLookup(entry int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		status, _, _, err := send(f.newRequest(http.MethodGet, f.url(entry)+"/stock?item=rose", nil, ""))
		return err == nil && status == http.StatusOK
	}, conditionTimeout, conditionPollInterval)
}

func (f *fleet) signal(name string, signal syscall.Signal) {
	f.t.Helper()
	require.NoError(f.t, f.processes[name].Process.Signal(signal))
}

// kill sends SIGKILL to a process and reaps it.
func (f *fleet) kill(name string) {
	f.t.Helper()
	command := f.processes[name]
	delete(f.processes, name)
	require.NoError(f.t, command.Process.Kill())
	_ = command.Wait()
}

// restart starts a process of the example again after it has ended.
func (f *fleet) restart(name string) {
	f.t.Helper()
	program := "verbenaseam-entry"
	if strings.HasPrefix(name, "agent-") {
		program = "verbenaseam-agent"
	}
	f.start(program, filepath.Join(f.directory, name))
}

// runTool runs the operator's command-line tool and returns its output, also if it
// fails.
func (f *fleet) runTool(arguments ...string) (string, error) {
	all := append([]string{"--config", filepath.Join(f.directory, "operator.ini")}, arguments...)
	output, err := exec.Command(filepath.Join(f.binaries, "verbenaseam"), all...).CombinedOutput()
	return string(output), err
}

// startedRequests counts the requests started by the engines of the given targets.
func (f *fleet) startedRequests(targets ...string) int64 {
	count := int64(0)
	for _, target := range targets {
		count += f.standins.Engines[target].Counters().Started
	}
	return count
}

func (f *fleet) overloads() int64 {
	count := int64(0)
	for _, engine := range f.standins.Engines {
		count += engine.Counters().OverloadCrashes
	}
	return count
}
