package order

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/mutant"
)

// scenario is one history to play.
type scenario struct {
	seed   uint64
	faults map[int]fault
}

func (s scenario) String() string {
	text := fmt.Sprintf("seed %d", s.seed)
	for op := range 64 {
		if kind := s.faults[op]; kind != faultNone {
			text += fmt.Sprintf(", %s at operation %d", faultNames[kind], op)
		}
	}
	return text
}

// play runs a scenario: a first call, others with the same key from other
// entries, one with another body, one without a key, a last one in calm, and
// one long after.
func (s scenario) play() string {
	w := newWorld(s.seed, s.faults)
	w.call(0, 0, "kiln-4", 1, false)
	for range w.rng.IntN(3) {
		w.call(w.between(0, 3*time.Second), w.rng.IntN(simEntries), "kiln-4", 1, false)
	}
	if w.rng.IntN(3) == 0 {
		w.call(w.between(0, 3*time.Second), w.rng.IntN(simEntries), "kiln-4", 2, false)
	}
	if w.rng.IntN(3) == 0 {
		w.call(w.between(0, 100*time.Millisecond), 0, "cart-9", 3, false)
	}
	if w.rng.IntN(4) == 0 {
		w.call(w.between(0, time.Second), w.rng.IntN(simEntries), "", 4, false)
	}
	w.call(simRetention/2, w.rng.IntN(simEntries), "kiln-4", 1, true)
	if w.rng.IntN(3) == 0 {
		w.call(simRetention+w.between(time.Second, simRetention), w.rng.IntN(simEntries), "kiln-4", 1, false)
	}
	w.play()
	return w.violation()
}

const systematicOperations = 9

// scenarios returns every single fault and every pair of faults at the first
// operations of an order, then random sets of up to five faults.
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
		w := newWorld(seed, nil)
		faults := map[int]fault{}
		for range 1 + w.rng.IntN(5) {
			faults[w.rng.IntN(20)] = 1 + fault(w.rng.IntN(int(faultKinds)-1))
		}
		all = append(all, scenario{seed, faults})
	}
	return all
}

func TestHistoriesUnderEveryFaultAndPair(t *testing.T) {
	seeds, random := 3, 6000
	if testing.Short() {
		seeds, random = 1, 500
	}
	all := scenarios(seeds, random)
	for _, s := range all {
		require.Empty(t, s.play(), s.String())
	}
	t.Logf("%d histories", len(all))
}

// stride is a prime that walks through all histories in a mixed order, so that
// a broken rule shows sooner.
const stride = 7919

// brokenRules break a rule by edits of the sources.
var brokenRules = []struct {
	desc  string
	edits []mutant.Edit
}{
	{"agent skips the incarnation check", []mutant.Edit{
		{File: "execution.go", Old: "return attempt.Incarnation == x.config.Incarnation", New: "return true"},
	}},
	{"agent starts a dispatch that came too late", []mutant.Edit{
		{File: "execution.go", Old: "	if attempt.NotAfter <= x.forgottenUpTo {\n", New: "	if true {\n		return Reply{State: ExecutionAbsent}\n	}\n	if attempt.NotAfter <= x.forgottenUpTo {\n"},
	}},
	{"agent forgets its tombstones", []mutant.Edit{
		{File: "execution.go", Old: "		x.putLocked(key, attempt, never, attempt.NotAfter)\n", New: ""},
	}},
	{"agent runs a duplicate", []mutant.Edit{
		{File: "execution.go", Old: "return Verdict{Reply: reply}\n", New: "return Verdict{Run: reply.State != ExecutionNever, Reply: reply}\n"},
	}},
	{"agent calls a lost run one that never ran", []mutant.Edit{
		{File: "execution.go", Old: "	entry.reply = reply\n", New: "	if reply.State == ExecutionLost {\n		reply.State = ExecutionNever\n	}\n	entry.reply = reply\n"},
	}},
	{"recorder takes a lost reply for success", []mutant.Edit{
		{File: "batch.go", Old: "	b.maybe = true\n	return b.readBack(ctx, err)\n", New: "	b.allWritten(0)\n	return nil\n"},
	}},
	{"recorder writes without conditions", []mutant.Edit{
		{File: "batch.go", Old: "		txn.Conditions = append(txn.Conditions, platform.Condition{Key: write.Row, Revision: write.Revision})\n", New: ""},
	}},
	{"entry says not run without a tombstone", []mutant.Edit{
		{File: "call.go", Old: "	case err != nil || !reply.State.final():\n", New: "	case err != nil:\n		return fail(failure.New(failure.NoTarget, failure.NotRun, \"the target did not answer\"))\n	case !reply.State.final():\n"},
	}},
	{"entry retries without a tombstone", []mutant.Edit{
		{File: "call.go", Old: "	case err != nil || !reply.State.final():\n", New: "	case err != nil:\n		reply = Reply{State: ExecutionNever}\n	case !reply.State.final():\n"},
	}},
	{"entry ignores another body", []mutant.Edit{
		{File: "wait.go", Old: "if record.Fingerprint != k.request.Fingerprint {", New: "if false {"},
	}},
	{"entry takes a gone incarnation for not run", []mutant.Edit{
		{File: "call.go", Old: "	case ExecutionNever:\n		k.refused", New: "	case ExecutionNever, ExecutionGone:\n		k.refused"},
		{File: "call.go", Old: "case ExecutionLost, ExecutionGone, ExecutionForgotten:", New: "case ExecutionLost, ExecutionForgotten:"},
	}},
	{"entry takes a forgotten attempt for not run", []mutant.Edit{
		{File: "call.go", Old: "	case ExecutionNever:\n		k.refused", New: "	case ExecutionNever, ExecutionForgotten:\n		k.refused"},
		{File: "call.go", Old: "case ExecutionLost, ExecutionGone, ExecutionForgotten:", New: "case ExecutionLost, ExecutionGone:"},
	}},
	{"entry dispatches without a sure record", []mutant.Edit{
		{File: "call.go", Old: "	reply := k.pursue(ctx, next.attempt(), k.deadline)\n", New: "	if true {\n		k.now = stored{record: next}\n		return k.dispatch(ctx)\n	}\n	reply := k.pursue(ctx, next.attempt(), k.deadline)\n"},
	}},
}

// TestBrokenHistories plays histories on an edited copy of the sources until one
// shows the broken rule.
func TestBrokenHistories(t *testing.T) {
	if _, told := os.LookupEnv(mutant.Variable); !told {
		t.Skip("run by TestBrokenRulesAreCaught on an edited copy")
	}
	all := scenarios(3, 6000)
	for i := range all {
		s := all[(i*stride)%len(all)]
		require.Empty(t, s.play(), "history %d (%s)", i, s)
	}
}

// TestBrokenRulesAreCaught breaks one rule at a time; the histories must show it.
func TestBrokenRulesAreCaught(t *testing.T) {
	for _, rule := range brokenRules {
		t.Run(rule.desc, func(t *testing.T) {
			t.Parallel()
			output, passed, err := mutant.Run(t.TempDir(), rule.edits, "TestBrokenHistories", rule.desc)
			require.NoError(t, err)
			require.False(t, passed, "the histories did not show it")
			require.Contains(t, output, "history ")
		})
	}
}
