package load

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/mutant"
)

// TestUrgentRequestsAreServedThroughBursts guards against a burst of the least urgent kind
// that takes the slots of more urgent requests at other entries, and against entries that all
// start requests in the same slots.
func TestUrgentRequestsAreServedThroughBursts(t *testing.T) {
	outcome := runAdmission(byUrgency, kindBursts)
	for kind, count := range outcome.kinds {
		t.Logf("kind %d: served %.3f, value %.3f", kind, count.servedShare(), count.valueShare())
	}
	t.Logf("engine waits %.3f", outcome.waitShare())
	require.Greater(t, outcome.kinds[0].valueShare(), 0.96)
	require.Greater(t, outcome.kinds[0].valueShare(), outcome.kinds[1].valueShare())
	require.Greater(t, outcome.kinds[1].valueShare(), outcome.kinds[2].valueShare())
	require.Greater(t, outcome.total().valueShare(), 0.88)
	require.Less(t, outcome.waitShare(), maxEngineWaits)
}

// admissionMutants are faulty admission rules.
var admissionMutants = []struct {
	desc  string
	edits []mutant.Edit
}{
	{"nothing is reserved", []mutant.Edit{{
		File: "../../../request/capacity/reserve.go", Old: "float64(free)-reserved >= 0.5", New: "float64(free)-0*reserved >= 0.5",
	}}},
	{"all entries use the same free slots", []mutant.Edit{{
		File: "../../../request/capacity/reserve.go", Old: "if free >= processes {", New: "if free >= 0 {",
	}}},
	{"requests count as in time until they give up", []mutant.Edit{{
		File: "../../../request/capacity/latest.go", Old: "LatestStart: latest,", New: "LatestStart: giveUp,",
	}}},
}

// TestAdmissionMutantsAreCaught checks that the model detects every mutant.
func TestAdmissionMutantsAreCaught(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the package once per mutant")
	}
	for _, m := range admissionMutants {
		t.Run(m.desc, func(t *testing.T) {
			output, passed, err := mutant.Run(t.TempDir(), m.edits, "TestUrgentRequestsAreServedThroughBursts", m.desc)
			require.NoError(t, err)
			require.False(t, passed, "the model is served as well with the mutant:\n%s", output)
			require.Contains(t, output, "engine waits", "the mutant must run")
		})
	}
}
