package rebalance

import (
	"net/netip"
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
	// accepted is the highest number that the engine of rank 0 has accepted. It outlives
	// planners.
	accepted uint64
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
	h.claim()
	return h.planner.Step(h.step, h.now)
}

// claim makes the engine of rank 0 accept what the planner claims, if it is higher than all that
// it has accepted.
func (h *harness) claim() {
	number := h.planner.Claim(h.status[0].Prepared)
	if number == 0 {
		return
	}
	h.planner.ClaimSent()
	if number <= h.accepted {
		h.planner.ClaimRefused()
		return
	}
	h.accepted, h.status[0].Prepared = number, number
	h.planner.Claim(number)
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

// TestSwitchAbortedTooLateIsProposedFurtherAhead guards against votes that never end before
// the step for which they are held.
func TestSwitchAbortedTooLateIsProposedFurtherAhead(t *testing.T) {
	h := newHarness(t)
	decision, _ := h.tickUntil(Prepare)
	h.setPrepared(decision.Map.Number())
	_, first := h.tickUntil(Propose)
	h.planner.Step(first.Step-1, h.now)
	require.NotNil(t, h.planner.HandleOutcome(expertmap.Outcome{ID: first.ID, Decision: expertmap.Abort}, h.now))
	_, second := h.tickUntil(Propose)
	require.Equal(t, first.To, second.To, "the same map")
	require.Greater(t, second.Step-h.step, first.Step-(h.step-2), "further ahead")
	require.NotEqual(t, first.ID, second.ID)
	require.Nil(t, h.planner.HandleOutcome(expertmap.Outcome{ID: expertmap.ProposalID{Epoch: 99}, Decision: expertmap.Commit}, h.now), "outcome of another proposal")
}

// TestSwitchAbortedForUnansweredCommandIsNotProposedFurtherAhead replays an engine that leaves
// the command to hold the group unanswered, again and again. It guards against switches that
// come ever later because of that.
func TestSwitchAbortedForUnansweredCommandIsNotProposedFurtherAhead(t *testing.T) {
	h := newHarness(t)
	decision, _ := h.tickUntil(Prepare)
	h.setPrepared(decision.Map.Number())
	for range 5 {
		_, proposal := h.tickUntil(Propose)
		require.Equal(t, DefaultPolicy().MinLead, proposal.Step-h.step)
		require.NotNil(t, h.planner.HandleOutcome(expertmap.Outcome{ID: proposal.ID, Decision: expertmap.Abort}, h.now))
	}
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

// TestRestartedPlannerReusesNoMapIDThatNobodyReports guards against a planner that gives out a
// number again: it was restarted while the ranks copied its first map, of which no status tells, and
// its own engine has or has not accepted that map.
func TestRestartedPlannerReusesNoMapIDThatNobodyReports(t *testing.T) {
	for name, ownCopy := range map[string]bool{"not accepted by its own engine": false, "accepted by its own engine": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			first, _ := h.tickUntil(Prepare)
			if ownCopy {
				// The engine reports no prepared map while it copies one.
				h.accepted, h.status[0].Prepared = first.Map.Number(), 0
			}
			h.startPlanner()
			second, _ := h.tickUntil(Prepare)
			require.Greater(t, second.Map.Epoch, first.Map.Epoch)
			require.Greater(t, second.Map.Number(), first.Map.Number())
		})
	}
}

// TestRankWithUnreportedNumbersTakesALaterMap guards against a group that takes no further map: the
// engine of a rank refuses all numbers up to one that nobody reports.
func TestRankWithUnreportedNumbersTakesALaterMap(t *testing.T) {
	h := newHarness(t)
	unreported := expertmap.MapID{Epoch: 40<<rankBits | 3, Version: 6}.Number()
	for range 12 {
		decision, _ := h.tickUntil(Prepare)
		if decision.Map.Number() > unreported {
			return
		}
		h.status[2].Refused = decision.Map.Number()
		h.tickUntil(GivenUp)
	}
	t.Fatal("no map lies above the unreported number")
}

// TestMapWithOtherContentsIsNotProposed guards against a switch to "the" map of a number whose
// contents differ between ranks.
func TestMapWithOtherContentsIsNotProposed(t *testing.T) {
	h := newHarness(t)
	decision, _ := h.tickUntil(Prepare)
	sum := h.planner.MapToCopy().Sum()
	h.setPrepared(decision.Map.Number())
	for rank := range h.status {
		h.status[rank].PreparedSum = sum
	}
	h.status[2].PreparedSum = sum + 1
	h.tickUntil(GivenUp)
}

// TestContradictedMapInUseIsReadAgain guards against a planner whose deltas nobody can apply any
// more: it knows the map in use by its number, with other contents than the ranks.
func TestContradictedMapInUseIsReadAgain(t *testing.T) {
	h := newHarness(t)
	decision, _ := h.tickUntil(Prepare)
	h.setPrepared(decision.Map.Number())
	_, proposal := h.tickUntil(Propose)
	require.NotZero(t, proposal.ToSum)
	h.planner.HandleOutcome(expertmap.Outcome{ID: proposal.ID, Decision: expertmap.Commit}, h.now)
	for rank := range h.status {
		h.status[rank].Running, h.status[rank].RunningSum, h.status[rank].RunningKnown = decision.Map.Number(), proposal.ToSum, true
		h.status[rank].Held = nil
	}
	h.tickUntil(InUse)
	require.False(t, h.planner.Directive().RequestHeld)
	require.True(t, h.planner.CanApplyDelta(2))

	h.status[2].RunningSum++
	h.tick()
	require.True(t, h.planner.Directive().RequestHeld)
	for rank := range h.status {
		h.status[rank].Held = [][]int{{rank, rank + testRanks}}
	}
	h.tick()
	require.False(t, h.planner.Directive().RequestHeld, "what the ranks hold is not doubted")
}

// TestRankThatMissedAMapGetsTheNextInFull guards against a rank that never copies a map again,
// because it cannot apply the planner's deltas.
func TestRankThatMissedAMapGetsTheNextInFull(t *testing.T) {
	h := newHarness(t)
	for rank := range h.status {
		h.status[rank].RunningKnown = true
	}
	decision, _ := h.tickUntil(Prepare)
	h.setPrepared(decision.Map.Number())
	h.status[2].Prepared = 0
	h.tickUntil(GivenUp)
	decision, _ = h.tickUntil(Prepare)
	require.True(t, h.planner.CanApplyDelta(1))
	require.False(t, h.planner.CanApplyDelta(2))
	h.setPrepared(decision.Map.Number())
	h.tickUntil(Propose)
	require.True(t, h.planner.CanApplyDelta(2))
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
	other := mapNumbers{rank: 1}
	require.NotZero(t, other.claim(0))
	other.claimSent()
	require.Zero(t, other.claim(other.claimNumber()))
	require.NotEqual(t, own.Epoch, other.next().Epoch)
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
