package rebalance

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/expertmap"
)

const testRanks = 4

var testGroup = expertmap.GroupID{Name: "g", Incarnation: 3}

// harness drives a planner with the statuses of simulated ranks.
type harness struct {
	t       *testing.T
	planner *Planner
	now     time.Time
	// sequence is the sequence number of the latest statuses.
	sequence uint64
	step     uint64
	status   [testRanks]Status
	// silent holds the ranks that send no status.
	silent map[int]bool
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: time.Unix(100, 0), silent: map[int]bool{}}
	for rank := range h.status {
		h.status[rank] = Status{Rank: rank, Size: testRanks, AgentIncarnation: uint64(10 + rank), Held: [][]int{{rank, rank + testRanks}}}
	}
	h.startPlanner()
	return h
}

// startPlanner starts a new planner on rank 0.
func (h *harness) startPlanner() {
	shape := config.Experts{Sets: 1, PerSet: 2 * testRanks, SlotsPerRank: 3, MaxNewPerMap: 2}
	policy := DefaultPolicy()
	policy.MaxNewPerRank = 2
	h.planner = NewPlanner(testGroup, shape, 0, h.status[0], policy)
}

func hostOf(rank int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(rank + 1)}) }

// tick advances the time by 100 ms and returns the output of the planner.
func (h *harness) tick() (*Decision, *expertmap.Proposal) {
	h.now = h.now.Add(sliceDuration)
	h.sequence++
	h.step += 2
	for rank, status := range h.status {
		if h.silent[rank] {
			continue
		}
		status.Sequence = h.sequence
		if rank == 1 {
			for _, counts := range SplitCounts(rank, []uint64{500, 10, 10, 10, 400, 10, 10, 10}) {
				h.planner.HandleCounts(counts, h.now)
			}
		}
		require.NoError(h.t, h.planner.HandleStatus(status, hostOf(rank), h.now))
	}
	return h.planner.Step(h.step, h.now)
}

// tickUntil ticks until the planner takes a decision, which must be of the given
// kind.
func (h *harness) tickUntil(kind DecisionKind) (*Decision, *expertmap.Proposal) {
	h.t.Helper()
	for range 100 {
		decision, proposal := h.tick()
		if decision != nil {
			require.Equal(h.t, kind, decision.Kind)
			return decision, proposal
		}
	}
	h.t.Fatalf("no decision %q within 100 ticks", kind)
	return nil, nil
}

// setPrepared makes all ranks report that they have copied the map.
func (h *harness) setPrepared(number uint64) {
	for rank := range h.status {
		h.status[rank].Prepared = number
	}
}

func TestSwitchProposedOnceAllRanksHaveMap(t *testing.T) {
	h := newHarness(t)
	decision, _ := h.tickUntil(Prepare)
	require.Less(t, decision.Plan.SkewAfter, decision.Plan.SkewBefore)
	number := decision.Map.Number()
	require.Equal(t, number, h.planner.Directive().Prepare)
	for rank := range testRanks - 1 {
		h.status[rank].Prepared = number
		decision, proposal := h.tick()
		require.Nil(t, decision)
		require.Nil(t, proposal)
	}
	h.setPrepared(number)
	_, proposal := h.tickUntil(Propose)
	require.Equal(t, number, proposal.To.Number())
	require.Equal(t, expertmap.MapID{}, proposal.From)
	require.Equal(t, testGroup, proposal.Group)
	require.Equal(t, []uint64{10, 11, 12, 13}, proposal.Agents)
	require.Equal(t, h.step+DefaultPolicy().MinLead, proposal.Step)
	require.Equal(t, expertmap.NewProposalID(proposal.To, proposal.Step), proposal.ID)

	agreed := h.planner.HandleOutcome(expertmap.Outcome{ID: proposal.ID, Decision: expertmap.Commit}, h.now)
	require.Equal(t, Agreed, agreed.Kind)
	for rank := range h.status {
		h.status[rank].Running = number
	}
	h.tickUntil(InUse)
}

