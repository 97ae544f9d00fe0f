package expertmap

import (
	"flag"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/internal/mutant"
)

// origin tells how a world was reached, for the trace.
type origin struct {
	parent uint64
	event  event
}

type found struct {
	states  int
	drained int
	trace   string
}

// shards spreads the visited set so that workers seldom wait for each other.
const shards = 64

type shard struct {
	mu sync.Mutex
	// seen is guarded by mu.
	seen map[uint64]origin
}

// search holds the worlds seen so far, by a hash of 64 bits: among the 4 million
// states of the largest search, two sharing one has a chance below one in 10^6.
type search struct {
	first      *world
	drainEvery uint64
	shards     [shards]shard
	drained    atomic.Int64
}

// add tells whether the world is new.
func (s *search) add(key uint64, from origin) bool {
	part := &s.shards[key%shards]
	part.mu.Lock()
	defer part.mu.Unlock()
	if _, known := part.seen[key]; known {
		return false
	}
	part.seen[key] = from
	return true
}

func (s *search) states() int {
	total := 0
	for at := range s.shards {
		total += len(s.shards[at].seen)
	}
	return total
}

func hashOf(w *world) uint64 {
	var buffer [256]byte
	return xxhash.Sum64(w.encode(buffer[:0]))
}

// explore visits every world reachable from first, level by level, or stops
// after the level of the first bad ones. Every drainEvery-th state (by hash) is
// also checked for liveness; 0 checks none.
func explore(first *world, drainEvery uint64) found {
	s := &search{first: first, drainEvery: drainEvery}
	for at := range s.shards {
		s.shards[at].seen = map[uint64]origin{}
	}
	s.add(hashOf(first), origin{})
	frontier := []*world{first}
	trace := ""
	for len(frontier) > 0 && trace == "" {
		frontier, trace = s.level(frontier)
	}
	return found{states: s.states(), drained: int(s.drained.Load()), trace: trace}
}

// level expands one level on a few workers.
func (s *search) level(frontier []*world) ([]*world, string) {
	const workers = 6
	var next [workers][]*world
	var traces [workers]string
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for at := worker; at < len(frontier) && traces[worker] == ""; at += workers {
				next[worker], traces[worker] = s.expand(frontier[at], next[worker])
				frontier[at] = nil
			}
		})
	}
	group.Wait()
	for _, trace := range traces {
		if trace != "" {
			return nil, trace
		}
	}
	return slices.Concat(next[:]...), ""
}

func (s *search) expand(w *world, next []*world) ([]*world, string) {
	here := hashOf(w)
	bad := w.bad
	if bad == "" && s.drainEvery > 0 && here%s.drainEvery == 0 {
		s.drained.Add(1)
		if stuck := w.clone().drain(); stuck != "" {
			bad = "without further faults: " + stuck
		}
	}
	if bad != "" {
		return nil, s.traceTo(here) + bad
	}
	for _, e := range w.events() {
		after := w.apply(e)
		if s.add(hashOf(after), origin{parent: here, event: e}) {
			next = append(next, after)
		}
	}
	return next, ""
}

func (s *search) traceTo(here uint64) string {
	var events []event
	start := hashOf(s.first)
	for here != start {
		part := &s.shards[here%shards]
		part.mu.Lock()
		from := part.seen[here]
		part.mu.Unlock()
		events = append(events, from.event)
		here = from.parent
	}
	var text strings.Builder
	w := s.first
	for _, e := range slices.Backward(events) {
		text.WriteString(e.String(w) + "\n")
		w = w.apply(e)
	}
	return text.String()
}

var exhaustive = flag.Bool("exhaustive", false, "also search a crash together with a re-formed group")

type modelCase struct {
	desc    string
	world   worldFault
	crashes int
	reforms bool
	// forgetful engines keep no holds.
	forgetful bool
	// lone leaves the second proposer out.
	lone bool
	want string
	// drainEvery is how many states there are for one checked for liveness; 0 checks
	// none.
	drainEvery uint64
	// large searches are left to the full tests.
	large bool
}

