package group

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/placement"
)

// TestCoordinatorProposesOnlyMapsLoadedOnAllRanks checks every order of a coordinator
// under delayed reports, missing loads, undecided proposals, re-formed groups, restarted
// agents and lost leases.
func TestCoordinatorProposesOnlyMapsLoadedOnAllRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 3
		now := time.Unix(1000, 0)
		epoch := uint64(1)
		ranks := make([]Report, size)
		for rank := range ranks {
			ranks[rank] = Report{Pool: "p", Rank: rank, Size: size, AgentIncarnation: uint64(10 + rank), Group: expertmap.GroupID{Incarnation: 1}, Current: expertmap.MapID{Version: 1}}
		}
		c := NewCoordinator("p", size, &Numbers{})
		var last expertmap.ProposalID
		for range rapid.IntRange(1, 80).Draw(t, "turns") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			rank := rapid.IntRange(0, size-1).Draw(t, "rank")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				epoch++
			case 1:
				for at := range ranks {
					ranks[at].Group.Incarnation++
					ranks[at].Loaded = nil
				}
			case 2:
				ranks[rank].Undecided = !ranks[rank].Undecided
			case 3:
				ranks[rank].AgentIncarnation += 100
			case 4:
				c.Begin(now, Change{Content: &placement.Map{}})
			default:
				for at := range ranks {
					ranks[at].Step += uint64(rapid.IntRange(0, 50).Draw(t, "steps"))
					c.HandleReport(now, ranks[at])
				}
			}
			out := c.Step(now, epoch)
			for _, send := range out.Orders {
				order := send.Order
				require.Equal(t, epoch, order.Epoch)
				switch order.Kind {
				case OrderReadMap:
					c.SetMapContent(order.Map, &placement.Map{})
				case OrderLoadMap:
					require.Equal(t, epoch, order.Map.Epoch)
					if rapid.Bool().Draw(t, "loads") {
						ranks[send.Rank].Loaded = append(ranks[send.Rank].Loaded, order.Map)
					}
				case OrderPropose:
					requireValidProposal(t, *order.Proposal, epoch, c.ranks, now)
					require.True(t, last.Less(order.Proposal.ID), "no proposal ID is used twice")
					last = order.Proposal.ID
				}
			}
		}
	})
}

func requireValidProposal(t *rapid.T, proposal expertmap.Proposal, epoch uint64, ranks []rankState, now time.Time) {
	require.Equal(t, epoch, proposal.ID.Epoch)
	require.Len(t, proposal.Agents, len(ranks))
	for rank, state := range ranks {
		require.LessOrEqual(t, now.Sub(state.receivedAt), reportTTL)
		require.Equal(t, proposal.Group, state.report.Group)
		require.Equal(t, proposal.From, state.report.Current)
		require.Equal(t, proposal.Agents[rank], state.report.AgentIncarnation)
		require.False(t, state.report.Undecided)
		require.Contains(t, state.report.Loaded, proposal.To)
		require.Greater(t, proposal.Step, state.report.Step)
	}
}

// TestCoordinatorReportsOutcomeOfChange performs a change with each possible outcome.
func TestCoordinatorReportsOutcomeOfChange(t *testing.T) {
	cases := []struct {
		desc string
		// afterProposal changes the rank's report after the proposal.
		afterProposal func(report *Report, proposal expertmap.Proposal)
		wait          time.Duration
		want          expertmap.Decision
	}{
		{"all switch", func(r *Report, p expertmap.Proposal) { r.Current = p.To }, 0, expertmap.Commit},
		{"one refuses", func(r *Report, p expertmap.Proposal) { r.Ended, r.Decision = p.ID, expertmap.Abort }, 0, expertmap.Abort},
		{"the group is re-formed", func(r *Report, _ expertmap.Proposal) { r.Group.Incarnation++ }, 0, expertmap.Abort},
		{"no report of the outcome", func(*Report, expertmap.Proposal) {}, 2 * proposalTimeout, expertmap.Undecided},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			now := time.Unix(1000, 0)
			to := expertmap.MapID{Epoch: 4, Version: 1}
			c := NewCoordinator("p", 1, &Numbers{})
			report := Report{Size: 1, Group: expertmap.GroupID{Incarnation: 1}, Current: expertmap.MapID{Version: 1}, Loaded: []expertmap.MapID{to}}
			c.HandleReport(now, report)
			c.SetMapContent(report.Current, &placement.Map{})
			require.Empty(t, c.Step(now, 4).Orders)
			c.Begin(now, Change{Content: &placement.Map{}, Moves: 3})
			orders := c.Step(now, 4).Orders
			require.Len(t, orders, 1)
			require.Equal(t, OrderPropose, orders[0].Order.Kind)
			require.Nil(t, c.Step(now, 4).Outcome)
			now = now.Add(tc.wait)
			tc.afterProposal(&report, *orders[0].Order.Proposal)
			c.HandleReport(now, report)
			out := c.Step(now, 4)
			require.NotNil(t, out.Outcome)
			require.Equal(t, tc.want, out.Outcome.Decision)
			require.False(t, c.InProgress())
		})
	}
}

// TestCoordinatorAbortsWhenLoadTimesOut checks that a rank that never loads the map does
// not block the change, and with it the budget, forever.
func TestCoordinatorAbortsWhenLoadTimesOut(t *testing.T) {
	now := time.Unix(1000, 0)
	report := Report{Size: 1, Group: expertmap.GroupID{Incarnation: 1}, Current: expertmap.MapID{Version: 1}}
	c := NewCoordinator("p", 1, &Numbers{})
	c.HandleReport(now, report)
	c.SetMapContent(report.Current, &placement.Map{})
	c.Begin(now, Change{Content: &placement.Map{}})
	require.Equal(t, OrderLoadMap, c.Step(now, 0).Orders[0].Order.Kind)
	out := c.Step(now.Add(2*loadTimeout), 0)
	require.NotNil(t, out.Outcome)
	require.Equal(t, expertmap.Abort, out.Outcome.Decision)
	require.Zero(t, out.Outcome.Took)
}

// TestCoordinatorsOfOneEpochShareNoIDs guards against two maps with one ID: the members of a group
// change, or the lease counts as lost for a moment, and another coordinator goes on in the epoch.
func TestCoordinatorsOfOneEpochShareNoIDs(t *testing.T) {
	numbers := &Numbers{}
	now := time.Unix(1000, 0)
	maps := map[expertmap.MapID]bool{}
	for _, epoch := range []uint64{4, 4, 4, 5, 5} {
		c := NewCoordinator("p", 1, numbers)
		current := expertmap.MapID{Version: 1}
		c.HandleReport(now, Report{Pool: "p", Size: 1, Group: expertmap.GroupID{Incarnation: 1}, Current: current})
		c.SetMapContent(current, &placement.Map{})
		c.Step(now, epoch)
		c.Begin(now, Change{Content: &placement.Map{}})
		out := c.Step(now, epoch)
		require.Len(t, out.Orders, 1)
		loaded := out.Orders[0].Order.Map
		require.Equal(t, epoch, loaded.Epoch)
		require.False(t, maps[loaded], "map %v is given out twice", loaded)
		maps[loaded] = true
	}
}