func TestAbortedSwitchProposedAgainForLaterStep(t *testing.T) {
	h := newHarness(t)
	decision, _ := h.tickUntil(Prepare)
	h.setPrepared(decision.Map.Number())
	_, first := h.tickUntil(Propose)
	require.NotNil(t, h.planner.HandleOutcome(expertmap.Outcome{ID: first.ID, Decision: expertmap.Abort}, h.now))
	_, second := h.tickUntil(Propose)
	require.Equal(t, first.To, second.To, "the same map")
	require.Greater(t, second.Step-h.step, first.Step-(h.step-2), "further ahead")
	require.NotEqual(t, first.ID, second.ID)
	require.Nil(t, h.planner.HandleOutcome(expertmap.Outcome{ID: expertmap.ProposalID{Epoch: 99}, Decision: expertmap.Commit}, h.now), "outcome of another proposal")
}

func TestAbortedProposalsStayWithinMaxLead(t *testing.T) {
	h := newHarness(t)
	decision, _ := h.tickUntil(Prepare)
	h.setPrepared(decision.Map.Number())
	seen := map[uint64]bool{}
	for range 3 * maxLead {
		h.step -= 2 // no step starts
		_, proposal := h.tick()
		if proposal == nil {
			continue
		}
		require.False(t, seen[proposal.Step], "a map is proposed at most once for each step")
		seen[proposal.Step] = true
		require.LessOrEqual(t, proposal.Step, h.step+maxLead)
		h.planner.HandleOutcome(expertmap.Outcome{ID: proposal.ID, Decision: expertmap.Abort}, h.now)
	}
	require.NotEmpty(t, seen)
	h.step += 2 * maxLead
	_, proposal := h.tickUntil(Propose)
	require.NotNil(t, proposal)
}

func TestInvalidatedMapGivenUpAtOnce(t *testing.T) {
	h := newHarness(t)
	decision, _ := h.tickUntil(Prepare)
	failed := decision.Map
	h.setPrepared(failed.Number())
	_, first := h.tickUntil(Propose)
	h.status[2].Prepared = failed.Invalidator().Number()
	require.NotNil(t, h.planner.HandleOutcome(expertmap.Outcome{ID: first.ID, Decision: expertmap.Abort}, h.now))
	h.tickUntil(GivenUp)
	decision, _ = h.tickUntil(Prepare)
	require.Greater(t, decision.Map.Number(), failed.Invalidator().Number(), "every rank accepts the next map")
	require.False(t, decision.Map.IsInvalidator())
}

func TestStepsAheadCoverVoteTime(t *testing.T) {
	p := Planner{lead: 2}
	require.Equal(t, uint64(2), p.stepsAhead())
	p.stepTimer.stepTime, p.voteTime = 70*time.Millisecond, 45*time.Millisecond
	require.Equal(t, uint64(2), p.stepsAhead())
	p.voteTime = 90 * time.Millisecond
	require.Equal(t, uint64(3), p.stepsAhead())
	p.voteTime = time.Hour
	require.Equal(t, uint64(maxLead), p.stepsAhead())
}

func TestNoPlanWhileRankSilent(t *testing.T) {
	h := newHarness(t)
	h.silent[2] = true
	for range 20 {
		decision, _ := h.tick()
		require.Nil(t, decision)
	}
	h.silent[2] = false
	h.tickUntil(Prepare)
}

func TestRefusedMapGivenUp(t *testing.T) {
	h := newHarness(t)
	decision, _ := h.tickUntil(Prepare)
	h.status[3].Refused = decision.Map.Number()
	h.tickUntil(GivenUp)
	next, _ := h.tickUntil(Prepare)
	require.Greater(t, next.Map.Number(), decision.Map.Number())
}

