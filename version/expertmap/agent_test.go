package expertmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// pollFor returns a poll of a two-rank group for rank 0.
func pollFor(id ProposalID, agents ...uint64) Message {
	proposal := &Proposal{ID: id, Group: GroupID{Incarnation: 1}, To: MapID{id.Epoch, id.Sequence}, Step: 5, Agents: agents}
	return Message{Kind: KindPoll, Group: GroupID{Incarnation: 1}, From: 1, ID: id, Proposal: proposal, Agent: 1}
}

func TestPromisesToAnEarlierPollDoNotCount(t *testing.T) {
	agent, _ := NewAgent(farFuture, Config{Incarnation: 2}, EngineState{Group: GroupID{Incarnation: 1}, Size: 2})
	id := ProposalID{1, 1}
	agent.Receive(farFuture, pollFor(id, 2, 1))
	agent.Held(farFuture, id, true)
	promise := Message{Kind: KindPromise, Group: GroupID{Incarnation: 1}, From: 1, ID: id, Agent: 1, Peer: 1}
	require.Empty(t, agent.Receive(farFuture, promise).Outcomes, "it answers incarnation 1")
	promise.Peer = 2
	require.Equal(t, []Outcome{{ID: id, Decision: Commit}}, agent.Receive(farFuture, promise).Outcomes)
}

func TestLowerEpochIsRefused(t *testing.T) {
	agent, _ := NewAgent(farFuture, Config{Incarnation: 1, EpochFloor: 3}, EngineState{Group: GroupID{Incarnation: 1}, Size: 2})
	old := ProposalID{Epoch: 2, Sequence: 9}
	require.Equal(t, []Outcome{{ID: old, Decision: Abort}}, agent.Receive(farFuture, pollFor(old, 1, 1)).Outcomes)
	current := ProposalID{Epoch: 3, Sequence: 1}
	out := agent.Receive(farFuture, pollFor(current, 1, 1))
	require.Empty(t, out.Outcomes)
	require.Equal(t, ActionHold, out.Actions[0].Kind)
}
