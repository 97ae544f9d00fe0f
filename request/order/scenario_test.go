package order

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/mutant"
)

// scenario determines one simulated history. faults holds the faults to inject,
// by the index of the operation; see simulation.operations.
type scenario struct {
	seed   uint64
	faults map[int]fault
}

func (s scenario) String() string {
	text := fmt.Sprintf("seed %d", s.seed)
	for operation := range 64 {
		if kind := s.faults[operation]; kind != faultNone {
			text += fmt.Sprintf(", %s at operation %d", faultNames[kind], operation)
		}
	}
	return text
}

// check simulates the scenario and describes the first violated guarantee, or
// returns an empty string. It makes a first call, and depending on the seed
// further calls with the same key, one with another body, one with another key
// and one without a key. A call after all faults follows, and sometimes one after
// the record has expired.
func (s scenario) check() string {
	sim := newSimulation(s.seed, s.faults)
	sim.scheduleCall(0, 0, "kiln-4", 1, false)
	for range sim.rng.IntN(3) {
		sim.scheduleCall(sim.randomDuration(0, 3*time.Second), sim.rng.IntN(simEntries), "kiln-4", 1, false)
	}
	if sim.rng.IntN(3) == 0 {
		sim.scheduleCall(sim.randomDuration(0, 3*time.Second), sim.rng.IntN(simEntries), "kiln-4", 2, false)
	}
	if sim.rng.IntN(3) == 0 {
		sim.scheduleCall(sim.randomDuration(0, 100*time.Millisecond), 0, "cart-9", 3, false)
	}
	if sim.rng.IntN(4) == 0 {
		sim.scheduleCall(sim.randomDuration(0, time.Second), sim.rng.IntN(simEntries), "", 4, false)
	}
	sim.scheduleCall(simRetention/2, sim.rng.IntN(simEntries), "kiln-4", 1, true)
	if sim.rng.IntN(3) == 0 {
		sim.scheduleCall(simRetention+sim.randomDuration(time.Second, simRetention), sim.rng.IntN(simEntries), "kiln-4", 1, false)
	}
	sim.runEvents()
	return sim.violation()
}

// systematicOperations is the number of operations at which faults are injected
// systematically.
const systematicOperations = 9

// scenarios returns a scenario without faults, one for every single fault and one
// for every pair of faults at the first systematicOperations operations of an
// order, for each systematic seed; then scenarios with random sets of up to five
// faults.
func scenarios(systematicSeeds, random int) []scenario {
	var all []scenario
	for seed := range uint64(systematicSeeds) {
		all = append(all, scenario{seed: seed})
		for first := range systematicOperations {
			for a := faultLostRequest; a < faultKinds; a++ {
				all = append(all, scenario{seed, map[int]fault{first: a}})
				for second := first + 1; second < systematicOperations; second++ {
					for b := faultLostRequest; b < faultKinds; b++ {
						all = append(all, scenario{seed, map[int]fault{first: a, second: b}})
					}
				}
			}
		}
	}
	for i := range random {
		seed := uint64(1_000_000 + i)
		sim := newSimulation(seed, nil)
		faults := map[int]fault{}
		for range 1 + sim.rng.IntN(5) {
			faults[sim.rng.IntN(20)] = 1 + fault(sim.rng.IntN(int(faultKinds)-1))
		}
		all = append(all, scenario{seed, faults})
	}
	return all
}

// TestSimulatedHistoriesUnderFaults guards against orders that run twice or after
// their record has expired, and against calls that report a wrong outcome, when
// messages are lost, delayed or duplicated, processes crash or pause, or the table
// is unavailable.
func TestSimulatedHistoriesUnderFaults(t *testing.T) {
	seeds, random := 3, 6000
	if testing.Short() {
		seeds, random = 1, 500
	}
	all := scenarios(seeds, random)
	for _, s := range all {
		require.Empty(t, s.check(), s.String())
	}
	t.Logf("%d histories", len(all))
}

// scenarioStride is the step between the scenarios that TestMutantHistories
// checks. It is a prime, so that all scenarios are visited, and in a mixed order,
// so that a mutant is caught sooner.
const scenarioStride = 7919