func TestMapNotCopiedInTimeGivenUp(t *testing.T) {
	h := newHarness(t)
	h.tickUntil(Prepare)
	h.tickUntil(GivenUp)
}

func TestRestartedPlannerReusesNoMapID(t *testing.T) {
	h := newHarness(t)
	first, _ := h.tickUntil(Prepare)
	h.status[2].Prepared = first.Map.Number()
	h.tick()
	h.startPlanner()
	second, _ := h.tickUntil(Prepare)
	require.Greater(t, second.Map.Epoch, first.Map.Epoch)
	require.Greater(t, second.Map.Number(), first.Map.Number())
}

func TestPlannerStartsAboveHighestReportedEpoch(t *testing.T) {
	h := newHarness(t)
	// After the group was formed anew, no rank reports a map of this epoch, but an
	// agent still knows the epoch.
	h.status[2].Epoch = 5<<rankBits | 1
	decision, _ := h.tickUntil(Prepare)
	require.Greater(t, decision.Map.Epoch, uint64(5<<rankBits|1))
}

func TestPlannersOfDifferentRanksUseDifferentEpochs(t *testing.T) {
	h := newHarness(t)
	h.tickUntil(Prepare)
	own := h.planner.next.ID
	other := *h.planner
	other.rank, other.epoch, other.version = 1, 0, 0
	require.NotEqual(t, own.Epoch, other.nextID().Epoch)
}

func TestProposalWithUnknownOutcomeAbandoned(t *testing.T) {
	h := newHarness(t)
	decision, _ := h.tickUntil(Prepare)
	h.setPrepared(decision.Map.Number())
	h.tickUntil(Propose)
	h.tickUntil(OutcomeUnknown)
	h.tickUntil(Prepare)
}

func TestStepTimerGapShare(t *testing.T) {
	timer := stepTimer{maxGap: 100 * time.Millisecond}
	now := time.Unix(0, 0)
	timer.record(0, now)
	timer.record(25, now.Add(500*time.Millisecond))
	require.InDelta(t, 0.2, timer.gapShare(), 0.001)
	timer.record(30, now.Add(1000*time.Millisecond))
	require.InDelta(t, 1.0, timer.gapShare(), 0.001)
	require.InDelta(t, 1.0, (&stepTimer{}).gapShare(), 0.001, "no maximum gap is known")
}

func TestCopyCostGrowsWithExpertSizeAndShrinksWithGroupSize(t *testing.T) {
	policy := DefaultPolicy()
	small := policy.copyCost(2200, 12)
	require.InDelta(t, 0.05, small, 0.001)
	require.InDelta(t, small/2, policy.copyCost(1100, 12), 1e-9)
	require.InDelta(t, small/4, policy.copyCost(2200, 48), 1e-9)
	require.Zero(t, policy.copyCost(0, 12))
}

func TestEnvelopeEncodeDecodeRoundTrip(t *testing.T) {
	envelope := Envelope{Group: testGroup, Status: &Status{Rank: 3, Held: [][]int{{1}}}}
	data, err := Encode(envelope)
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, envelope, got)
	_, err = Decode([]byte{0xff, 0x00})
	var decodeErr *DecodeError
	require.ErrorAs(t, err, &decodeErr)
}

