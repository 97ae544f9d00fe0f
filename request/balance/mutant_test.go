package balance

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/mutant"
)

// mutants are decisions with a rule broken, and the test that must detect each.
var mutants = []struct {
	desc, test string
	edit       mutant.Edit
}{
	{
		"all reports are taken for fresh", "TestReportsAgeTheLoads",
		mutant.Edit{File: "reports.go", Old: "max(age, last.interval) > freshInterval", New: "max(age, last.interval) < 0"},
	},
	{
		"no report is taken for fresh", "TestReportsAgeTheLoads",
		mutant.Edit{File: "reports.go", Old: "max(age, last.interval) > freshInterval", New: "age >= 0"},
	},
	{
		"old reports count without limit", "TestReportsAgeTheLoads",
		mutant.Edit{File: "reports.go", Old: "min(float64(age)/float64(mean), 1)", New: "float64(age) / float64(mean)"},
	},
	{
		"the least loaded target is chosen by old loads", "TestUnseenRequestsAreSharedByTheLeastLoaded",
		mutant.Edit{File: "choose.go", Old: "if unseen.Total < minUnseen {", New: "if unseen.Total >= 0 {"},
	},
	{
		"all requests stay as long as one target has room", "TestOnlyExcessCrosses",
		mutant.Edit{File: "choose.go", Old: "random()*unseen.LocalShare < local/(local+remote)", New: "local > 0"},
	},
	{
		"the demand of the own failure domain does not matter", "TestOnlyExcessCrosses",
		mutant.Edit{File: "choose.go", Old: "random()*unseen.LocalShare <", New: "random() <"},
	},
	{
		"lock-step groups are filled like others", "TestPenaltyWeighsCrossingAgainstLoad",
		mutant.Edit{File: "crossing.go", Old: "if load.LockStep {", New: "if load.LockStep && capacity < 0 {"},
	},
	{
		"what is known of a slow target never fades", "TestPaceFollowsResponseTimes",
		mutant.Edit{File: "pace.go", Old: "factor = math.Exp(-elapsed.Seconds() / paceWindow.Seconds())", New: "factor = math.Exp(0)"},
	},
	{
		"requests without a response do not count", "TestRequestsWithoutResponseCountAsSlow",
		mutant.Edit{File: "pace.go", Old: "if seconds := elapsed.Seconds(); complete || r.count > 0 && seconds > r.sum/r.count {", New: "if seconds := elapsed.Seconds(); complete {"},
	},
}

// TestMutantsAreCaught checks that the tests detect every mutant.
func TestMutantsAreCaught(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.desc, func(t *testing.T) {
			t.Parallel()
			output, passed, err := mutant.Run(t.TempDir(), []mutant.Edit{m.edit}, m.test, m.desc)
			require.NoError(t, err)
			require.False(t, passed)
			require.Contains(t, output, "--- FAIL: "+m.test)
		})
	}
}
