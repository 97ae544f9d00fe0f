package systemtest

import (
	"os"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// programs holds the directory of the compiled programs, built once for all tests.
var programs struct {
	once      sync.Once
	directory string
	output    []byte
	err       error
}

func TestMain(m *testing.M) {
	status := m.Run()
	if programs.directory != "" {
		_ = os.RemoveAll(programs.directory)
	}
	os.Exit(status)
}

// buildPrograms builds the programs on the first call and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	programs.once.Do(func() {
		programs.directory, programs.err = os.MkdirTemp("", "systemtest")
		if programs.err != nil {
			return
		}
		build := exec.Command("go", "build", "-o", programs.directory+"/", "verbenaseam.example/verbenaseam/cmd/...")
		programs.output, programs.err = build.CombinedOutput()
	})
	require.NoError(t, programs.err, string(programs.output))
	return programs.directory
}
