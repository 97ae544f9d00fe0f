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

// bed drives a planner over statuses of ranks that do what they are told.
type bed struct {
	t       *testing.T
	planner *Planner
	now     time.Time
	sent    uint64
	step    uint64
	status  [testRanks]Status
	// silent ranks send nothing.
	silent map[int]bool
}

func newBed(t *testing.T) *bed {
	b := &bed{t: t, now: time.Unix(100, 0), silent: map[int]bool{}}
	for rank := range b.status {
		b.status[rank] = Status{Group: "g", Incarnation: 3, Rank: rank, Size: testRanks, Agent: uint64(10 + rank), Held: [][]int{{rank, rank + testRanks}}}
	}
	b.plan()
	return b
}

// plan starts a planner on rank 0.
func (b *bed) plan() {
	shape := config.Experts{Sets: 1, PerSet: 2 * testRanks, Slots: 3, Spare: 2}
	policy := DefaultPolicy()
	policy.NewPerRank = 2
	b.planner = NewPlanner(shape, 0, b.status[0], policy)
}

func hostOf(rank int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(rank + 1)}) }

// turn lets 100 ms pass and returns what the planner wants.
func (b *bed) turn() (*Decision, *expertmap.Proposal) {
	b.now = b.now.Add(sliceTime)
	b.sent++
	b.step += 2
	for rank, status := range b.status {
		if b.silent[rank] {
			continue
		}
		status.Sent = b.sent
		if rank == 1 {
			for _, counts := range CountsOf(status, []uint64{500, 10, 10, 10, 400, 10, 10, 10}) {
				b.planner.HearCounts(counts, b.now)
			}
		}
		b.planner.Hear(status, hostOf(rank), b.now)
	}
	return b.planner.Step(b.step, b.now)
}

// until turns until the planner decides something.
func (b *bed) until(what What) (*Decision, *expertmap.Proposal) {
	b.t.Helper()
	for range 100 {
		decision, proposal := b.turn()
		if decision != nil {
			require.Equal(b.t, what, decision.What)
			return decision, proposal
		}
	}
	b.t.Fatalf("the planner never decides: %s", what)
	return nil, nil
}

func (b *bed) prepared(number uint64) {
	for rank := range b.status {
		b.status[rank].Prepared = number
	}
}

func TestASwitchIsProposedOnceAllRanksHaveTheMap(t *testing.T) {
	b := newBed(t)
	decision, _ := b.until(Prepare)
	require.Less(t, decision.Plan.After, decision.Plan.Before)
	number := decision.Map.Number()
	require.Equal(t, number, b.planner.Directive().Prepare)
	for rank := range testRanks - 1 {
		b.status[rank].Prepared = number
		decision, proposal := b.turn()
		require.Nil(t, decision)
		require.Nil(t, proposal)
	}
	b.prepared(number)
	_, proposal := b.until(Propose)
	require.Equal(t, number, proposal.To.Number())
	require.Equal(t, expertmap.MapID{}, proposal.From)
	require.Equal(t, uint64(3), proposal.Group)
	require.Equal(t, []uint64{10, 11, 12, 13}, proposal.Agents)
	require.Equal(t, b.step+DefaultPolicy().Lead, proposal.Step)
	require.Equal(t, expertmap.ProposalOf(proposal.To, proposal.Step), proposal.ID)

	agreed := b.planner.Ended(expertmap.Ended{ID: proposal.ID, Decision: expertmap.Commit}, b.now)
	require.Equal(t, Agreed, agreed.What)
	for rank := range b.status {
		b.status[rank].Running = number
	}
	b.until(InUse)
}