func TestDatagramsOfLargeGroupsStayWithinSizeLimit(t *testing.T) {
	const ranks, layers, slots = 64, 8, 5
	group := expertmap.GroupID{Name: "a group's name", Incarnation: 1 << 60}
	large := Map{ID: expertmap.MapID{Epoch: 1 << 20, Version: 9}}
	for layer := range layers {
		var held [][]int
		for rank := range ranks {
			held = append(held, []int{250 + rank, 251, 252, 253 + layer, 300})
		}
		large.Experts = append(large.Experts, held)
	}
	require.Len(t, large.Experts[0][0], slots)
	assembler := NewMapAssembler(ranks)
	parts := large.Parts()
	for i := len(parts) - 1; i >= 0; i-- {
		_, complete := assembler.Map(large.ID.Number())
		require.False(t, complete)
		data, err := Encode(Envelope{Group: group, Part: &parts[i]})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramSize)
		got, err := Decode(data)
		require.NoError(t, err)
		require.NoError(t, assembler.AddPart(*got.Part))
		require.NoError(t, assembler.AddPart(*got.Part))
	}
	got, ok := assembler.Map(large.ID.Number())
	require.True(t, ok)
	require.Equal(t, large, *got)

	for _, counts := range SplitCounts(63, make([]uint64, layers*252)) {
		data, err := Encode(Envelope{Group: group, Counts: &counts})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramSize)
	}
	directive := Directive{Hosts: make([]byte, ranks*hostBytes)}
	directive.SetHost(63, hostOf(7))
	data, err := Encode(Envelope{Group: group, Directive: &directive})
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), maxDatagramSize)
	for changes := range maxDatagramSize {
		delta := Delta{Number: 1 << 40, Base: 1 << 40, Layers: layers, Experts: 252, Ranks: ranks, Changes: slices.Repeat([]int{300}, changes), Sum: 1 << 60}
		if !delta.FitsWithDirective(&directive) {
			break
		}
		data, err = Encode(Envelope{Group: group, Directive: &directive, Delta: &delta})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramSize)
	}
	status := Status{AgentIncarnation: 1 << 60, Sequence: 1 << 30, Running: 1 << 40, Prepared: 1 << 40, Armed: 1 << 40}
	for levels := range maxDatagramSize {
		counts := Counts{Rank: 63, Levels: make([]byte, levels)}
		if !counts.FitsWithStatus(&status) {
			break
		}
		data, err = Encode(Envelope{Group: group, Status: &status, Counts: &counts})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramSize)
	}
	host, known := directive.Host(63)
	require.True(t, known)
	require.Equal(t, hostOf(7), host)
	require.Equal(t, 1, directive.KnownHosts())
}

func TestDeltaReproducesMapOrIsRejected(t *testing.T) {
	base := InitialMap(2, 8, 4)
	next := &Map{ID: expertmap.MapID{Epoch: 4096, Version: 1}, Experts: InitialMap(2, 8, 4).Experts}
	next.Experts[1][2] = []int{0, 2, 6}
	delta := NewDelta(base, next, 8)
	require.Equal(t, []int{1, 2, noExpert, 0}, delta.Changes)

	assembler := NewMapAssembler(4)
	require.NoError(t, assembler.AddDelta(delta))
	got, ok := assembler.Map(next.ID.Number())
	require.True(t, ok, "a delta from the initial map needs no base")
	require.Equal(t, next, got)

	third := &Map{ID: expertmap.MapID{Epoch: 4096, Version: 2}, Experts: InitialMap(2, 8, 4).Experts}
	third.Experts[0][0] = []int{0}
	second := NewDelta(next, third, 8)
	other := NewMapAssembler(4)
	require.NoError(t, other.AddDelta(second))
	_, ok = other.Map(third.ID.Number())
	require.False(t, ok, "the base is missing")
	wrongSum := second
	wrongSum.Sum++
	require.NoError(t, assembler.AddDelta(wrongSum))
	_, ok = assembler.Map(third.ID.Number())
	require.False(t, ok, "the checksum does not match")
	require.NoError(t, assembler.AddDelta(second))
	got, ok = assembler.Map(third.ID.Number())
	require.True(t, ok)
	require.Equal(t, third, got)
	for _, bad := range []Delta{{Number: 1 << 40, Ranks: 4}, {Number: 1 << 40, Layers: 1 << 30, Experts: 1, Ranks: 4}, {Number: 1 << 40, Base: second.Number, Layers: 2, Ranks: 4, Changes: []int{7, 0, 0, 0}}} {
		require.NoError(t, assembler.AddDelta(bad))
		_, ok = assembler.Map(1 << 40)
		require.False(t, ok)
	}
}

