package direct

import (
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/daemon/follow"
	"verbenaseam.example/verbenaseam/internal/corpus"
	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/presence"
	"verbenaseam.example/verbenaseam/request/dispatch"
	"verbenaseam.example/verbenaseam/request/poison"
)

const corpusFolder = "testdata/wire"

// TestMessagesOfEarlierReleasesAreRead guards against entries that do not understand each
// other while a release is rolled out: a field that was renumbered, dropped or retyped.
func TestMessagesOfEarlierReleasesAreRead(t *testing.T) {
	require.NoError(t, corpus.Check(corpusFolder, map[string]any{"datagram": new(datagram), "compact": new(compactDatagram)}))
}

// FuzzDatagram guards against datagrams, of any release or of none, that stop an entry.
func FuzzDatagram(f *testing.F) {
	files, err := corpus.Files(corpusFolder, "datagram.cbor")
	require.NoError(f, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(data)
	}
	compact, err := newCompactor(nil, nil).encode(datagram{Datagram: presence.Datagram{Heartbeat: presence.Heartbeat{
		Peer: presence.Peer{Incarnation: 7}, Load: map[string]int{"t": 1},
	}}}, time.Unix(1000, 0))
	require.NoError(f, err)
	f.Add(compact)
	f.Fuzz(func(t *testing.T, data []byte) {
		clock := clockwork.NewFakeClock()
		now := clock.Now()
		peers := presence.NewPeerTable("self", time.Second)
		// The compact datagram among the seeds has this sender.
		peers.Register(presence.Peer{Name: "edge", Incarnation: 7}, now)
		received, err := newCompactor(peers, func() []string { return []string{"t"} }).decode(data, now)
		if err != nil {
			return
		}
		peers.RecordHeartbeat(received.Heartbeat, now)
		require.LessOrEqual(t, len(peers.Releases(now)), 1)
		dispatch.New(dispatch.Config{}).MergeLeavings(received.Leavings, now)
		dispatch.New(dispatch.Config{}).MergeLimits(received.Limits, now)
		dispatch.New(dispatch.Config{}).SetPeerDemand("peer", received.Demand, now)
		w := newStoreWatch(presence.Peer{Name: "self"}, logrus.NewEntry(logs.Discard()))
		w.relay(follow.RelayConfig{Table: platform.TableTargets})
		w.handleStatus(received.Peer.Name, received.Store)
		if received.Changes != nil {
			w.offer(*received.Changes)
		}
		exchange := exchangeOf(0)
		exchange.heard(received.Store, now)
		exchange.heard(received.Store, now.Add(behindDelay))
		if received.ConfigurationPart != nil {
			_, _ = exchange.take(*received.ConfigurationPart)
		}
		dispatch.New(dispatch.Config{}).SetPeerTokens("peer", received.Tokens, now)
		if received.Evidence != nil {
			tracker := poison.NewTracker(poison.Config{}, clock)
			tracker.Merge(*received.Evidence)
			_, err := cbor.Marshal(tracker.Evidence())
			require.NoError(t, err)
		}
	})
}
