package presence

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func peer(name string, incarnation uint64) Peer {
	return Peer{Name: name, Incarnation: incarnation, CallerAddress: name + ":1", PeerAddress: name + ":2", FailureDomain: "d"}
}

func names(peers []Peer) []string {
	var all []string
	for _, peer := range peers {
		all = append(all, peer.Name)
	}
	return all
}

func TestReadyReturnsOnlyLiveReadyPeers(t *testing.T) {
	table := NewPeerTable("self", time.Second)
	table.Register(peer("self", 1), start)
	table.Register(peer("a", 1), start)
	table.Register(peer("b", 1), start)
	require.Empty(t, table.Ready(start), "no heartbeat has arrived yet")
	require.Equal(t, []string{"a:2", "b:2"}, table.Addresses())
	require.True(t, table.RecordHeartbeat(Heartbeat{Peer: peer("a", 1), Ready: true, Sequence: 1}, start))
	require.True(t, table.RecordHeartbeat(Heartbeat{Peer: peer("b", 1), Ready: false, Sequence: 1}, start))
	require.Equal(t, []string{"a"}, names(table.Ready(start)))
	require.Equal(t, []string{"a"}, names(table.Ready(start.Add(time.Second))))
	late := start.Add(time.Second + time.Millisecond)
	require.Empty(t, table.Ready(late))
	require.ElementsMatch(t, []string{"a", "b"}, table.Dead(late))
}

func TestReadyOmitsLeavingPeer(t *testing.T) {
	table := NewPeerTable("self", time.Second)
	table.RecordHeartbeat(Heartbeat{Peer: peer("a", 1), Ready: true, Sequence: 1}, start)
	table.RecordHeartbeat(Heartbeat{Peer: peer("a", 1), Ready: true, Leaving: true, Sequence: 2}, start)
	require.Empty(t, table.Ready(start))
}

func TestStaleHeartbeatIsIgnored(t *testing.T) {
	table := NewPeerTable("self", time.Second)
	require.True(t, table.RecordHeartbeat(Heartbeat{Peer: peer("a", 1), Ready: true, Sequence: 5}, start))
	require.False(t, table.RecordHeartbeat(Heartbeat{Peer: peer("a", 1), Sequence: 4}, start))
	require.False(t, table.RecordHeartbeat(Heartbeat{Peer: peer("self", 1), Sequence: 4}, start))
	require.True(t, table.RecordHeartbeat(Heartbeat{Peer: peer("a", 2), Ready: true, Sequence: 1}, start), "the sequence restarts with a new incarnation")
}

func TestRestartedPeerIsNotReadyBeforeItsHeartbeat(t *testing.T) {
	table := NewPeerTable("self", time.Second)
	table.RecordHeartbeat(Heartbeat{Peer: peer("a", 1), Ready: true, Sequence: 1}, start)
	table.Register(peer("a", 2), start)
	require.Empty(t, table.Ready(start))
	table.Remove("a")
	require.Empty(t, table.Names())
}

// TestDemandIsSmall guards against heartbeats that grow by more than 100 bytes per peer and
// urgency.
func TestDemandIsSmall(t *testing.T) {
	demand := ServiceDemand{Service: "engines-of-a-long-name-0123456789", Urgency: 9, PerSecond: 123456.7, Waiting: 1 << 30}
	without, err := cbor.Marshal(Heartbeat{})
	require.NoError(t, err)
	with, err := cbor.Marshal(Heartbeat{Demand: []ServiceDemand{demand}})
	require.NoError(t, err)
	require.Less(t, len(with)-len(without), 100)
	var old struct {
		Ready bool `cbor:"2,keyasint"`
	}
	require.NoError(t, cbor.Unmarshal(with, &old), "a release that does not know the field")
}
