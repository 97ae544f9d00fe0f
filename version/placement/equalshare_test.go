package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// roundRobin returns a map with one replica per expert, assigned to the ranks
// round-robin.
func roundRobin(layers, experts, ranks int) [][][]int {
	rankExperts := make([][][]int, layers)
	for layer := range rankExperts {
		rankExperts[layer] = make([][]int, ranks)
		for expert := range experts {
			rank := expert % ranks
			rankExperts[layer][rank] = append(rankExperts[layer][rank], expert)
		}
	}
	return rankExperts
}

// skewedLoads returns loads that follow a power law over the experts of each layer.
func skewedLoads(random *rand.Rand, layers, experts int) [][]float64 {
	loads := make([][]float64, layers)
	for layer := range loads {
		loads[layer] = make([]float64, experts)
		for index, expert := range random.Perm(experts) {
			loads[layer][expert] = 1000 / math.Pow(float64(index+1), 1.1)
		}
	}
	return loads
}

// requireWithinLimits checks that a map keeps the limits of the input, and returns
// the number of copies by rank.
func requireWithinLimits(t *testing.T, in EqualShareInput, before, after [][][]int) []int {
	t.Helper()
	copies := make([]int, in.Ranks)
	for layer := range after {
		replicas := map[int]int{}
		for rank, experts := range after[layer] {
			require.LessOrEqual(t, len(experts), in.Slots)
			seen := map[int]bool{}
			added := 0
			for _, expert := range experts {
				require.False(t, seen[expert], "a rank holds an expert twice")
				seen[expert] = true
				replicas[expert]++
				if !slices.Contains(before[layer][rank], expert) {
					added++
				}
			}
			require.LessOrEqual(t, added, in.MaxNewPerLayer)
			copies[rank] += added
		}
		require.Len(t, replicas, len(in.Loads[0][layer]), "every expert has a replica")
	}
	return copies
}

func TestImproveEqualShareRespectsLimits(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		in := EqualShareInput{Loads: [][][]float64{skewedLoads(random, 4, 72)}, Ranks: 12, Slots: 8, MaxNewPerLayer: 3}
		before := roundRobin(4, 72, 12)
		settings := EqualShareSettings{MinGainPerCopy: 0.005, MaxNewPerRank: 1 + random.IntN(12), MaxSteps: 200}
		plan, err := ImproveEqualShare(in, before, settings)
		require.NoError(t, err)
		copies := requireWithinLimits(t, in, before, plan.Experts)
		require.LessOrEqual(t, slices.Max(copies), settings.MaxNewPerRank)
		require.Equal(t, slices.Max(copies), plan.PeakCopiesPerRank)
		total := 0
		for _, count := range copies {
			total += count
		}
		require.Equal(t, total, plan.Copies)
		skew, err := EqualShareSkew(in, plan.Experts)
		require.NoError(t, err)
		require.InDelta(t, skew, plan.SkewAfter, 1e-6)
		require.Less(t, plan.SkewAfter, plan.SkewBefore)
	}
}

func TestImproveEqualShareApproachesBalance(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 10 {
		in := EqualShareInput{Loads: [][][]float64{skewedLoads(random, 4, 72)}, Ranks: 12, Slots: 8, MaxNewPerLayer: 3}
		plan, err := ImproveEqualShare(in, roundRobin(4, 72, 12), EqualShareSettings{MinGainPerCopy: 0.002, MaxNewPerRank: 12, MaxSteps: 300})
		require.NoError(t, err)
		require.Less(t, plan.SkewAfter, 1.15, "from %g", plan.SkewBefore)
	}
}

func TestImproveEqualShareKeepsBalancedMap(t *testing.T) {
	loads := [][][]float64{{slices.Repeat([]float64{5}, 24)}}
	in := EqualShareInput{Loads: loads, Ranks: 12, Slots: 3, MaxNewPerLayer: 1}
	plan, err := ImproveEqualShare(in, roundRobin(1, 24, 12), EqualShareSettings{MinGainPerCopy: 0.005, MaxNewPerRank: 4, MaxSteps: 50})
	require.NoError(t, err)
	require.Zero(t, plan.Copies)
	require.Equal(t, roundRobin(1, 24, 12), plan.Experts)
}