func TestAnAbortedSwitchIsProposedForALaterStep(t *testing.T) {
	b := newBed(t)
	decision, _ := b.until(Prepare)
	b.prepared(decision.Map.Number())
	_, first := b.until(Propose)
	require.NotNil(t, b.planner.Ended(expertmap.Ended{ID: first.ID, Decision: expertmap.Abort}, b.now))
	_, second := b.until(Propose)
	require.Equal(t, first.To, second.To, "the same map")
	require.Greater(t, second.Step-b.step, first.Step-(b.step-2), "further ahead")
	require.NotEqual(t, first.ID, second.ID)
	require.Nil(t, b.planner.Ended(expertmap.Ended{ID: expertmap.ProposalID{Epoch: 99}, Decision: expertmap.Commit}, b.now), "another's")
}

func TestAbortedProposalsDoNotRunAheadOfTheGroup(t *testing.T) {
	b := newBed(t)
	decision, _ := b.until(Prepare)
	b.prepared(decision.Map.Number())
	seen := map[uint64]bool{}
	for range 3 * leadMost {
		b.step -= 2 // the group stands still
		_, proposal := b.turn()
		if proposal == nil {
			continue
		}
		require.False(t, seen[proposal.Step], "never twice for the same step")
		seen[proposal.Step] = true
		require.LessOrEqual(t, proposal.Step, b.step+leadMost)
		b.planner.Ended(expertmap.Ended{ID: proposal.ID, Decision: expertmap.Abort}, b.now)
	}
	require.NotEmpty(t, seen)
	b.step += 2 * leadMost
	_, proposal := b.until(Propose)
	require.NotNil(t, proposal)
}

func TestAMapThatARankMadeVoidIsGivenUpAtOnce(t *testing.T) {
	b := newBed(t)
	decision, _ := b.until(Prepare)
	failed := decision.Map
	b.prepared(failed.Number())
	_, first := b.until(Propose)
	b.status[2].Prepared = failed.Void().Number()
	require.NotNil(t, b.planner.Ended(expertmap.Ended{ID: first.ID, Decision: expertmap.Abort}, b.now))
	b.until(GivenUp)
	decision, _ = b.until(Prepare)
	require.Greater(t, decision.Map.Number(), failed.Void().Number(), "all ranks can copy the next map")
	require.False(t, decision.Map.IsVoid())
}

func TestASwitchIsProposedForAfterTheVote(t *testing.T) {
	p := Planner{lead: 2}
	require.Equal(t, uint64(2), p.steps())
	p.pace.took, p.voteTime = 70*time.Millisecond, 45*time.Millisecond
	require.Equal(t, uint64(2), p.steps())
	p.voteTime = 90 * time.Millisecond
	require.Equal(t, uint64(3), p.steps())
	p.voteTime = time.Hour
	require.Equal(t, uint64(leadMost), p.steps())
}

func TestNothingIsPlannedWhileARankIsSilent(t *testing.T) {
	b := newBed(t)
	b.silent[2] = true
	for range 20 {
		decision, _ := b.turn()
		require.Nil(t, decision)
	}
	b.silent[2] = false
	b.until(Prepare)
}

func TestAMapThatARankRefusesIsGivenUp(t *testing.T) {
	b := newBed(t)
	decision, _ := b.until(Prepare)
	b.status[3].Refused = decision.Map.Number()
	b.until(GivenUp)
	next, _ := b.until(Prepare)
	require.Greater(t, next.Map.Number(), decision.Map.Number())
}

func TestAMapThatIsNotCopiedInTimeIsGivenUp(t *testing.T) {
	b := newBed(t)
	b.until(Prepare)
	b.until(GivenUp)
}

func TestAPlannerThatStartsAnewNamesNoMapTwice(t *testing.T) {
	b := newBed(t)
	first, _ := b.until(Prepare)
	b.status[2].Prepared = first.Map.Number()
	b.turn()
	b.plan()
	second, _ := b.until(Prepare)
	require.Greater(t, second.Map.Epoch, first.Map.Epoch)
	require.Greater(t, second.Map.Number(), first.Map.Number())
}

func TestAPlannerStartsAboveWhatAnyAgentHasHeardOf(t *testing.T) {
	b := newBed(t)
	// The group was formed anew, so that no map shows it, but an agent remembers.
	b.status[2].Epoch = 5<<rankBits | 1
	decision, _ := b.until(Prepare)
	require.Greater(t, decision.Map.Epoch, uint64(5<<rankBits|1))
}

