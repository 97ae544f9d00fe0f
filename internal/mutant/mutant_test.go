package mutant

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEditRequiresSingleMatch(t *testing.T) {
	var editErr *EditError
	_, _, err := Run(t.TempDir(), []Edit{{File: "mutant.go", Old: "no such text"}}, "TestX", "")
	require.ErrorAs(t, err, &editErr)
	require.Zero(t, editErr.Matches)
	_, _, err = Run(t.TempDir(), []Edit{{File: "mutant.go", Old: "package"}}, "TestX", "")
	require.ErrorAs(t, err, &editErr)
	require.Greater(t, editErr.Matches, 1)
}

// TestVariableNamesMutant is run by TestRunAppliesEdits, also on an edited copy.
func TestVariableNamesMutant(t *testing.T) {
	name, set := os.LookupEnv(EnvVar)
	if !set {
		t.Skip("run by TestRunAppliesEdits")
	}
	require.Equal(t, "example", name)
	require.Equal(t, "VERBENASEAM_MUTANT", EnvVar)
}

func TestRunAppliesEdits(t *testing.T) {
	output, passed, err := Run(t.TempDir(), nil, "TestVariableNamesMutant", "example")
	require.NoError(t, err)
	require.True(t, passed, output)
	output, passed, err = Run(t.TempDir(), []Edit{{
		File: "mutant.go", Old: `EnvVar = "VERBENASEAM_MUTANT"`, New: `EnvVar = "VERBENASEAM_OTHER"`,
	}}, "TestVariableNamesMutant", "example")
	require.NoError(t, err)
	require.True(t, passed, "the test is skipped when its variable is not set: %s", output)
}
