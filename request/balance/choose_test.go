package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newRandom() func() float64 { return rand.New(rand.NewPCG(1, 2)).Float64 }

// shares returns how often each candidate is chosen.
func shares(candidates []Candidate, unseen Unseen, preferLocal bool) []float64 {
	const draws = 20_000
	var c Chooser
	random := newRandom()
	counts := make([]float64, len(candidates))
	for range draws {
		counts[c.Choose(candidates, unseen, preferLocal, random)] += 1.0 / draws
	}
	return counts
}

// TestFreshLoadsGiveTheLeastLoaded guards against a random choice where the loads are known.
func TestFreshLoadsGiveTheLeastLoaded(t *testing.T) {
	candidates := []Candidate{{Load: 4, Capacity: 10}, {Load: 3, Capacity: 10}, {Load: 6, Capacity: 24}}
	require.InDelta(t, 1, shares(candidates, Unseen{Total: minUnseen / 2}, false)[2], 1e-9)
	equal := shares([]Candidate{{Load: 3, Capacity: 10}, {Load: 3, Capacity: 10}, {Load: 3, Capacity: 10, Penalty: 0.02}}, Unseen{}, false)
	require.InDelta(t, 0.5, equal[0], 0.02)
	require.Zero(t, equal[2], "the penalty decides between equal loads")
	var c Chooser
	require.Equal(t, -1, c.Choose(nil, Unseen{}, false, newRandom()))
	require.Equal(t, -1, c.Choose(nil, Unseen{Total: 5}, true, newRandom()))
}

// TestUnseenRequestsAreSharedByTheLeastLoaded guards against processes that all choose the
// target with the least load, which the requests of the others have filled meanwhile.
func TestUnseenRequestsAreSharedByTheLeastLoaded(t *testing.T) {
	// Six requests raise the first three targets to 5 of 10 requests.
	got := shares([]Candidate{{Load: 2, Capacity: 10}, {Load: 3, Capacity: 10}, {Load: 4, Capacity: 10}, {Load: 8, Capacity: 10}}, Unseen{Total: 6}, false)
	for _, share := range got[:3] {
		require.InDelta(t, 1.0/3, share, 0.02)
	}
	require.Zero(t, got[3])
	// More than there are slots: in proportion to the capacity.
	got = shares([]Candidate{{Load: 4, Capacity: 5}, {Load: 0, Capacity: 15}}, Unseen{Total: 100}, false)
	require.InDelta(t, 0.25, got[0], 0.02)
}

// TestLevelReachesTheNumberOfRequests checks that the parts of the requests add up to their
// number, also for loads that need many passes.
func TestLevelReachesTheNumberOfRequests(t *testing.T) {
	random := newRandom()
	for range 200 {
		var candidates []Candidate
		for range 1 + int(random()*100) {
			candidate := Candidate{Capacity: 1 + float64(int(random()*20)), Penalty: float64(int(random()*3)) * 0.02}
			candidate.Load = float64(int(random() * candidate.Capacity))
			candidates = append(candidates, candidate)
		}
		var c Chooser
		requests := random() * 200
		level := c.findBelow(candidates, requests)
		total, below := 0.0, 0
		for _, candidate := range candidates {
			if part := (level-candidate.Penalty)*candidate.Capacity - candidate.Load; part > 0 {
				total += part
				below++
			}
		}
		require.InDelta(t, requests, total, 1e-6)
		require.Len(t, c.below, below)
	}
}

func TestChoiceDoesNotAllocate(t *testing.T) {
	var c Chooser
	candidates, random := manyCandidates(100), newRandom()
	choose := func() { c.Choose(candidates, Unseen{Total: 50, LocalShare: 0.4}, true, random) }
	choose()
	require.Zero(t, testing.AllocsPerRun(100, choose))
}

func manyCandidates(count int) []Candidate {
	random := newRandom()
	var all []Candidate
	for range count {
		all = append(all, Candidate{Load: float64(int(random() * 10)), Capacity: 10, Penalty: 0.02 * float64(int(random()*2))})
	}
	return all
}

func BenchmarkChoose1000(b *testing.B) {
	var c Chooser
	candidates, random := manyCandidates(1000), newRandom()
	b.ReportAllocs()
	for b.Loop() {
		c.Choose(candidates, Unseen{Total: 600, LocalShare: 0.4}, true, random)
	}
}

var start = time.Unix(1000, 0)

func TestResidenceIsTheMeanTimeOfRequests(t *testing.T) {
	var r Residence
	now := start
	require.Zero(t, r.Mean())
	// One request starts every 100 ms and takes 400 ms.
	run := func(steps int, every time.Duration) {
		for range steps {
			now = now.Add(every)
			r.End(now)
			r.Start(now)
		}
	}
	for range 4 {
		r.Start(now)
	}
	run(200, 100*time.Millisecond)
	require.InDelta(t, 400, r.Mean().Milliseconds(), 5)
	run(250, 400*time.Millisecond)
	require.InDelta(t, 1600, r.Mean().Milliseconds(), 40, "it follows")
}

// TestReportsAgeTheLoads guards against an estimate by the number of processes alone: what
// counts is how old the report of each of them is.
func TestReportsAgeTheLoads(t *testing.T) {
	var r Reports
	for n := range 5 {
		r.Record("often", true, 10, start.Add(time.Duration(n)*100*time.Millisecond))
		r.Record("rarely", false, 10, start.Add(time.Duration(n-4)*300*time.Millisecond+400*time.Millisecond))
	}
	unseen := func(mean, at time.Duration, total, localShare float64) {
		t.Helper()
		got := r.Unseen(mean, 4, start.Add(at))
		require.InDelta(t, total, got.Total, 1e-9)
		require.InDelta(t, localShare, got.LocalShare, 1e-9)
	}
	unseen(0, 450*time.Millisecond, 0, 15.0/25)
	unseen(time.Second, 450*time.Millisecond, 0.5, 15.0/25)
	unseen(time.Second, 700*time.Millisecond, 6, 15.0/25)
	unseen(10*time.Millisecond, 700*time.Millisecond, 20, 15.0/25)
	r.Remove("rarely")
	unseen(time.Second, 700*time.Millisecond, 3, 1)
}
