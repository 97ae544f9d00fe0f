package pick

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// makeTargets returns n targets distributed over the failure domains.
func makeTargets(n, domains int) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{fmt.Sprintf("t%05d", i), fmt.Sprintf("d%d", i%domains)}
	}
	return targets
}

var allPolicies = []string{PolicyScore, PolicyTwoChoices, PolicyLeastInFlight, PolicyRoundRobin}

func TestPickSkipsAvoidedTargets(t *testing.T) {
	for _, policy := range allPolicies {
		rapid.Check(t, func(rt *rapid.T) {
			set := NewSet(policy, makeTargets(rapid.IntRange(1, 20).Draw(rt, "targets"), 3), nil, SubsetConfig{})
			avoided := map[string]bool{}
			for _, state := range set.States() {
				avoided[state.Name()] = rapid.Bool().Draw(rt, "avoided")
			}
			q := &Query{
				PrefixHashes: []uint64{rapid.Uint64().Draw(rt, "prefix")},
				Random:       rapid.Uint64().Draw(rt, "random"),
				Avoid:        func(s *TargetState) bool { return avoided[s.Name()] },
			}
			state, ok := set.Pick(q)
			allowed := 0
			for _, isAvoided := range avoided {
				if !isAvoided {
					allowed++
				}
			}
			require.Equal(rt, allowed > 0, ok)
			if ok {
				require.False(rt, avoided[state.Name()])
			}
		})
	}
}

func TestPickFromEmptySet(t *testing.T) {
	_, ok := NewSet("", nil, nil, SubsetConfig{}).Pick(&Query{})
	require.False(t, ok)
}

func TestPickPrefersUnpausedTargets(t *testing.T) {
	for _, policy := range allPolicies {
		set := NewSet(policy, makeTargets(2, 1), nil, SubsetConfig{})
		set.States()[0].PauseUntil(time.Second)
		for random := range uint64(50) {
			state, _ := set.Pick(&Query{Random: random})
			require.Equal(t, "t00001", state.Name(), policy)
		}
		set.States()[1].PauseUntil(2 * time.Second)
		state, ok := set.Pick(&Query{})
		require.True(t, ok)
		require.Equal(t, "t00000", state.Name(), "the target whose pause ends first")
	}
}

func TestScorePrefersCachedTargetUntilBusy(t *testing.T) {
	set := NewSet("", makeTargets(10, 2), nil, SubsetConfig{})
	prefix := []uint64{11, 12, 13}
	query := func(random uint64) *Query {
		return &Query{PrefixHashes: prefix, Cost: 1000, BlockCost: 300, Random: random, Now: time.Second}
	}
	first, _ := set.Pick(query(1))
	work := first.Begin(query(1))
	first.FirstToken(&work, time.Second+time.Millisecond)
	for random := range uint64(50) {
		state, _ := set.Pick(query(random))
		require.Same(t, first, state)
	}
	for range 20 {
		first.Begin(&Query{Cost: 1000, Now: time.Second})
	}
	state, _ := set.Pick(query(1))
	require.NotSame(t, first, state)
}

func TestScoreFollowsCacheEvents(t *testing.T) {
	set := NewSet("", makeTargets(50, 2), nil, SubsetConfig{})
	q := func(random uint64) *Query {
		return &Query{PrefixHashes: []uint64{1, 2, 3, 4}, Cost: 1000, BlockCost: 200, Random: random}
	}
	holder := set.States()[17]
	for _, hash := range q(0).PrefixHashes {
		holder.CacheStored(hash)
	}
	state, _ := set.Pick(q(3))
	require.Same(t, holder, state)
	holder.CacheRemoved(1)
	require.Zero(t, holder.cache.depth(q(0).PrefixHashes), "a missing block ends the cached prefix")
	holder.CacheStored(1)
	holder.CacheCleared()
	require.Zero(t, holder.cache.depth(q(0).PrefixHashes))
}

func TestReportSubtractsOwnWorkAtReportTime(t *testing.T) {
	set := NewSet("", makeTargets(1, 1), nil, SubsetConfig{})
	state := set.States()[0]
	query := func(now time.Duration) *Query { return &Query{Cost: 100, Now: now} }
	for range 5 {
		state.Begin(query(time.Second))
	}
	for range 7 {
		state.Begin(query(4 * time.Second))
	}
	state.UpdateLoad(Load{InFlight: 9, WaitingCost: 700, At: 2 * time.Second})
	got := state.report.Load()
	require.InDelta(t, 4, got.otherInFlight, 0.01, "nine, less the five of this process at that time")
	require.InDelta(t, 200, got.otherWaiting, 1)
	state.UpdateLoad(Load{InFlight: 99, At: time.Second})
	require.Same(t, got, state.report.Load(), "an older report is ignored")
	require.Zero(t, got.discountedInFlight(2*time.Second+maxReportAge+1))
}

