package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validAgent = `
[agent]
name = runner-1
failure_domain = thamel
link_address = 127.0.0.1:7101
status_address = 127.0.0.1:7201
[engine]
url = http://127.0.0.1:7301
[platform]
store_address = 127.0.0.1:7001
`

func writeAgentSettings(t *testing.T, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "agent.ini")
	require.NoError(t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

func TestAgentDefaults(t *testing.T) {
	loaded, err := LoadAgent(writeAgentSettings(t, validAgent+"[shutdown]\nlimit = 7s\n"))
	require.NoError(t, err)
	require.Equal(t, "model", loaded.EngineKind)
	require.Equal(t, DefaultProbeInterval, loaded.ProbeInterval)
	require.Equal(t, 7*time.Second, loaded.Shutdown.Timeout)
}

func TestErrorsNameSectionKeyAndExpectation(t *testing.T) {
	cases := []struct {
		desc, content, section, key string
	}{
		{"unknown section", validAgent + "[extra]\na = 1\n", "extra", ""},
		{"unknown key", validAgent + "[log]\ncolour = red\n", "log", "colour"},
		{"duration without unit", validAgent + "[shutdown]\nlimit = 7\n", "shutdown", "limit"},
		{"store address missing and TLS files incomplete", validAgent[:len(validAgent)-len("store_address = 127.0.0.1:7001\n")] + "[tls]\nca = x\n", "tls", ""},
		{"key outside a section", "stray = 1\n" + validAgent, "", "stray"},
		{"unknown choice", validAgent + "[log]\nformat = xml\n", "log", "format"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			_, err := LoadAgent(writeAgentSettings(t, c.content))
			var all KeyErrors
			require.ErrorAs(t, err, &all)
			found := false
			for _, keyError := range all {
				found = found || (keyError.Section == c.section && keyError.Key == c.key)
				require.NotEmpty(t, keyError.Expected)
				require.NotEmpty(t, keyError.File)
			}
			require.True(t, found, err.Error())
		})
	}
}

func TestAllErrorsAreReportedTogether(t *testing.T) {
	_, err := LoadAgent(writeAgentSettings(t, "[agent]\nname = UPPER\nlink_address = localhost:80\n"))
	var all KeyErrors
	require.ErrorAs(t, err, &all)
	require.Len(t, all, 6)
}
