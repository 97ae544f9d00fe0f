package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/mutant"
)

// noticeMutants are dispatchers that forget what targets have said of themselves.
var noticeMutants = []struct {
	desc  string
	edits []mutant.Edit
}{
	{"leaving is forgotten on a new registration", []mutant.Edit{
		{File: "dispatcher.go", Old: "	added.saidLeaving = d.leaving[added.incarnationID()].valid(now)\n", New: ""},
	}},
	{"a pause ends with a new registration", []mutant.Edit{
		{File: "dispatcher.go", Old: "added.pause = d.pauseOf(added.incarnationID())", New: "added.pause = &pause{}"},
	}},
	{"a pause is that of an ID, whichever the incarnation", []mutant.Edit{
		{File: "leaving.go", Old: "return incarnationID{t.ID(), t.incarnation}", New: "return incarnationID{t.ID(), \"\"}"},
	}},
	{"waiting requests ignore pauses", []mutant.Edit{
		{File: "choose.go", Old: "!t.pause.allowsStart(now)", New: "len(work.Tried) == 0 && !work.QueueDeadline.After(now) && !t.pause.allowsStart(now)"},
	}},
}

// TestNoticeMutantsAreCaught checks that the random events detect every mutant.
func TestNoticeMutantsAreCaught(t *testing.T) {
	for _, m := range noticeMutants {
		t.Run(m.desc, func(t *testing.T) {
			t.Parallel()
			output, passed, err := mutant.Run(t.TempDir(), m.edits, "TestNoticesHoldUnderRandomEvents", m.desc)
			require.NoError(t, err)
			require.False(t, passed, "no sequence of events broke a rule")
			require.Contains(t, output, "rapid")
		})
	}
}