// mutants are edits of the sources that each break one rule of the protocol.
var mutants = []struct {
	desc  string
	edits []mutant.Edit
}{
	{"agent skips the incarnation check", []mutant.Edit{
		{File: "execution.go", Old: "return attempt.Incarnation == x.config.Incarnation", New: "return true"},
	}},
	{"agent starts a dispatch that arrives too late", []mutant.Edit{
		{File: "execution.go", Old: "	if attempt.NotAfter <= x.forgottenUpTo {\n", New: "	if true {\n		return Reply{State: ExecutionAbsent}\n	}\n	if attempt.NotAfter <= x.forgottenUpTo {\n"},
	}},
	{"agent forgets its tombstones", []mutant.Edit{
		{File: "execution.go", Old: "		x.storeLocked(key, attempt, never, attempt.NotAfter)\n", New: ""},
	}},
	{"agent runs a duplicate", []mutant.Edit{
		{File: "execution.go", Old: "return BeginResult{Reply: reply}\n", New: "return BeginResult{Run: reply.State != ExecutionNeverStarts, Reply: reply}\n"},
	}},
	{"agent reports a lost run as never started", []mutant.Edit{
		{File: "execution.go", Old: "	tracked.reply = reply\n", New: "	if reply.State == ExecutionOutcomeUnknown {\n		reply.State = ExecutionNeverStarts\n	}\n	tracked.reply = reply\n"},
	}},
	{"recorder treats a lost reply as success", []mutant.Edit{
		{File: "committer.go", Old: "	b.uncertain = true\n	return b.readBack(ctx, err)\n", New: "	b.markWritten(platform.Revision{})\n	return nil\n"},
	}},
	{"recorder writes without conditions", []mutant.Edit{
		{File: "committer.go", Old: "		txn.Conditions = append(txn.Conditions, platform.Condition{Key: write.Key, Revision: write.Revision})\n", New: ""},
	}},
	{"entry reports not run without a tombstone", []mutant.Edit{
		{File: "call.go", Old: "	case err != nil || !reply.State.final():\n", New: "	case err != nil:\n		return fail(failure.New(failure.NoTarget, failure.NotRun, \"the target did not answer\"))\n	case !reply.State.final():\n"},
	}},
	{"entry retries without a tombstone", []mutant.Edit{
		{File: "call.go", Old: "	case err != nil || !reply.State.final():\n", New: "	case err != nil:\n		reply = Reply{State: ExecutionNeverStarts}\n	case !reply.State.final():\n"},
	}},
	{"entry ignores a different body", []mutant.Edit{
		{File: "existing.go", Old: "if record.Fingerprint != c.request.Fingerprint {", New: "if false {"},
	}},
	{"entry treats a gone incarnation as not run", []mutant.Edit{
		{File: "call.go", Old: "	case ExecutionNeverStarts:\n		c.confirmedNotRun", New: "	case ExecutionNeverStarts, ExecutionIncarnationGone:\n		c.confirmedNotRun"},
		{File: "call.go", Old: "case ExecutionOutcomeUnknown, ExecutionIncarnationGone, ExecutionForgotten:", New: "case ExecutionOutcomeUnknown, ExecutionForgotten:"},
	}},
	{"entry treats a forgotten attempt as not run", []mutant.Edit{
		{File: "call.go", Old: "	case ExecutionNeverStarts:\n		c.confirmedNotRun", New: "	case ExecutionNeverStarts, ExecutionForgotten:\n		c.confirmedNotRun"},
		{File: "call.go", Old: "case ExecutionOutcomeUnknown, ExecutionIncarnationGone, ExecutionForgotten:", New: "case ExecutionOutcomeUnknown, ExecutionIncarnationGone:"},
	}},
	{"entry dispatches although the record write is uncertain", []mutant.Edit{
		{File: "call.go", Old: "	reply := c.tombstoneUntil(ctx, next.attempt(), c.deadline)\n", New: "	if true {\n		c.current = versionedRecord{record: next}\n		return c.dispatch(ctx)\n	}\n	reply := c.tombstoneUntil(ctx, next.attempt(), c.deadline)\n"},
	}},
}

// TestMutantHistories simulates histories on a mutant of the sources until one
// violates a guarantee.
func TestMutantHistories(t *testing.T) {
	if _, set := os.LookupEnv(mutant.EnvVar); !set {
		t.Skip("run by TestMutantsAreCaught on a mutant of the sources")
	}
	all := scenarios(3, 6000)
	for i := range all {
		s := all[(i*scenarioStride)%len(all)]
		require.Empty(t, s.check(), "history %d (%s)", i, s)
	}
}

// TestMutantsAreCaught checks that the simulation detects every mutant.
func TestMutantsAreCaught(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.desc, func(t *testing.T) {
			t.Parallel()
			output, passed, err := mutant.Run(t.TempDir(), m.edits, "TestMutantHistories", m.desc)
			require.NoError(t, err)
			require.False(t, passed, "no history violated a guarantee")
			require.Contains(t, output, "history ")
		})
	}
}
