package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/daemon/follow"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/presence"
)

const frequentWait = 3 * time.Second

func peersNamed(names ...string) []presence.Peer {
	var peers []presence.Peer
	for _, name := range names {
		peers = append(peers, presence.Peer{Name: name})
	}
	return peers
}

func newTestWatch(name string) *storeWatch {
	return newStoreWatch(presence.Peer{Name: name}, logrus.NewEntry(logs.Discard()))
}

// TestFewEntriesPollOften guards against calls to the store that grow with the number of
// entries: at 60 entries they were the largest price of the day. Each entry that hears too
// few others must poll often itself.
func TestFewEntriesPollOften(t *testing.T) {
	const entries = 60
	var names []string
	for n := range entries {
		names = append(names, fmt.Sprintf("edge-%02d", n))
	}
	often := 0
	for _, name := range names {
		w := newTestWatch(name)
		require.Equal(t, frequentWait, w.feedWait(frequentWait), "an entry that knows no others polls often")
		w.update(peersNamed(names...))
		if w.feedWait(frequentWait) == frequentWait {
			often++
		} else {
			require.Equal(t, follow.LongFeedWait, w.feedWait(frequentWait))
		}
	}
	require.Equal(t, frequentPollers, often)

	w := newTestWatch(names[entries-1])
	w.update(peersNamed(names...))
	w.update(peersNamed(names[entries-2]))
	require.Equal(t, frequentWait, w.feedWait(frequentWait), "the frequent pollers are gone")
}

// TestStatusOfFrequentPollerSpreads guards against entries that poll rarely and act on
// tables that a store outage has made stale.
func TestStatusOfFrequentPollerSpreads(t *testing.T) {
	w := newTestWatch("edge-9")
	w.update(peersNamed("edge-1", "edge-2", "edge-3", "edge-4", "edge-5"))
	lost := presence.StoreStatus{Lost: true}
	checks := func(peer string, status presence.StoreStatus) bool {
		interrupted := w.events.Interrupted()
		w.handleStatus(peer, status)
		select {
		case <-interrupted:
			return true
		default:
			return false
		}
	}
	require.False(t, checks("edge-5", lost), "edge-5 polls rarely")
	require.True(t, checks("edge-1", lost))
	require.False(t, checks("edge-1", lost), "the same outage")
	require.False(t, checks("edge-1", presence.StoreStatus{}))
	require.True(t, checks("edge-1", lost), "another outage")
	require.False(t, w.status().Lost)
	w.setStoreLost(true)
	require.True(t, w.status().Lost)
}

// TestPollersAreSpreadOverFailureDomains guards against pollers that all lose the store with
// one failure domain.
func TestPollersAreSpreadOverFailureDomains(t *testing.T) {
	var entries []presence.Peer
	for n := range 12 {
		entries = append(entries, presence.Peer{Name: fmt.Sprintf("edge-%02d", n), FailureDomain: fmt.Sprint("z", n/4)})
	}
	require.Equal(t, []string{"edge-00", "edge-04", "edge-08", "edge-01"}, selectPollers(entries))
}

// TestEntriesReceiveChangesOnlyIfMany guards against few entries that depend on each other,
// and against entries that wait for pollers of which none can read the store.
func TestEntriesReceiveChangesOnlyIfMany(t *testing.T) {
	names := []string{"edge-1", "edge-2", "edge-3", "edge-4", "edge-5", "edge-6", "edge-7", "edge-8"}
	w := newTestWatch("edge-9")
	w.update(peersNamed(names[:maxPollingEntries-1]...))
	require.False(t, w.receives())
	w.update(peersNamed(names...))
	require.True(t, w.receives())
	for _, name := range names[:frequentPollers] {
		require.True(t, w.receives())
		w.handleStatus(name, presence.StoreStatus{Lost: true})
		w.update(peersNamed(names...))
	}
	require.False(t, w.receives())
	require.Equal(t, frequentWait, w.feedWait(frequentWait))
	w.handleStatus("edge-2", presence.StoreStatus{})
	w.update(peersNamed(names...))
	require.True(t, w.receives())
}
