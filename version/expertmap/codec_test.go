package expertmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzDecode(f *testing.F) {
	proposal := &Proposal{ID: ProposalID{1, 2}, Group: 3, From: MapID{4, 5}, To: MapID{6, 7}, Step: 8, Agents: []uint64{9, 10}}
	for _, message := range []Message{
		{Kind: KindPoll, Group: 3, From: 1, ID: proposal.ID, Proposal: proposal},
		{Kind: KindPromise, Group: 3, From: 1, To: 2, ID: proposal.ID},
		{Kind: KindOutcome, Group: 3, To: 2, ID: proposal.ID, Decision: Commit},
	} {
		data, err := Encode(message)
		require.NoError(f, err)
		decoded, err := Decode(data)
		require.NoError(f, err)
		require.Equal(f, message, decoded)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := Decode(data)
		if err != nil {
			var failed *DecodeError
			require.ErrorAs(t, err, &failed)
			return
		}
		// Every message that decodes must be safe to handle.
		agent, _ := NewAgent(farFuture, Config{Incarnation: 1}, EngineState{Group: message.Group, Size: 3})
		agent.Receive(farFuture, message)
		agent.Tick(farFuture)
	})
}