func TestInvalidPartsRejected(t *testing.T) {
	assembler := NewMapAssembler(1)
	for _, part := range []MapPart{
		{Number: 5, Ranks: 1, Layers: 0}, {Number: 5, Ranks: 1, Layers: 1 << 30}, {Number: 5, Ranks: 1, Layers: 2, FirstLayer: -1},
		{Number: 5, Ranks: 1, Layers: 2, FirstLayer: 1, Experts: [][][]int{{{1}}, {{1}}}},
		{Number: 5, Ranks: 1, Layers: 1, FirstRank: 1, Experts: [][][]int{{{1}}}}, {Number: 5, Ranks: 1, Layers: 1, FirstRank: -1, Experts: [][][]int{{{1}}}},
	} {
		require.NoError(t, assembler.AddPart(part))
	}
	_, complete := assembler.Map(5)
	require.False(t, complete)
	require.NoError(t, assembler.AddPart(MapPart{Number: 5, Ranks: 1, Layers: 1, Experts: [][][]int{{{1}}}}))
	require.NoError(t, assembler.AddPart(MapPart{Number: 4, Ranks: 1, Layers: 1, Experts: [][][]int{{{2}}}}))
	_, complete = assembler.Map(5)
	require.True(t, complete, "parts of an older map are ignored")
}

// TestLargeMapsAndDeltasFitIntoDatagrams guards against a group whose ranks never get a map:
// a layer of 129 ranks, and a delta with a change for each of them, exceed a datagram.
func TestLargeMapsAndDeltasFitIntoDatagrams(t *testing.T) {
	const ranks, layers, experts = 129, 16, 258
	base := InitialMap(layers, experts, ranks)
	next := &Map{ID: expertmap.MapID{Epoch: 4096, Version: 2}, Experts: InitialMap(layers, experts, ranks).Experts}
	for rank := range ranks {
		held := next.Experts[rank%layers][rank]
		next.Experts[rank%layers][rank] = []int{held[0], held[1], (held[1] + 7) % experts}
	}
	next.sort()
	requireFits := func(envelope Envelope) Envelope {
		t.Helper()
		envelope.Group = expertmap.GroupID{Name: "a group's name", Incarnation: 1 << 60}
		data, err := Encode(envelope)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramSize)
		data, err = Encode(Envelope{Group: envelope.Group, Relay: &Relay{First: 120, End: 129, Datagram: data}})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramSize)
		relayed, err := Decode(data)
		require.NoError(t, err)
		decoded, err := Decode(relayed.Relay.Datagram)
		require.NoError(t, err)
		return decoded
	}
	fromParts, fromDelta := NewMapAssembler(ranks), NewMapAssembler(ranks)
	for _, part := range next.Parts() {
		require.NoError(t, fromParts.AddPart(*requireFits(Envelope{Part: &part}).Part))
	}
	delta := NewDelta(base, next, experts)
	parts := delta.Split()
	require.Greater(t, len(parts), 1)
	for at := range parts {
		_, complete := fromDelta.Map(next.ID.Number())
		require.False(t, complete)
		part := requireFits(Envelope{Delta: &parts[len(parts)-1-at]}).Delta
		require.NoError(t, fromDelta.AddDelta(*part))
		require.NoError(t, fromDelta.AddDelta(*part))
	}
	for _, assembler := range []MapAssembler{fromParts, fromDelta} {
		got, complete := assembler.Map(next.ID.Number())
		require.True(t, complete)
		require.Equal(t, next.Sum(), got.Sum())
		require.True(t, assembler.Knows(next.ID.Number()))
	}
}