func TestNewSetKeepsStates(t *testing.T) {
	before := NewSet("", makeTargets(4, 2), nil, SubsetConfig{})
	kept := before.Find("t00001")
	kept.Begin(&Query{Cost: 1})
	removed := before.Find("t00003")
	removed.CacheStored(77)
	after := NewSet(PolicyLeastInFlight, makeTargets(3, 2), before, SubsetConfig{})
	require.Same(t, kept, after.Find("t00001"))
	require.Equal(t, 1, after.Find("t00001").InFlight())
	require.Nil(t, after.Find("t00003"))
	require.Nil(t, after.pool.locator.find(77), "a removed target is no longer found")
}

func TestSubsetIsBoundedStratifiedAndStable(t *testing.T) {
	targets := makeTargets(10000, 8)
	cfg := SubsetConfig{Owner: "e1", Size: 64}
	chosen := Subset(targets, cfg)
	byDomain := map[string]int{}
	for _, target := range chosen {
		byDomain[target.FailureDomain]++
	}
	for domain, n := range byDomain {
		require.Equal(t, 8, n, domain)
	}
	without := make([]Target, 0, len(targets))
	for _, target := range targets {
		if target != chosen[5] {
			without = append(without, target)
		}
	}
	require.Len(t, intersect(chosen, Subset(without, cfg)), 63, "the loss of one target changes one choice")
	require.Len(t, Subset(targets[:10], cfg), 10)
}

func TestSubsetsOfManyOwnersCoverTargetsEvenly(t *testing.T) {
	const owners, size, n = 300, 64, 1000
	counts := map[string]int{}
	for owner := range owners {
		for _, target := range Subset(makeTargets(n, 8), SubsetConfig{Owner: fmt.Sprint("e", owner), Size: size}) {
			counts[target.Name]++
		}
	}
	require.Len(t, counts, n, "each target is in the subset of at least one owner")
	for name, count := range counts {
		require.LessOrEqual(t, count, 2*owners*size/n, name)
	}
}

func intersect(a, b []Target) []Target {
	inA := map[Target]bool{}
	for _, t := range a {
		inA[t] = true
	}
	var both []Target
	for _, t := range b {
		if inA[t] {
			both = append(both, t)
		}
	}
	return both
}

func TestPickDoesNotAllocate(t *testing.T) {
	for _, n := range []int{15, 1000} {
		set, queries := benchSet(n)
		i := 0
		allocations := testing.AllocsPerRun(1000, func() {
			set.Pick(&queries[i%len(queries)])
			i++
		})
		require.Zero(t, allocations)
	}
}

// benchSet returns a set of targets under load, and queries for it.
func benchSet(n int) (*Set, []Query) {
	random := rand.New(rand.NewPCG(1, 2))
	set := NewSet("", makeTargets(n, 3), nil, SubsetConfig{})
	queries := make([]Query, 1024)
	for i := range queries {
		base := random.Uint64N(200) + 1
		prefix := []uint64{mix(base), mix(base + 1000), mix(base + 2000), mix(random.Uint64())}
		queries[i] = Query{PrefixHashes: prefix, Cost: 1000, BlockCost: 250, Random: random.Uint64(), Now: time.Duration(i) * time.Millisecond}
		state, _ := set.Pick(&queries[i])
		state.Begin(&queries[i])
		state.UpdateLoad(Load{InFlight: 20, WaitingCost: 500, Limit: 64, At: time.Duration(i) * time.Millisecond})
	}
	return set, queries
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{15, 64, 1000} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			set, queries := benchSet(n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				set.Pick(&queries[i%len(queries)])
				i++
			}
		})
	}
}

// TestTargetStateConcurrentUse calls the methods of a TargetState concurrently, for the race
// detector, and checks that every Begin is balanced by an End.
func TestTargetStateConcurrentUse(t *testing.T) {
	set, queries := benchSet(20)
	before := 0
	for _, state := range set.States() {
		before += state.InFlight()
	}
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range 500 {
				q := queries[(i*7+worker)%len(queries)]
				state, _ := set.Pick(&q)
				work := state.Begin(&q)
				state.UpdateLoad(Load{InFlight: i, At: q.Now})
				state.CacheStored(q.PrefixHashes[0])
				state.FirstToken(&work, q.Now)
				state.End(&work, q.Now, i%2 == 0)
			}
		})
	}
	group.Wait()
	after := 0
	for _, state := range set.States() {
		after += state.InFlight()
	}
	require.Equal(t, before, after)
}

func TestScoreAvoidsTargetWithoutProgress(t *testing.T) {
	set := NewSet("", makeTargets(2, 1), nil, SubsetConfig{})
	dead := set.States()[0]
	dead.Begin(&Query{Cost: 1, Now: time.Second})
	set.States()[1].Begin(&Query{Cost: 4000, Now: time.Second})
	pickAt := func(now time.Duration) string {
		state, _ := set.Pick(&Query{Cost: 1, Now: now})
		return state.Name()
	}
	require.Equal(t, dead.Name(), pickAt(time.Second+time.Millisecond), "less work waits at that target")
	work := set.States()[1].Begin(&Query{Cost: 1, Now: 2 * time.Second})
	set.States()[1].FirstToken(&work, 3*time.Second)
	require.NotEqual(t, dead.Name(), pickAt(3*time.Second+time.Millisecond), "no first token for two seconds")
}
