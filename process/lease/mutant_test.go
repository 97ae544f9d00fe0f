package lease

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/mutant"
)

// restoreMutants are leases that take the platform's older copy for its newest state.
var restoreMutants = []struct {
	desc  string
	edits []mutant.Edit
}{
	{"epochs go on from the row", []mutant.Edit{
		{File: "machine.go", Old: "	if m.era == 0 {\n", New: "	if true {\n"},
	}},
	{"a copied row shows who holds the lease", []mutant.Edit{
		{File: "machine.go", Old: "fromCopy := eraOf(m.row.Epoch) < m.era", New: "fromCopy := false"},
	}},
	{"the fence trusts a copied row", []mutant.Edit{
		{File: "fence.go", Old: "return *f.copied != revision", New: "return true"},
	}},
}

// TestRestoreMutantsAreCaught checks that the simulation with restorations detects every
// mutant.
func TestRestoreMutantsAreCaught(t *testing.T) {
	for _, m := range restoreMutants {
		t.Run(m.desc, func(t *testing.T) {
			t.Parallel()
			output, passed, err := mutant.Run(t.TempDir(), m.edits, "TestSingleHolderThroughRestores", m.desc)
			require.NoError(t, err)
			require.False(t, passed, "no seed broke a rule")
			require.Contains(t, output, "FAIL: TestSingleHolderThroughRestores")
		})
	}
}
