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

// origin is the state and event by which a state was first reached, for the trace.
type origin struct {
	parent uint64
	event  event
}

type searchResult struct {
	states          int
	livenessChecked int
	trace           string
}

// shards splits the visited set to reduce lock contention between the workers.
const shards = 64

type shard struct {
	mu sync.Mutex
	// seen is guarded by mu.
	seen map[uint64]origin
}

// search holds the visited states by a 64-bit hash: among the 4 million states of the
// largest search, the chance that two share a hash is below one in 10^6.
type search struct {
	first           *model
	livenessEvery   uint64
	shards          [shards]shard
	livenessChecked atomic.Int64
}

// add records a state and reports whether it is new.
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

func hash(mod *model) uint64 {
	var buffer [256]byte
	return xxhash.Sum64(mod.encode(buffer[:0]))
}

// explore visits every state reachable from first, level by level, and stops after the
// level with the first violation. One in livenessEvery states (by hash) is also checked
// for liveness; 0 checks none.
func explore(first *model, livenessEvery uint64) searchResult {
	s := &search{first: first, livenessEvery: livenessEvery}
	for at := range s.shards {
		s.shards[at].seen = map[uint64]origin{}
	}
	s.add(hash(first), origin{})
	frontier := []*model{first}
	trace := ""
	for len(frontier) > 0 && trace == "" {
		frontier, trace = s.level(frontier)
	}
	return searchResult{states: s.states(), livenessChecked: int(s.livenessChecked.Load()), trace: trace}
}

// level expands one level of the search on several workers.
func (s *search) level(frontier []*model) ([]*model, string) {
	const workers = 6
	var next [workers][]*model
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

func (s *search) expand(mod *model, next []*model) ([]*model, string) {
	key := hash(mod)
	violation := mod.violation
	if violation == "" && s.livenessEvery > 0 && key%s.livenessEvery == 0 {
		s.livenessChecked.Add(1)
		if stuck := mod.clone().runWithoutFaults(); stuck != "" {
			violation = "without further faults: " + stuck
		}
	}
	if violation != "" {
		return nil, s.traceTo(key) + violation
	}
	for _, e := range mod.events() {
		after := mod.apply(e)
		if s.add(hash(after), origin{parent: key, event: e}) {
			next = append(next, after)
		}
	}
	return next, ""
}

func (s *search) traceTo(key uint64) string {
	var events []event
	start := hash(s.first)
	for key != start {
		part := &s.shards[key%shards]
		part.mu.Lock()
		from := part.seen[key]
		part.mu.Unlock()
		events = append(events, from.event)
		key = from.parent
	}
	var text strings.Builder
	mod := s.first
	for _, e := range slices.Backward(events) {
		text.WriteString(e.String(mod) + "\n")
		mod = mod.apply(e)
	}
	return text.String()
}

var exhaustive = flag.Bool("exhaustive", false, "also search a crash together with a re-formed group")

type modelCase struct {
	desc    string
	fault   modelFault
	crashes int
	reforms bool
	// losesHolds selects engines whose holds do not outlive the agent.
	losesHolds bool
	// singleProposer lets only rank 0 propose.
	singleProposer bool
	// want is a part of the violation that the search must find.
	want string
	// One in livenessEvery states is checked for liveness; 0 checks none.
	livenessEvery uint64
	// large searches run only without -short.
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
			modelCase{desc: "one crash where engines lose their holds", crashes: 1, losesHolds: true})
	}
	if *exhaustive {
		table = append(table, modelCase{desc: "one crash and a re-formed group", crashes: 1, reforms: true})
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	for _, test := range table {
		t.Run(test.desc, func(t *testing.T) {
			result := explore(newModel(test), 64)
			t.Logf("%d states, %d checked for liveness", result.states, result.livenessChecked)
			require.Empty(t, result.trace)
		})
	}
}