// TestDeltaAppliesAfterAMapWasGivenUp guards against ranks that need the full map each time
// a map was given up: they knew that one instead of the map in use.
func TestDeltaAppliesAfterAMapWasGivenUp(t *testing.T) {
	const ranks, experts = 4, 8
	inUse, givenUp, next := InitialMap(1, experts, ranks), InitialMap(1, experts, ranks), InitialMap(1, experts, ranks)
	inUse.ID, givenUp.ID, next.ID = expertmap.MapID{Epoch: 1, Version: 2}, expertmap.MapID{Epoch: 1, Version: 4}, expertmap.MapID{Epoch: 1, Version: 6}
	inUse.Experts[0][0] = []int{0, 1, 4}
	givenUp.Experts[0][0] = []int{0, 2, 4}
	next.Experts[0][0] = []int{0, 1, 3, 4}
	assembler := NewMapAssembler(ranks)
	for _, part := range slices.Concat(inUse.Parts(), givenUp.Parts()) {
		require.NoError(t, assembler.AddPart(part))
	}
	require.NoError(t, assembler.AddDelta(NewDelta(inUse, next, experts)))
	got, complete := assembler.Map(next.ID.Number())
	require.True(t, complete)
	require.Equal(t, next.Sum(), got.Sum())
}

// TestMapsOfAnotherShapeRejected guards against a rank that copies the map of a group of
// another size, which an agent with a stale or wrong view of its group could send.
func TestMapsOfAnotherShapeRejected(t *testing.T) {
	assembler := NewMapAssembler(2)
	var shapeErr *MapShapeError
	require.ErrorAs(t, assembler.AddPart(MapPart{Number: 5, Ranks: 3, Layers: 1, Experts: [][][]int{{{1}, {2}, {3}}}}), &shapeErr)
	require.Equal(t, MapShapeError{Number: 5, Ranks: 3, GroupSize: 2}, *shapeErr)
	require.ErrorAs(t, assembler.AddDelta(Delta{Number: 5, Layers: 1, Experts: 4, Ranks: 3}), &shapeErr)
	_, complete := assembler.Map(5)
	require.False(t, complete)
}

// TestStatusOfAnotherSizeRejected guards against ranks that disagree on the size of their
// group: a map for one size leaves experts without a rank in the other.
func TestStatusOfAnotherSizeRejected(t *testing.T) {
	h := newHarness(t)
	var statusErr *StatusError
	require.ErrorAs(t, h.planner.HandleStatus(Status{Rank: 1, Size: testRanks + 1, Sequence: 1}, hostOf(1), h.now), &statusErr)
	require.Equal(t, StatusError{Rank: 1, Size: testRanks + 1, GroupSize: testRanks}, *statusErr)
	require.ErrorAs(t, h.planner.HandleStatus(Status{Rank: testRanks, Size: testRanks, Sequence: 1}, hostOf(1), h.now), &statusErr)
	directive := h.planner.Directive()
	require.Zero(t, directive.KnownHosts())
}

// TestDatagramWithoutGroupRejected guards against the messages of releases that name no
// group: their numbers are those of any group of the service.
func TestDatagramWithoutGroupRejected(t *testing.T) {
	data, err := Encode(Envelope{Part: &MapPart{Number: 5, Ranks: 1, Layers: 1}})
	require.NoError(t, err)
	_, err = Decode(data)
	require.ErrorIs(t, err, ErrNoGroup)
}

func TestCountLevelsAccurateToSixPercent(t *testing.T) {
	for _, count := range []uint64{0, 1, 5, 80, 1000, 70000, 2000000} {
		got := countAtLevel(levelOfCount(count))
		require.InDelta(t, float64(count), got, 0.06*float64(count)+0.05)
	}
	require.Equal(t, byte(255), levelOfCount(1<<40))
}

func FuzzDecode(f *testing.F) {
	seed, err := Encode(Envelope{Group: testGroup, Directive: &Directive{Hosts: []byte{10, 0, 0, 1}}})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, err := Decode(data)
		if err != nil {
			return
		}
		_, err = Encode(envelope)
		require.NoError(t, err)
	})
}
