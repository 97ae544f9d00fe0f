package expertmap

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// TestGroupIDEncoding guards against an engine's stored proposal that cannot be read after
// an update: groups without a name are encoded as by releases without group names.
func TestGroupIDEncoding(t *testing.T) {
	for _, group := range []GroupID{{}, {Incarnation: 1 << 63}, {Name: "g", Incarnation: 3}} {
		data, err := cbor.Marshal(group)
		require.NoError(t, err)
		var decoded GroupID
		require.NoError(t, cbor.Unmarshal(data, &decoded))
		require.Equal(t, group, decoded)
	}
	number, err := cbor.Marshal(uint64(7))
	require.NoError(t, err)
	unnamed, err := cbor.Marshal(GroupID{Incarnation: 7})
	require.NoError(t, err)
	require.Equal(t, number, unnamed)
	var group GroupID
	require.Error(t, cbor.Unmarshal([]byte{0x61, 'x'}, &group))
}

func FuzzDecode(f *testing.F) {
	proposal := &Proposal{ID: ProposalID{1, 2}, Group: GroupID{Name: "g", Incarnation: 3}, From: MapID{4, 5}, To: MapID{6, 7}, Step: 8, Agents: []uint64{9, 10}}
	for _, message := range []Message{
		{Kind: KindPoll, Group: GroupID{Name: "g", Incarnation: 3}, From: 1, ID: proposal.ID, Proposal: proposal},
		{Kind: KindPromise, Group: GroupID{Name: "g", Incarnation: 3}, From: 1, To: 2, ID: proposal.ID},
		{Kind: KindOutcome, Group: GroupID{Name: "g", Incarnation: 3}, To: 2, ID: proposal.ID, Decision: Commit},
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