func TestImproveEqualShareImprovesSmallGroups(t *testing.T) {
	for ranks := 2; ranks <= 4; ranks++ {
		loads := make([]float64, 2*ranks)
		loads[0], loads[ranks] = 100, 90
		in := EqualShareInput{Loads: [][][]float64{{loads}}, Ranks: ranks, Slots: 4, MaxNewPerLayer: 2}
		plan, err := ImproveEqualShare(in, roundRobin(1, 2*ranks, ranks), EqualShareSettings{MinGainPerCopy: 0.1, MaxNewPerRank: 2, MaxSteps: 50})
		require.NoError(t, err)
		require.InDelta(t, float64(ranks), plan.SkewBefore, 0.01)
		require.Less(t, plan.SkewAfter, 0.75*plan.SkewBefore, "%d ranks", ranks)
	}
}

func TestImproveEqualShareUnloadsSlowRank(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 1))
	in := EqualShareInput{Loads: [][][]float64{skewedLoads(random, 2, 72)}, Ranks: 12, Slots: 8, MaxNewPerLayer: 3}
	in.Slowdowns = slices.Repeat([]float64{1}, 12)
	in.Slowdowns[4] = 3
	plan, err := ImproveEqualShare(in, roundRobin(2, 72, 12), EqualShareSettings{MinGainPerCopy: 0.002, MaxNewPerRank: 6, MaxSteps: 300})
	require.NoError(t, err)
	require.Less(t, plan.SkewAfter, 1.25)
	tokens := make([]float64, 12)
	for layer := range plan.Experts {
		replicas := map[int]int{}
		for _, experts := range plan.Experts[layer] {
			for _, expert := range experts {
				replicas[expert]++
			}
		}
		for rank, experts := range plan.Experts[layer] {
			for _, expert := range experts {
				tokens[rank] += in.Loads[0][layer][expert] / float64(replicas[expert])
			}
		}
	}
	slowTokens := tokens[4]
	tokens[4] = math.Inf(1)
	require.Less(t, slowTokens, 0.6*slices.Min(tokens))
}

func TestImproveEqualShareRejectsMismatchedMap(t *testing.T) {
	in := EqualShareInput{Loads: [][][]float64{{{1, 2, 3}}}, Ranks: 2, Slots: 2, MaxNewPerLayer: 1}
	for _, experts := range [][][][]int{
		nil,
		{{{0, 1}}},
		{{{0}, {1}}},
		{{{0, 1, 7}, {2}}},
		{{{0, 0}, {1, 2}}},
	} {
		_, err := ImproveEqualShare(in, experts, EqualShareSettings{MaxSteps: 1})
		require.ErrorIs(t, err, ErrShapeMismatch)
	}
}

// BenchmarkImproveEqualShare measures one decision for groups of the two sizes in use, with
// one demand and with several.
func BenchmarkImproveEqualShare(b *testing.B) {
	random := rand.New(rand.NewPCG(5, 6))
	for _, size := range []struct {
		name                          string
		layers, experts, ranks, slots int
	}{{"12ranks", 4, 72, 12, 8}, {"63ranks", 8, 252, 63, 5}} {
		for _, demands := range []int{1, 8} {
			in := EqualShareInput{Ranks: size.ranks, Slots: size.slots, MaxNewPerLayer: 3}
			for range demands {
				in.Loads = append(in.Loads, skewedLoads(random, size.layers, size.experts))
			}
			before := roundRobin(size.layers, size.experts, size.ranks)
			b.Run(fmt.Sprintf("%s/%ddemands", size.name, demands), func(b *testing.B) {
				for b.Loop() {
					plan, err := ImproveEqualShare(in, before, EqualShareSettings{MinGainPerCopy: 0.004, MaxNewPerRank: 1, MaxSteps: 400})
					require.NoError(b, err)
					b.ReportMetric(plan.SkewAfter, "skew")
					b.ReportMetric(float64(plan.Copies), "copies")
				}
			})
		}
	}
}
