package placement

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenaseam.example/verbenaseam/internal/rapidseed"
)

// drawInput draws an input whose slots suffice for every expert.
func drawInput(t *rapid.T) Input {
	ranks := rapid.IntRange(2, 12).Draw(t, "ranks")
	experts := rapid.IntRange(2, 24).Draw(t, "experts")
	layers := rapid.IntRange(1, 3).Draw(t, "layers")
	in := Input{Speeds: make([]float64, ranks)}
	for rank := range in.Speeds {
		in.Speeds[rank] = rapid.Float64Range(0.5, 2).Draw(t, "speed")
	}
	for range layers {
		loads := make([]float64, experts)
		for expert := range loads {
			loads[expert] = rapid.Float64Range(0, 100).Draw(t, "load")
		}
		slots := make([]int, ranks)
		for rank := range slots {
			// The remaining ranks can hold every expert after the loss of one rank.
			slots[rank] = (experts+ranks-2)/(ranks-1) + rapid.IntRange(0, 2).Draw(t, "spare")
		}
		in.Loads, in.Slots = append(in.Loads, loads), append(in.Slots, slots)
	}
	return in
}

func TestPackAndImproveProduceValidMapsAboveLowerBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		packed, err := Pack(in, 2)
		require.NoError(t, err)
		require.True(t, packed.Map.Valid(in))
		for expert := range in.Loads[0] {
			in.Loads[0][expert] = rapid.Float64Range(0, 100).Draw(t, "drifted load")
		}
		settings := DefaultSettings()
		settings.Workers = 2
		improved, err := Improve(in, packed.Map, settings)
		require.NoError(t, err)
		require.True(t, improved.Map.Valid(in))
		require.ElementsMatch(t, addedReplicas(packed.Map, improved.Map), effectiveMoves(improved, packed.Map), "moves are the replicas that the map gained")
		for layer, loads := range in.Loads {
			ideal := idealTime(loads, in.Speeds)
			bound := LowerBound(loads, in.Speeds, in.Slots[layer])
			for _, m := range []*Map{packed.Map, improved.Map} {
				slowest := 0.0
				for _, time := range m.Times(in.Loads, in.Speeds)[layer] {
					slowest = max(slowest, time)
				}
				require.GreaterOrEqual(t, slowest*(1+1e-6)+1e-9, bound*ideal)
			}
		}
	})
}

func TestRepairReloadsOnlyLostExperts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		packed, err := Pack(in, 1)
		require.NoError(t, err)
		lost := rapid.IntRange(0, len(in.Speeds)-1).Draw(t, "lost")
		in.Speeds[lost] = 0
		plan, err := Repair(in, packed.Map, 1)
		require.NoError(t, err)
		require.True(t, plan.Map.Valid(in))
		lostExperts := 0
		for _, experts := range packed.Map.Layers {
			for _, replicas := range experts {
				if len(replicas) == 1 && replicas[0].Rank == lost {
					lostExperts++
				}
			}
		}
		require.Len(t, plan.Moves, lostExperts)
	})
}

// addedReplicas lists the replicas that next holds and current does not.
func addedReplicas(current, next *Map) []Move {
	var moves []Move
	for layer, experts := range next.Layers {
		for expert, replicas := range experts {
			for _, replica := range replicas {
				if !hasReplica(current, layer, expert, replica.Rank) {
					moves = append(moves, Move{layer, expert, replica.Rank})
				}
			}
		}
	}
	return moves
}

// effectiveMoves lists, without duplicates, the plan's moves whose replica its map
// holds and current does not.
func effectiveMoves(plan Plan, current *Map) []Move {
	var moves []Move
	seen := map[Move]bool{}
	for _, move := range plan.Moves {
		if !seen[move] && hasReplica(plan.Map, move.Layer, move.Expert, move.Rank) && !hasReplica(current, move.Layer, move.Expert, move.Rank) {
			moves = append(moves, move)
		}
		seen[move] = true
	}
	return moves
}

func hasReplica(m *Map, layer, expert, rank int) bool {
	for _, replica := range m.Layers[layer][expert] {
		if replica.Rank == rank {
			return true
		}
	}
	return false
}

// correlatedHalves suspects that the ranks below its value fail together, and likewise
// the ranks from its value on.
type correlatedHalves int

func (c correlatedHalves) MayFailTogether(a, b int) bool { return (a < int(c)) == (b < int(c)) }

func TestReplicasAvoidCorrelatedFailures(t *testing.T) {
	in := Input{Speeds: make([]float64, 8), FailureCorrelation: correlatedHalves(4)}
	loads := make([]float64, 8)
	for i := range loads {
		in.Speeds[i], loads[i] = 1, float64(1+10*(i%2))
	}
	in.Loads, in.Slots = [][]float64{loads}, [][]int{{2, 2, 2, 2, 2, 2, 2, 2}}
	plan, err := Pack(in, 1)
	require.NoError(t, err)
	for expert, replicas := range plan.Map.Layers[0] {
		low, high := false, false
		for _, replica := range replicas {
			low, high = low || replica.Rank < 4, high || replica.Rank >= 4
		}
		require.True(t, len(replicas) < 2 || (low && high), "expert %d: %v", expert, replicas)
	}
}

