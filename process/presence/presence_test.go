package presence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var begin = time.Unix(1000, 0)

func peer(name string, incarnation uint64) Peer {
	return Peer{Name: name, Incarnation: incarnation, CallerAddress: name + ":1", PeerAddress: name + ":2", FailureDomain: "d"}
}

func names(peers []Peer) []string {
	var all []string
	for _, one := range peers {
		all = append(all, one.Name)
	}
	return all
}

func TestOnlyLiveReadyPeersAreNamed(t *testing.T) {
	table := NewTable("own", time.Second)
	table.Registered(peer("own", 1), begin)
	table.Registered(peer("a", 1), begin)
	table.Registered(peer("b", 1), begin)
	require.Empty(t, table.Ready(begin), "nothing was heard of them yet")
	require.Equal(t, []string{"a:2", "b:2"}, table.Addresses())
	require.True(t, table.Heard(Heartbeat{Peer: peer("a", 1), Ready: true, Sent: 1}, begin))
	require.True(t, table.Heard(Heartbeat{Peer: peer("b", 1), Ready: false, Sent: 1}, begin))
	require.Equal(t, []string{"a"}, names(table.Ready(begin)))
	require.Equal(t, []string{"a"}, names(table.Ready(begin.Add(time.Second))))
	late := begin.Add(time.Second + time.Millisecond)
	require.Empty(t, table.Ready(late))
	require.ElementsMatch(t, []string{"a", "b"}, table.Silent(late))
}

func TestALeavingPeerIsNotNamed(t *testing.T) {
	table := NewTable("own", time.Second)
	table.Heard(Heartbeat{Peer: peer("a", 1), Ready: true, Sent: 1}, begin)
	table.Heard(Heartbeat{Peer: peer("a", 1), Ready: true, Leaving: true, Sent: 2}, begin)
	require.Empty(t, table.Ready(begin))
}

func TestLateHeartbeatsChangeNothing(t *testing.T) {
	table := NewTable("own", time.Second)
	require.True(t, table.Heard(Heartbeat{Peer: peer("a", 1), Ready: true, Sent: 5}, begin))
	require.False(t, table.Heard(Heartbeat{Peer: peer("a", 1), Sent: 4}, begin))
	require.False(t, table.Heard(Heartbeat{Peer: peer("own", 1), Sent: 4}, begin))
	require.True(t, table.Heard(Heartbeat{Peer: peer("a", 2), Ready: true, Sent: 1}, begin), "a new start counts anew")
}

func TestAPeerThatStartedAgainIsNotReadyBeforeItSaysSo(t *testing.T) {
	table := NewTable("own", time.Second)
	table.Heard(Heartbeat{Peer: peer("a", 1), Ready: true, Sent: 1}, begin)
	table.Registered(peer("a", 2), begin)
	require.Empty(t, table.Ready(begin))
	table.Removed("a")
	require.Zero(t, table.Count())
}