// brokenRules are protocol rules, each with source edits that break it and the violation
// that the search must find.
var brokenRules = []struct {
	modelCase
	edits []mutant.Edit
}{
	{modelCase{desc: "a vote does not outlive its agent", crashes: 1, want: "both committed and aborted"}, []mutant.Edit{
		{File: "agent.go", Old: "if held == nil {", New: "if true {"},
	}},
	{modelCase{desc: "the group incarnation is ignored", fault: engineIgnoresGroup, reforms: true, singleProposer: true, want: "runs on maps"}, []mutant.Edit{
		{File: "agent.go", Old: "	a.records = nil\n", New: ""},
		{File: "agent.go", Old: "return group == a.group", New: "return true"},
	}},
	{modelCase{desc: "release before all promises", want: "both committed and aborted"}, []mutant.Edit{
		{File: "vote.go", Old: "if missing > 0 {", New: "if missing > 1 {"},
	}},
	{modelCase{desc: "a restarted agent votes afresh", crashes: 1, large: true, want: "both committed and aborted"}, []mutant.Edit{
		{File: "vote.go", Old: "return proposal.Agents[a.rank] == a.config.Incarnation", New: "return true"},
	}},
	{modelCase{desc: "a promise without a hold", want: "runs on maps"}, []mutant.Edit{
		{File: "vote.go", Old: "	out.Actions = append(out.Actions, Action{Kind: ActionHold, Proposal: proposal})\n", New: "	a.promise(now, rec, out)\n"},
	}},
	{modelCase{desc: "two promises at once", fault: engineForgetsHolds, large: true, want: "runs on maps"}, []mutant.Edit{
		{File: "vote.go", Old: "if a.Undecided() != nil {", New: "if false {"},
	}},
	{modelCase{desc: "the replaced map is not compared", fault: proposerNamesInitialMap, want: "not the"}, []mutant.Edit{
		{File: "vote.go", Old: "return proposal.From == a.current", New: "return true"},
	}},
	{modelCase{desc: "a refusal is forgotten", want: "both committed and aborted"}, []mutant.Edit{
		{File: "vote.go", Old: "found := a.find(proposal.ID)\n	if found == nil {", New: "found := a.find(proposal.ID)\n	if found == nil || found.state == aborted {"},
	}},
	{modelCase{desc: "a restarted agent resumes without asking", crashes: 1, losesHolds: true, want: "both committed and aborted"}, []mutant.Edit{
		{File: "recovery.go", Old: "	a.recovery = &recovery{answered: make([]bool, a.size), nextQuery: now}\n", New: "	out.Actions = append(out.Actions, Action{Kind: ActionResume})\n	if promisesLost {\n		return\n	}\n	a.recovery = &recovery{}\n"},
	}},
	{modelCase{desc: "late promises of a replaced agent count", crashes: 1, losesHolds: true, large: true, want: "both committed and aborted"}, []mutant.Edit{
		{File: "recovery.go", Old: "return message.Agent < a.fences[message.From]\n", New: "return false\n"},
	}},
	{modelCase{desc: "nobody but the coordinator finishes", crashes: 1, livenessEvery: 1, want: "stuck"}, []mutant.Edit{
		{File: "agent.go", Old: "case rec.state == promised && !now.Before(rec.pollAt):", New: "case false:"},
	}},
}

// TestBrokenModel checks one of the broken rules on an edited copy of the sources;
// TestModelCheckCatchesBrokenRules runs it.
func TestBrokenModel(t *testing.T) {
	name, set := os.LookupEnv(mutant.EnvVar)
	if !set {
		t.Skip("run by TestModelCheckCatchesBrokenRules on an edited copy")
	}
	for _, test := range brokenRules {
		if test.desc == name {
			require.Empty(t, explore(newModel(test.modelCase), test.livenessEvery).trace)
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
			require.False(t, passed, "the broken rule is not detected: %s", output)
			require.Contains(t, output, test.want)
		})
	}
}