func TestPinnedReplicasAreKept(t *testing.T) {
	in := Input{
		Loads:  [][]float64{{100, 1, 1, 1}},
		Speeds: []float64{1, 1, 1},
		Slots:  [][]int{{2, 2, 2}},
		Pins:   []Pin{{Layer: 0, Expert: 3, Rank: 0}},
	}
	plan, err := Pack(in, 1)
	require.NoError(t, err)
	require.True(t, hasReplica(plan.Map, 0, 3, 0))
	in.Loads = [][]float64{{1, 100, 100, 1}}
	next, err := Improve(in, plan.Map, DefaultSettings())
	require.NoError(t, err)
	require.True(t, hasReplica(next.Map, 0, 3, 0))
}

func TestTelemetryIgnoresLateAndRepeatedReports(t *testing.T) {
	report := func(sequence, steps, tokens uint64, busy time.Duration) Report {
		return Report{Incarnation: 1, Sequence: sequence, Steps: steps, Routed: [][]uint64{{tokens}}, Computed: tokens, Busy: busy}
	}
	start := time.Unix(0, 0)
	telemetry := NewTelemetry(1, 1, 1)
	require.True(t, telemetry.AddReport(start, report(1, 0, 0, 0)))
	require.True(t, telemetry.AddReport(start.Add(time.Second), report(3, 20, 200, 2*time.Second)))
	require.False(t, telemetry.AddReport(start.Add(2*time.Second), report(2, 10, 150, time.Second)), "late report")
	require.False(t, telemetry.AddReport(start.Add(2*time.Second), report(3, 20, 200, 2*time.Second)), "duplicate report")
	loads, hasData := telemetry.Loads()
	require.True(t, hasData)
	require.InDelta(t, 10, loads[0][0], 1e-9, "tokens per step")
	require.InDelta(t, 100, telemetry.UsualSpeed(0), 1e-9, "tokens per second")
	stalled := report(4, 21, 210, 12*time.Second)
	require.True(t, telemetry.AddReport(start.Add(12*time.Second), stalled))
	require.InDelta(t, 100, telemetry.UsualSpeed(0), 1e-9, "a stall does not change the speed")
}

func TestClassifyRanksDistinguishesCausesOfSlowness(t *testing.T) {
	healthy := RankProgress{Tokens: 100, Busy: 10 * time.Millisecond, UsualSpeed: 10000, Silence: 10 * time.Millisecond}
	overloaded, slow, stalled := healthy, healthy, healthy
	overloaded.Tokens, overloaded.Busy = 200, 20*time.Millisecond
	slow.Busy = 20 * time.Millisecond
	stalled.Silence = time.Second
	health := ClassifyRanks([]RankProgress{healthy, overloaded, healthy, slow, healthy, stalled, healthy, healthy})
	require.Equal(t, []RankHealth{Healthy, Overloaded, Healthy, Slow, Healthy, Stalled, Healthy, Healthy}, health)
}

func TestBudgetAllowsOrRefusesMoves(t *testing.T) {
	now := time.Unix(0, 0)
	request := MoveRequest{Group: "a", FailureDomains: []string{"north"}, Bytes: 100, SkewBefore: Skew{1.2, 1.2}, SkewAfter: Skew{1.0, 1.0}}
	with := func(change func(*MoveRequest)) MoveRequest {
		changed := request
		change(&changed)
		return changed
	}
	table := []struct {
		desc    string
		before  func(*Budget)
		request MoveRequest
		want    Refusal
	}{
		{"gain exceeds cost", func(*Budget) {}, request, Allowed},
		{"paused", func(b *Budget) { b.Pause(true) }, request, Paused},
		{"paused, but required", func(b *Budget) { b.Pause(true) }, with(func(r *MoveRequest) { r.Required = true }), Allowed},
		{"domain leaving", func(b *Budget) { b.SetLeaving("north", true) }, request, DomainLeaving},
		{"domain back", func(b *Budget) { b.SetLeaving("north", true); b.SetLeaving("north", false) }, request, Allowed},
		{"another group is moving weights", func(b *Budget) { b.Begin(now, request) }, with(func(r *MoveRequest) { r.Group = "b" }), DomainBusy},
		{"the other group is done", func(b *Budget) { b.Begin(now, request); b.End("a") }, with(func(r *MoveRequest) { r.Group = "b" }), Allowed},
		{"too little gain", func(*Budget) {}, with(func(r *MoveRequest) { r.SkewAfter = Skew{1.199, 1.199} }), NotWorthIt},
		{"over budget", func(b *Budget) { b.Begin(now, with(func(r *MoveRequest) { r.Bytes = 950 })) }, request, OverBudget},
	}
	for _, test := range table {
		t.Run(test.desc, func(t *testing.T) {
			budget := NewBudget(BudgetConfig{BytesPerSecond: 100, BurstBytes: 1000, Horizon: time.Minute, LoadCost: 0.1})
			test.before(budget)
			require.Equal(t, test.want, budget.Begin(now, test.request))
		})
	}
}

func TestMetricsAreLabelledByGroup(t *testing.T) {
	registry := prometheus.NewRegistry()
	metrics := NewMetrics(registry)
	metrics.ObserveSkew("g", Skew{Step: 1.04, Barrier: 1.1})
	metrics.AddMoves("g", 3, 300)
	metrics.ObserveSwitch("g", "commit", time.Millisecond)
	metrics.AddRefusal("g", Paused)
	count, err := testutil.GatherAndCount(registry)
	require.NoError(t, err)
	require.Equal(t, 7, count)
	require.InDelta(t, 300, testutil.ToFloat64(metrics.bytes.WithLabelValues("g")), 0)
}

func TestMain(m *testing.M) { rapidseed.Main(m, "6") }
