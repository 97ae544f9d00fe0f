package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func seeded(seed uint64) func() float64 { return rand.New(rand.NewPCG(seed, 1)).Float64 }

// mixedHosts are the entries of one failure domain of the deployment with 70 entries.
func mixedHosts(domain string) []Host {
	var hosts []Host
	large := Resources{Processor: 0.8, Memory: 536, Link: 200}
	small := Resources{Processor: 0.272, Memory: 136, Link: 28}
	for n := range 23 {
		resources := small
		if n < 2 {
			resources = large
		}
		hosts = append(hosts, Host{Address: fmt.Sprintf("%s-%02d", domain, n), FailureDomain: domain, Weight: resources.Weight(), Busy: 0.3})
	}
	return hosts
}

// shares returns the part of callers that each address gets.
func shares(answers int, answer func() []string) map[string]float64 {
	got := map[string]float64{}
	for range answers {
		addresses := answer()
		for _, address := range addresses {
			got[address] += 1 / float64(len(addresses)) / float64(answers)
		}
	}
	return got
}

// TestCallersFollowCapacity guards against small entries that get as many callers as large
// ones, and against answers that the loss of two hosts leaves empty.
func TestCallersFollowCapacity(t *testing.T) {
	hosts, random := mixedHosts("z"), seeded(1)
	total := 0.0
	for _, host := range hosts {
		total += host.Weight
	}
	got := shares(20_000, func() []string {
		answer := Choose(hosts, random)
		require.GreaterOrEqual(t, len(answer), minAnswer)
		return answer
	})
	for _, host := range hosts {
		require.InEpsilon(t, host.Weight/total, got[host.Address], 0.25, "%s", host.Address)
	}
	require.Greater(t, got["z-00"], 2.2*got["z-20"])
}

func TestChosenHostsAreDistinctAndProportional(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0, 4), 1, 100).Draw(rt, "weights")
		var hosts []Host
		for n, weight := range weights {
			hosts = append(hosts, Host{Address: fmt.Sprint(n), Weight: weight, Busy: rapid.Float64Range(-1, 1.5).Draw(rt, "busy")})
		}
		chosen := Choose(hosts, seeded(rapid.Uint64().Draw(rt, "seed")))
		distinct := map[string]bool{}
		for _, address := range chosen {
			distinct[address] = true
		}
		require.Len(rt, distinct, len(chosen))
		require.GreaterOrEqual(rt, len(chosen), min(minAnswer, len(hosts)))
		if adjusted, stated := hostWeights(hosts); stated {
			require.LessOrEqual(rt, len(chosen), max(maxAnswer, minAnswer))
			sum := 0.0
			for _, probability := range inclusionProbabilities(adjusted, answerSize(adjusted)) {
				require.True(rt, probability >= 0 && probability <= 1)
				sum += probability
			}
			require.InDelta(rt, answerSize(adjusted), sum, 1e-6)
		}
	})
}

// TestEntriesWithoutCapacityAreServedAsBefore guards against a change for deployments that
// state no capacities, and for those whose entries are nearly equal.
func TestEntriesWithoutCapacityAreServedAsBefore(t *testing.T) {
	var hosts, similar []Host
	var all []string
	for n := range 100 {
		all = append(all, fmt.Sprint(n))
		hosts = append(hosts, Host{Address: all[n], Busy: -1})
	}
	require.Equal(t, all, Choose(hosts, nil))
	for n := range 5 {
		similar = append(similar, Host{Address: all[n], Weight: 0.8 + 0.05*float64(n)})
	}
	require.Equal(t, all[:5], Choose(similar, nil))
	similar[0].Weight = 0
	require.Equal(t, all[:5], Choose(similar, nil), "one of an earlier release")
	require.Empty(t, Choose(nil, nil))
}

// TestBusyEntryGetsFewerCallers guards against an entry that stays overloaded while others of
// its domain are not.
func TestBusyEntryGetsFewerCallers(t *testing.T) {
	hosts, random := mixedHosts("z"), seeded(2)
	hosts[5].Busy = 1
	got := shares(20_000, func() []string { return Choose(hosts, random) })
	require.InEpsilon(t, minBusyFactor*got["z-06"], got["z-05"], 0.1)
}

// TestWeightIsThatOfTheScarcestResource guards against callers for an entry whose memory or link
// suffices for fewer than its processor.
func TestWeightIsThatOfTheScarcestResource(t *testing.T) {
	require.InDelta(t, 0.8, Resources{Processor: 0.8, Memory: 536, Link: 200}.Weight(), 0)
	require.InDelta(t, 0.272, Resources{Processor: 0.272, Memory: 136, Link: 28}.Weight(), 0)
	require.InDelta(t, 0.1, Resources{Processor: 0.8, Memory: 536, Link: 10}.Weight(), 1e-9)
	require.InDelta(t, 0.1, Resources{Processor: 0.8, Memory: 50}.Weight(), 1e-9)
	require.Zero(t, Resources{Memory: 50, Link: 10}.Weight())
}