func TestTwoPlannersNeverNameTheSameMap(t *testing.T) {
	b := newBed(t)
	b.until(Prepare)
	own := b.planner.next.ID
	other := *b.planner
	other.rank, other.epoch, other.version = 1, 0, 0
	require.NotEqual(t, own.Epoch, other.nextID().Epoch)
}

func TestAProposalWhoseEndIsNotHeardOfIsLeft(t *testing.T) {
	b := newBed(t)
	decision, _ := b.until(Prepare)
	b.prepared(decision.Map.Number())
	b.until(Propose)
	b.until(EndUnknown)
	b.until(Prepare)
}

func TestCopiesAreDearerWhileStepsAreFast(t *testing.T) {
	p := pace{gap: 100 * time.Millisecond}
	now := time.Unix(0, 0)
	p.note(0, now)
	p.note(25, now.Add(500*time.Millisecond))
	require.InDelta(t, 0.2, p.share(), 0.001)
	p.note(30, now.Add(1000*time.Millisecond))
	require.InDelta(t, 1.0, p.share(), 0.001)
	require.InDelta(t, 1.0, (&pace{}).share(), 0.001, "no pause is known")
}

func TestCopiesAreDearerTheLargerTheyAreAndTheSmallerTheGroup(t *testing.T) {
	policy := DefaultPolicy()
	small := policy.copyCost(2200, 12)
	require.InDelta(t, 0.05, small, 0.001)
	require.InDelta(t, small/2, policy.copyCost(1100, 12), 1e-9)
	require.InDelta(t, small/4, policy.copyCost(2200, 48), 1e-9)
	require.Zero(t, policy.copyCost(0, 12))
}

func TestMessagesSurviveTheWire(t *testing.T) {
	envelope := Envelope{Status: &Status{Group: "g", Rank: 3, Held: [][]int{{1}}}}
	data, err := Encode(envelope)
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, envelope, got)
	_, err = Decode([]byte{0xff, 0x00})
	var bad *DecodeError
	require.ErrorAs(t, err, &bad)
}

func TestDatagramsOfLargeGroupsStaySmall(t *testing.T) {
	const ranks, layers, slots = 64, 8, 5
	large := Map{ID: expertmap.MapID{Epoch: 1 << 20, Version: 9}}
	for layer := range layers {
		var held [][]int
		for rank := range ranks {
			held = append(held, []int{250 + rank, 251, 252, 253 + layer, 300})
		}
		large.Experts = append(large.Experts, held)
	}
	require.Len(t, large.Experts[0][0], slots)
	var assembly Assembly
	parts := large.Parts()
	for at := len(parts) - 1; at >= 0; at-- {
		_, whole := assembly.Map(large.ID.Number())
		require.False(t, whole)
		data, err := Encode(Envelope{Part: &parts[at]})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), datagramSize)
		got, err := Decode(data)
		require.NoError(t, err)
		assembly.Add(*got.Part)
		assembly.Add(*got.Part)
	}
	whole, ok := assembly.Map(large.ID.Number())
	require.True(t, ok)
	require.Equal(t, large, *whole)

	for _, counts := range CountsOf(Status{Group: "a group's name"}, make([]uint64, layers*252)) {
		data, err := Encode(Envelope{Counts: &counts})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), datagramSize)
	}
	directive := Directive{Group: "a group's name", Hosts: make([]byte, ranks*hostBytes)}
	directive.SetHost(63, hostOf(7))
	data, err := Encode(Envelope{Directive: &directive})
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), datagramSize)
	for changes := range datagramSize {
		delta := Delta{Number: 1 << 40, Base: 1 << 40, Layers: layers, Experts: 252, Ranks: ranks, Changes: slices.Repeat([]int{300}, changes), Sum: 1 << 60}
		if !delta.WithDirective(&directive) {
			break
		}
		data, err = Encode(Envelope{Directive: &directive, Delta: &delta})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), datagramSize)
	}
	status := Status{Group: "a group's name", Incarnation: 1 << 60, Agent: 1 << 60, Sent: 1 << 30, Running: 1 << 40, Prepared: 1 << 40, Armed: 1 << 40}
	for levels := range datagramSize {
		counts := Counts{Group: status.Group, Incarnation: status.Incarnation, Rank: 63, Levels: make([]byte, levels)}
		if !counts.WithStatus(&status) {
			break
		}
		data, err = Encode(Envelope{Status: &status, Counts: &counts})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), datagramSize)
	}
	host, known := directive.Host(63)
	require.True(t, known)
	require.Equal(t, hostOf(7), host)
	require.Equal(t, 1, directive.Known())
}

