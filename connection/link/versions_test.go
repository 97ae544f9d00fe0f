package link

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/websocket"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/process/release"
)

// serveAcceptor serves an acceptor and returns its address.
func serveAcceptor(t *testing.T, config Config) string {
	t.Helper()
	acceptor := NewAcceptor(config)
	server := httptest.NewServer(acceptor)
	t.Cleanup(server.Close)
	t.Cleanup(acceptor.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestLinkSpeaksTheHighestCommonVersion follows a pair of processes through a roll to a
// release that speaks another version, and back.
func TestLinkSpeaksTheHighestCommonVersion(t *testing.T) {
	for _, c := range []struct {
		desc              string
		dialler, acceptor release.Range
		want              uint8
	}{
		{"both old", release.Range{Min: 1, Max: 1}, release.Range{Min: 1, Max: 1}, 1},
		{"dialler replaced", release.Range{Min: 1, Max: 2}, release.Range{Min: 1, Max: 1}, 1},
		{"acceptor replaced", release.Range{Min: 1, Max: 1}, release.Range{Min: 1, Max: 2}, 1},
		{"both replaced", release.Range{Min: 1, Max: 2}, release.Range{Min: 1, Max: 2}, 2},
		{"two releases apart", release.Range{Min: 1, Max: 2}, release.Range{Min: 2, Max: 3}, 2},
		{"nothing in common", release.Range{Min: 1, Max: 1}, release.Range{Min: 2, Max: 3}, 0},
		{"nothing in common, newer dialler", release.Range{Min: 2, Max: 3}, release.Range{Min: 1, Max: 1}, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			accepting, dialling := testConfig("entry", nil), testConfig("agent", nil)
			accepting.Versions, dialling.Versions = c.acceptor, c.dialler
			l, err := Dial(t.Context(), serveAcceptor(t, accepting), dialling)
			if c.want == 0 {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			require.Equal(t, c.want, l.Protocol())
			require.Equal(t, release.Build(), l.PeerBuild())
		})
	}
}

// TestLinkToReleaseThatNamesNoVersion guards against a process that is replaced first and
// cannot connect to those of the release before, which neither offer nor choose a version.
func TestLinkToReleaseThatNamesNoVersion(t *testing.T) {
	earlier := agreement{version: firstVersion}
	next := release.Range{Min: 1, Max: 2}

	t.Run("dialler", func(t *testing.T) {
		established := make(chan *Link, 1)
		accepting := testConfig("entry", nil)
		accepting.Versions = next
		accepting.OnEstablished = func(l *Link) { established <- l }
		socket, response, err := websocket.DefaultDialer.DialContext(t.Context(), "ws://"+serveAcceptor(t, accepting)+Path, nil)
		require.NoError(t, err)
		_ = response.Body.Close()
		l, err := establish(testConfig("agent", nil).withDefaults(), socket, earlier, true)
		require.NoError(t, err)
		l.start()
		t.Cleanup(func() { _ = l.Close() })
		accepted := <-established
		require.EqualValues(t, firstVersion, accepted.Protocol())
		require.Empty(t, accepted.PeerBuild())
	})

	t.Run("acceptor", func(t *testing.T) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			upgrader := websocket.Upgrader{}
			socket, err := upgrader.Upgrade(w, r, nil)
			if err != nil {
				return
			}
			if l, err := establish(testConfig("entry", nil).withDefaults(), socket, earlier, false); err == nil {
				l.start()
			}
		}))
		t.Cleanup(server.Close)
		dialling := testConfig("agent", nil)
		dialling.Versions = next
		l, err := Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), dialling)
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		require.EqualValues(t, firstVersion, l.Protocol())
		require.Empty(t, l.PeerBuild())
	})
}

func TestAgreedVersionRefusesWhatItDoesNotKnow(t *testing.T) {
	spoken := release.Range{Min: 1, Max: 2}
	for _, chosen := range []string{"verbenaseam-link-3", "verbenaseam-link-0", "verbenaseam-link-256", "verbenaseam-link-x", "chat"} {
		_, err := agreedVersion(spoken, chosen, nil)
		require.ErrorAs(t, err, new(*VersionError), chosen)
	}
	_, err := agreedVersion(spoken, "", []string{"verbenaseam-link-9"})
	require.ErrorAs(t, err, new(*VersionError), "an offer without a common version is not version 1")
	_, err = agreedVersion(release.Range{Min: 2, Max: 2}, "", nil)
	require.ErrorAs(t, err, new(*VersionError))
	version, err := agreedVersion(spoken, "verbenaseam-link-2", nil)
	require.NoError(t, err)
	require.EqualValues(t, 2, version)
}
