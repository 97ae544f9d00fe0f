package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/version/config"
)

const (
	engineSlots  = 10
	engineTokens = 233_333
)

// newEngines returns a dispatcher with engines t0, t1 and so on.
func newEngines(count int) *Dispatcher {
	d := New(Config{FailureDomain: "d0"})
	d.SetServices(map[string]*config.Service{"s": {
		Name: "s", Engine: &config.Engine{MaxConcurrentRequests: engineSlots, KVCapacityTokens: engineTokens},
	}}, start)
	for n := range count {
		d.Register(registration(n, engineSlots), start)
	}
	return d
}

func tokenWork(tokens int) Request {
	w := work(1)
	w.Tokens = tokens
	return w
}

func release(d *Dispatcher, t *Target, tokens int) {
	d.ReleaseTokens(t, tokens)
	d.Release(t, Served, start)
}

// TestUsualRequestsFillAllSlots guards against fewer requests than slots where memory isn't
// scarce, with and without reports of other processes, and against reports in that case.
func TestUsualRequestsFillAllSlots(t *testing.T) {
	for _, tokens := range []int{0, 1000, engineTokens / engineSlots} {
		d := newEngines(1)
		d.SetPeerLoad("peer", map[string]int{"t0": 6}, start)
		for range engineSlots - 6 {
			taken, _ := d.Acquire(tokenWork(tokens), start)
			require.NotNil(t, taken)
		}
		require.Empty(t, d.Tokens(), "nothing to report")
	}
}

// TestLargeRequestsGoWhereTheyFit guards against a target that crashes because its requests
// exceed its memory, and against requests that wait behind one that waits for memory.
func TestLargeRequestsGoWhereTheyFit(t *testing.T) {
	const large = 150_000
	d := newEngines(2)
	first, _ := d.Acquire(tokenWork(large), start)
	second, _ := d.Acquire(tokenWork(large), start)
	require.NotSame(t, first, second)
	none, waiter := d.Acquire(tokenWork(large), start)
	require.Nil(t, none)
	require.NotNil(t, waiter, "it waits")
	small, _ := d.Acquire(tokenWork(1000), start)
	require.NotNil(t, small, "small requests don't wait for it")
	unstated, _ := d.Acquire(tokenWork(0), start)
	require.NotNil(t, unstated)
	release(d, first, large)
	require.Same(t, first, granted(waiter))
	require.False(t, d.ExceedsMemory("s", engineTokens))
	require.True(t, d.ExceedsMemory("s", engineTokens+1))
	require.False(t, d.ExceedsMemory("other", engineTokens+1), "no memory is known")
}

// TestReportsOfOtherProcessesCount guards against two processes that fill the memory of one
// target, and against reports that outlive their process.
func TestReportsOfOtherProcessesCount(t *testing.T) {
	const large = 150_000
	a, b := newEngines(1), newEngines(1)
	taken, _ := a.Acquire(tokenWork(large), start)
	report := a.Tokens()
	require.Equal(t, map[string]int{"t0": (large - engineTokens/engineSlots + tokenUnit - 1) / tokenUnit}, report)
	b.SetPeerTokens("a", report, start)
	b.SetPeerLoad("a", a.Load(), start)
	_, waiter := b.Acquire(tokenWork(large), start)
	require.NotNil(t, waiter)
	release(a, taken, large)
	require.Empty(t, a.Tokens())
	b.SetPeerLoad("a", nil, start)
	require.Nil(t, granted(waiter))
	b.SetPeerTokens("a", nil, start)
	require.NotNil(t, granted(waiter), "freed memory is granted at once")
	b.SetPeerTokens("a", map[string]int{"t0": -5, "gone": 1 << 60}, start)
	require.Empty(t, b.pools["s"].targets["t0"].peerTokens)
}

func TestReportOfTokensIsBounded(t *testing.T) {
	d := newEngines(2 * maxTokenReports)
	for n := range 2 * maxTokenReports {
		taken, _ := d.Acquire(tokenWork(100_000+n), start)
		require.NotNil(t, taken)
	}
	require.Len(t, d.Tokens(), maxTokenReports)
}

// TestMemoryIsNeverExceeded replays requests of all sizes at three processes that report to each
// other at once, and guards against sums over processes that miss requests.
func TestMemoryIsNeverExceeded(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	type running struct {
		process, tokens int
		target          *Target
	}
	processes := []*Dispatcher{newEngines(3), newEngines(3), newEngines(3)}
	report := func(from int) {
		for to, d := range processes {
			if to != from {
				d.SetPeerTokens(fmt.Sprint(from), processes[from].Tokens(), start)
				d.SetPeerLoad(fmt.Sprint(from), processes[from].Load(), start)
			}
		}
	}
	var all []running
	refused := 0
	for range 3000 {
		if len(all) > 0 && random.IntN(2) == 0 {
			n := random.IntN(len(all))
			ended := all[n]
			all = append(all[:n], all[n+1:]...)
			release(processes[ended.process], ended.target, ended.tokens)
			report(ended.process)
			continue
		}
		process, tokens := random.IntN(len(processes)), 500+random.IntN(1000)
		if random.IntN(4) == 0 {
			tokens = random.IntN(engineTokens)
		}
		taken, waiter := processes[process].Acquire(tokenWork(tokens), start)
		if taken == nil {
			if waiter != nil {
				processes[process].CancelWait(waiter)
			}
			refused++
			continue
		}
		all = append(all, running{process, tokens, taken})
		report(process)
		held := map[string]int{}
		for _, r := range all {
			held[r.target.ID()] += r.tokens
			require.LessOrEqual(t, held[r.target.ID()], engineTokens)
		}
	}
	require.Positive(t, refused)
	require.Less(t, refused, 1000)
}

// BenchmarkChoiceWithTokens shows the cost of the predicate at 129 targets and 70 processes.
func BenchmarkChoiceWithTokens(b *testing.B) {
	d := newEngines(129)
	for process := range 69 {
		load := map[string]int{}
		for n := range 4 {
			load[fmt.Sprintf("t%d", (process*4+n)%129)] = 1
		}
		d.SetPeerLoad(fmt.Sprint(process), load, start)
	}
	for _, tokens := range []int{0, 1000, 50_000} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) {
			for b.Loop() {
				taken, _ := d.Acquire(tokenWork(tokens), start.Add(time.Second))
				release(d, taken, tokens)
			}
		})
	}
}