func TestModelCheckFindsNoStepOnTwoMaps(t *testing.T) {
	table := []modelCase{
		{desc: "no crash"},
		{desc: "re-formed group", reforms: true},
	}
	if !testing.Short() {
		table = append(table,
			modelCase{desc: "one crash", crashes: 1},
			modelCase{desc: "one crash where engines keep no holds", crashes: 1, forgetful: true})
	}
	if *exhaustive {
		table = append(table, modelCase{desc: "one crash and a re-formed group", crashes: 1, reforms: true})
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	for _, test := range table {
		t.Run(test.desc, func(t *testing.T) {
			result := explore(newWorld(test), 64)
			t.Logf("%d states, %d checked for liveness", result.states, result.drained)
			require.Empty(t, result.trace)
		})
	}
}

// brokenRules are cases in which a rule is broken by edits of the sources.
var brokenRules = []struct {
	modelCase
	edits []mutant.Edit
}{
	{modelCase{desc: "a vote does not outlive its agent", crashes: 1, want: "ended both ways"}, []mutant.Edit{
		{File: "agent.go", Old: "if held == nil {", New: "if true {"},
	}},
	{modelCase{desc: "the group incarnation is ignored", world: engineIgnoresGroup, reforms: true, lone: true, want: "runs on maps"}, []mutant.Edit{
		{File: "agent.go", Old: "	a.records = nil\n", New: ""},
		{File: "agent.go", Old: "return group == a.group", New: "return true"},
	}},
	{modelCase{desc: "release before all promises", want: "ended both ways"}, []mutant.Edit{
		{File: "vote.go", Old: "if missing > 0 {", New: "if missing > 1 {"},
	}},
	{modelCase{desc: "a restarted agent votes afresh", crashes: 1, large: true, want: "ended both ways"}, []mutant.Edit{
		{File: "vote.go", Old: "return proposal.Agents[a.rank] == a.config.Incarnation", New: "return true"},
	}},
	{modelCase{desc: "a promise without a hold", want: "runs on maps"}, []mutant.Edit{
		{File: "vote.go", Old: "	out.Actions = append(out.Actions, Action{Kind: ActionHold, Proposal: proposal})\n", New: "	a.promise(now, asked, out)\n"},
	}},
	{modelCase{desc: "two promises at once", world: engineForgetsHolds, large: true, want: "runs on maps"}, []mutant.Edit{
		{File: "vote.go", Old: "if a.Undecided() != nil {", New: "if false {"},
	}},
	{modelCase{desc: "the replaced map is not compared", world: proposerNamesNoMap, want: "not the"}, []mutant.Edit{
		{File: "vote.go", Old: "return proposal.From == a.current", New: "return true"},
	}},
	{modelCase{desc: "a refusal is forgotten", want: "ended both ways"}, []mutant.Edit{
		{File: "vote.go", Old: "found := a.find(proposal.ID)\n	if found == nil {", New: "found := a.find(proposal.ID)\n	if found == nil || found.state == aborted {"},
	}},
	{modelCase{desc: "a restarted agent resumes without asking", crashes: 1, forgetful: true, want: "ended both ways"}, []mutant.Edit{
		{File: "recall.go", Old: "	a.recall = &recall{answered: make([]bool, a.size), askAt: now}\n", New: "	out.Actions = append(out.Actions, Action{Kind: ActionResume})\n	if forgetful {\n		return\n	}\n	a.recall = &recall{}\n"},
	}},
	{modelCase{desc: "late promises of a replaced agent count", crashes: 1, forgetful: true, large: true, want: "ended both ways"}, []mutant.Edit{
		{File: "recall.go", Old: "return message.Agent < a.fences[message.From]\n", New: "return false\n"},
	}},
	{modelCase{desc: "nobody but the coordinator finishes", crashes: 1, drainEvery: 1, want: "stuck"}, []mutant.Edit{
		{File: "agent.go", Old: "case known.state == promised && !now.Before(known.pollAt):", New: "case false:"},
	}},
}

// TestBrokenModel plays one of the broken rules on an edited copy of the sources.
func TestBrokenModel(t *testing.T) {
	name, told := os.LookupEnv(mutant.Variable)
	if !told {
		t.Skip("run by TestModelCheckCatchesBrokenRules on an edited copy")
	}
	for _, test := range brokenRules {
		if test.desc == name {
			require.Empty(t, explore(newWorld(test.modelCase), test.drainEvery).trace)
		}
	}
}

func TestModelCheckCatchesBrokenRules(t *testing.T) {
	for _, test := range brokenRules {
		t.Run(test.desc, func(t *testing.T) {
			if test.large && testing.Short() {
				t.Skip("hundreds of thousands of states; the full tests search them")
			}
			t.Parallel()
			output, passed, err := mutant.Run(t.TempDir(), test.edits, "TestBrokenModel", test.desc)
			require.NoError(t, err)
			require.False(t, passed, "the broken rule is not seen: %s", output)
			require.Contains(t, output, test.want)
		})
	}
}