func TestADeltaMakesTheSameMapOrNone(t *testing.T) {
	base := InTurn(2, 8, 4)
	next := &Map{ID: expertmap.MapID{Epoch: 4096, Version: 1}, Experts: InTurn(2, 8, 4).Experts}
	next.Experts[1][2] = []int{0, 2, 6}
	delta := DeltaOf(base, next, 8)
	require.Equal(t, []int{1, 2, noExpert, 0}, delta.Changes)

	var assembly Assembly
	assembly.AddDelta(delta)
	got, ok := assembly.Map(next.ID.Number())
	require.True(t, ok, "the first map needs no base")
	require.Equal(t, next, got)

	third := &Map{ID: expertmap.MapID{Epoch: 4096, Version: 2}, Experts: InTurn(2, 8, 4).Experts}
	third.Experts[0][0] = []int{0}
	step := DeltaOf(next, third, 8)
	var other Assembly
	other.AddDelta(step)
	_, ok = other.Map(third.ID.Number())
	require.False(t, ok, "its base is not known")
	forged := step
	forged.Sum++
	assembly.AddDelta(forged)
	_, ok = assembly.Map(third.ID.Number())
	require.False(t, ok, "the contents are not the planner's")
	assembly.AddDelta(step)
	got, ok = assembly.Map(third.ID.Number())
	require.True(t, ok)
	require.Equal(t, third, got)
	for _, bad := range []Delta{{Number: 1 << 40}, {Number: 1 << 40, Layers: 1 << 30, Experts: 1, Ranks: 1}, {Number: 1 << 40, Base: step.Number, Layers: 2, Changes: []int{7, 0, 0, 0}}} {
		assembly.AddDelta(bad)
		_, ok = assembly.Map(1 << 40)
		require.False(t, ok)
	}
}

func TestPartsThatMakeNoSenseAreRefused(t *testing.T) {
	var assembly Assembly
	for _, part := range []Part{
		{Number: 5, Layers: 0}, {Number: 5, Layers: 1 << 30}, {Number: 5, Layers: 2, First: -1},
		{Number: 5, Layers: 2, First: 1, Experts: [][][]int{{{1}}, {{1}}}},
	} {
		assembly.Add(part)
	}
	_, whole := assembly.Map(5)
	require.False(t, whole)
	assembly.Add(Part{Number: 5, Layers: 1, Experts: [][][]int{{{1}}}})
	assembly.Add(Part{Number: 4, Layers: 1, Experts: [][][]int{{{2}}}})
	_, whole = assembly.Map(5)
	require.True(t, whole, "an older map changes nothing")
}

func TestCountsAreToldToAFewInAHundred(t *testing.T) {
	for _, count := range []uint64{0, 1, 5, 80, 1000, 70000, 2000000} {
		got := countOf(levelOf(count))
		require.InDelta(t, float64(count), got, 0.06*float64(count)+0.05)
	}
	require.Equal(t, byte(255), levelOf(1<<40))
}

func FuzzDecode(f *testing.F) {
	seed, err := Encode(Envelope{Directive: &Directive{Group: "g", Hosts: []byte{10, 0, 0, 1}}})
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
