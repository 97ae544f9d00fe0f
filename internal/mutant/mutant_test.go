package mutant

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAnEditMustStandOnce(t *testing.T) {
	var wrong *EditError
	_, _, err := Run(t.TempDir(), []Edit{{File: "mutant.go", Old: "no such text"}}, "TestX", "")
	require.ErrorAs(t, err, &wrong)
	require.Zero(t, wrong.Found)
	_, _, err = Run(t.TempDir(), []Edit{{File: "mutant.go", Old: "package"}}, "TestX", "")
	require.ErrorAs(t, err, &wrong)
	require.Greater(t, wrong.Found, 1)
}

// TestVariableIsTold is run on an edited copy by TestTheCopyIsRun.
func TestVariableIsTold(t *testing.T) {
	name, told := os.LookupEnv(Variable)
	if !told {
		t.Skip("run by TestTheCopyIsRun")
	}
	require.Equal(t, "seen", name)
	require.Equal(t, "VERBENASEAM_MUTANT", Variable)
}

func TestTheCopyIsRun(t *testing.T) {
	output, passed, err := Run(t.TempDir(), nil, "TestVariableIsTold", "seen")
	require.NoError(t, err)
	require.True(t, passed, output)
	output, passed, err = Run(t.TempDir(), []Edit{{
		File: "mutant.go", Old: `Variable = "VERBENASEAM_MUTANT"`, New: `Variable = "VERBENASEAM_OTHER"`,
	}}, "TestVariableIsTold", "seen")
	require.NoError(t, err)
	require.True(t, passed, "without its variable the test is left out: %s", output)
}
