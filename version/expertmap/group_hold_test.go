package expertmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// largeGroup is the number of ranks of the group in the tests below.
const largeGroup = 129

// heldProposal returns a proposal of rank 0 whose holder is rank 1.
func heldProposal(group GroupID) Proposal {
	to := MapID{Epoch: 1, Version: 2}
	proposal := Proposal{ID: NewProposalID(to, 5), Group: group, To: to, Step: 5, GroupHeld: true, Holder: 1}
	for range largeGroup {
		proposal.Agents = append(proposal.Agents, 1<<63)
	}
	return proposal
}

// TestHolderOfLargeGroupAnswersProposerBeforeItsPolls guards against votes that are always
// aborted in a large group: the polls, each with the agents of all ranks, occupied the
// holder's link for longer than it waits for the proposer, and the promise that the
// proposer answers came after them. The proposer's answer then repeated all polls.
func TestHolderOfLargeGroupAnswersProposerBeforeItsPolls(t *testing.T) {
	group := GroupID{Name: "g", Incarnation: 1}
	proposal := heldProposal(group)
	holder, _ := NewAgent(farFuture, Config{Incarnation: 1 << 63}, EngineState{Group: group, Rank: 1, Size: largeGroup})
	out := holder.Receive(farFuture, Message{Kind: KindPoll, Group: group, ID: proposal.ID, Agent: 7, Proposal: &proposal})
	require.Len(t, out.Actions, 1)
	out = holder.Held(farFuture, proposal.ID, true)
	require.Equal(t, KindPromise, out.Messages[0].Kind)
	require.Len(t, out.Messages, 1+largeGroup-2, "the proposer is polled once it has shown that it is alive")
	const maxPollSize = 400
	for _, poll := range out.Messages[1:] {
		data, err := Encode(poll)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxPollSize)
		voter, _ := NewAgent(farFuture, Config{Incarnation: 1 << 63}, EngineState{Group: group, Rank: poll.To, Size: largeGroup})
		require.Len(t, voter.Receive(farFuture, poll).Actions, 1, "rank %d votes on the poll", poll.To)
	}

	ready := Message{Kind: KindReady, Group: group, ID: proposal.ID, Agent: 7, Peer: 1 << 63}
	out = holder.Receive(farFuture, ready)
	require.Len(t, out.Messages, 1)
	require.Equal(t, 0, out.Messages[0].To)
	require.Empty(t, holder.Receive(farFuture, ready).Messages)
}
