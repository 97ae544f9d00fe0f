package tool

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/daemon/command"
)

// TestSoakRefusesBadOptions guards against runs that start with options they cannot use.
func TestSoakRefusesBadOptions(t *testing.T) {
	notResults := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(notResults, []byte("no results"), 0o600))
	for arguments, status := range map[string]int{
		"--seeds 0":                 command.ExitUsage,
		"--entries 0":               command.ExitUsage,
		"--trouble 0s":              command.ExitUsage,
		"--minutes -1":              command.ExitUsage,
		"--compare x":               command.ExitUsage,
		"--binaries " + t.TempDir(): command.ExitRefused,
		"--report y --compare " + notResults + " --binaries /bin": command.ExitRefused,
	} {
		var errOut strings.Builder
		require.Equal(t, status, Main(append([]string{"soak"}, strings.Fields(arguments)...), io.Discard, &errOut), arguments)
		require.NotEmpty(t, errOut.String(), arguments)
	}
}
