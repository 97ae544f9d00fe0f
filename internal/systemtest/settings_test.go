package systemtest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// exitInvalidSettings is the exit status for invalid settings.
const exitInvalidSettings = 2

// runSettingsCheck runs a daemon with --check and returns its exit status and output.
func runSettingsCheck(t *testing.T, program, file string) (int, string) {
	t.Helper()
	command := exec.Command(filepath.Join(buildPrograms(t), program), "--config", file, "--check")
	output, _ := command.CombinedOutput()
	return command.ProcessState.ExitCode(), string(output)
}

func programFor(file string) string {
	if strings.HasPrefix(filepath.Base(file), "agent-") {
		return "verbenaseam-agent"
	}
	return "verbenaseam-entry"
}

// TestExampleSettingsAreValid checks every agent and entry settings file of the
// examples.
func TestExampleSettingsAreValid(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for example := range examplePortBases {
		checked := 0
		for _, pattern := range []string{"agent-*.ini", "entry-*.ini"} {
			files, err := filepath.Glob(filepath.Join("..", "..", "examples", example, pattern))
			require.NoError(t, err)
			for _, file := range files {
				status, output := runSettingsCheck(t, programFor(file), file)
				require.Zero(t, status, output)
				checked++
			}
		}
		require.Equal(t, entryCount+agentCount, checked, example)
	}
}

// TestInvalidSettingsAreRejected introduces errors into valid settings. The program
// must name the file, section and key, and exit with exitInvalidSettings.
func TestInvalidSettingsAreRejected(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	cases := []struct {
		desc, file, from, to string
		mentions             []string
	}{
		{"no name", "entry-1.ini", "name = entry-1", "", []string{"entry", "name"}},
		{"address without a port", "entry-1.ini", "caller_address = 127.0.0.1:21000", "caller_address = 127.0.0.1", []string{"entry", "caller_address"}},
		{"host name instead of an IP address", "agent-advice-1.ini", "link_address = 127.0.0.1:21100", "link_address = localhost:21100", []string{"agent", "link_address"}},
		{"unknown key", "entry-1.ini", "[platform]", "[platform]\ncolour = red", []string{"platform", "colour"}},
		{"unknown section", "agent-advice-1.ini", "[platform]", "[plattform]\nx = 1\n[platform]", []string{"plattform"}},
		{"unknown kind", "agent-advice-1.ini", "kind = model", "kind = oven", []string{"engine", "kind"}},
		{"duration without a unit", "entry-1.ini", "limit = 60s", "limit = 60", []string{"shutdown", "limit"}},
		{"incomplete TLS section", "entry-1.ini", "[platform]", "[tls]\ncertificate = a.pem\n[platform]", []string{"tls"}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			content, err := os.ReadFile(filepath.Join("..", "..", "examples", "himal", c.file))
			require.NoError(t, err)
			require.Contains(t, string(content), c.from)
			file := filepath.Join(t.TempDir(), c.file)
			broken := strings.Replace(string(content), c.from, c.to, 1)
			require.NoError(t, os.WriteFile(file, []byte(broken), 0o600))
			status, output := runSettingsCheck(t, programFor(file), file)
			require.Equal(t, exitInvalidSettings, status, output)
			for _, mention := range append(c.mentions, file) {
				require.Contains(t, output, mention)
			}
		})
	}
}
