package systemtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/daemon/dev"
)

// examplePortBases holds the first port of each example's port range.
var examplePortBases = map[string]int{"himal": 21000, "kowalczyk": 23000}

const (
	portSpan              = 1000
	startTimeout          = 60 * time.Second
	readinessPollInterval = 50 * time.Millisecond
)

// fleet runs an example deployment as separate processes.
type fleet struct {
	t         *testing.T
	example   string
	binaries  string
	directory string
	portBase  int
	standins  *dev.Standins
	processes map[string]*exec.Cmd
	// domainCrashChats counts the chats sent while a failure domain restarts.
	domainCrashChats chatCounts
}

// startFleet builds the programs and starts every process of an example.
func startFleet(t *testing.T, example string) *fleet {
	t.Helper()
	return startFleetWith(t, example, func(*fleet) {})
}

// startFleetWith is startFleet with a change of the agents' settings.
func startFleetWith(t *testing.T, example string, change func(*fleet)) *fleet {
	t.Helper()
	f := &fleet{
		t: t, example: example, binaries: buildPrograms(t), directory: t.TempDir(),
		processes: map[string]*exec.Cmd{},
	}
	f.portBase = freePortBase(t)
	f.copySettings()
	var err error
	f.standins, err = dev.StartStandins(f.directory)
	require.NoError(t, err)
	t.Cleanup(f.stop)
	change(f)
	for _, file := range f.settingsFiles("agent-*.ini") {
		f.start("verbenaseam-agent", file)
	}
	for _, file := range f.settingsFiles("entry-*.ini") {
		f.start("verbenaseam-entry", file)
	}
	return f
}

const (
	minPortBase = 11000
	maxPortBase = 31000
)

// freePortBase finds a range of free ports below the ephemeral port range. The
// search starts at an offset that depends on the process ID, so that test processes
// running in parallel try different ranges first.
func freePortBase(t *testing.T) int {
	t.Helper()
	const ranges = (maxPortBase - minPortBase) / portSpan
	for i := range ranges {
		base := minPortBase + (os.Getpid()+i)%ranges*portSpan
		if portRangeFree(base) {
			return base
		}
	}
	require.Fail(t, "no free port range")
	return 0
}

// portRangeFree reports whether the ports that the examples use are free in the range
// from base. Of the agents' link, status and engine ports, it checks the first and the
// last.
func portRangeFree(base int) bool {
	for _, offset := range []int{0, 1, 2, 3, 10, 11, 12, 13, 20, 21, 22, 23, 100, 114, 200, 214, 300, 314, 600} {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+offset))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

var portPattern = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)

// copySettings copies the example's settings files, moving the ports to portBase.
func (f *fleet) copySettings() {
	source := filepath.Join("..", "..", "examples", f.example)
	files, err := filepath.Glob(filepath.Join(source, "*.ini"))
	require.NoError(f.t, err)
	for _, file := range files {
		content, err := os.ReadFile(file)
		require.NoError(f.t, err)
		moved := portPattern.ReplaceAllFunc(content, func(match []byte) []byte {
			port, _ := strconv.Atoi(string(match[len("127.0.0.1:"):]))
			return fmt.Appendf(nil, "127.0.0.1:%d", port-examplePortBases[f.example]+f.portBase)
		})
		require.NoError(f.t, os.WriteFile(filepath.Join(f.directory, filepath.Base(file)), moved, 0o600))
	}
}

func (f *fleet) settingsFiles(pattern string) []string {
	files, err := filepath.Glob(filepath.Join(f.directory, pattern))
	require.NoError(f.t, err)
	require.NotEmpty(f.t, files)
	return files
}

func (f *fleet) start(program, settingsFile string) {
	command := exec.Command(filepath.Join(f.binaries, program), "--config", settingsFile)
	stderr := &bytes.Buffer{}
	command.Stderr = stderr
	require.NoError(f.t, command.Start())
	f.t.Cleanup(func() { f.logOutput(settingsFile, stderr) })
	f.processes[filepath.Base(settingsFile)] = command
}

// maxLoggedOutput is how many bytes of a process's log a failed test shows.
const maxLoggedOutput = 4000

// logOutput shows the tail of a terminated process's log if the test has failed.
// It runs after stop has waited for the process.
func (f *fleet) logOutput(settingsFile string, stderr *bytes.Buffer) {
	if !f.t.Failed() || stderr.Len() == 0 {
		return
	}
	content := stderr.Bytes()
	f.t.Logf("%s: %s", filepath.Base(settingsFile), content[max(0, len(content)-maxLoggedOutput):])
}

// terminate sends SIGTERM to a process and returns a channel that receives the
// result of Wait.
func (f *fleet) terminate(name string) <-chan error {
	command := f.processes[name]
	delete(f.processes, name)
	require.NoError(f.t, command.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	return ended
}

func (f *fleet) stop() {
	for _, command := range f.processes {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	f.standins.Stop()
}

// mustRunTool runs the operator's command-line tool and requires success.
func (f *fleet) mustRunTool(arguments ...string) string {
	f.t.Helper()
	all := append([]string{"--config", filepath.Join(f.directory, "operator.ini")}, arguments...)
	output, err := exec.Command(filepath.Join(f.binaries, "verbenaseam"), all...).CombinedOutput()
	require.NoError(f.t, err, string(output))
	return string(output)
}

// url returns the URL of the example's port at the given offset.
func (f *fleet) url(offset int) string { return fmt.Sprintf("http://127.0.0.1:%d", f.portBase+offset) }

// awaitReady waits until /readyz at a port offset answers 200.
func (f *fleet) awaitReady(offset int) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	ticker := time.NewTicker(readinessPollInterval)
	defer ticker.Stop()
	for {
		response, err := http.Get(f.url(offset) + "/readyz")
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			require.Fail(f.t, "not ready", "port offset %d", offset)
		}
	}
}
