package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/version/rollout"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newNode(peers ...string) *rollout.Node {
	self := rollout.Identity{Name: "self", Role: rollout.RoleEntry, FailureDomain: "d0", Incarnation: "1"}
	node := rollout.NewNode(self, rand.New(rand.NewPCG(1, 1)), startTime)
	node.SetConnected(peers)
	return node
}

// entries returns the entries of the versions from through to.
func entries(from, to uint64) []rollout.Entry {
	var all []rollout.Entry
	for version := from; version <= to; version++ {
		all = append(all, rollout.Entry{Version: version, ChangeID: fmt.Sprint(version)})
	}
	return all
}

// TestNodeVersionIsMonotonic guards against a version that decreases and against
// gaps between installed entries. It feeds a node inputs from peers and the platform
// in random order.
func TestNodeVersionIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := newNode("a", "b")
		now := startTime
		installed := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			previous := node.Version()
			from := rapid.Uint64Range(1, 12).Draw(t, "from")
			to := from + rapid.Uint64Range(0, 4).Draw(t, "length")
			fullTable := false
			var actions []rollout.Action
			switch rapid.IntRange(0, 5).Draw(t, "input") {
			case 0:
				actions = node.Tick(now)
			case 1:
				actions = node.HandleRead(now, rollout.Update{Head: to, Entries: entries(from, to)}, nil)
			case 2:
				actions = node.HandleRead(now, rollout.Update{}, &platform.UnavailableError{})
			case 3:
				actions = node.HandleFullTable(now, to, nil)
				fullTable = true
			case 4:
				actions = node.Receive(now, "a", rollout.Push{Entries: entries(from, to)})
			default:
				seq := rapid.Uint64Range(1, 20).Draw(t, "seq")
				actions = node.Receive(now, "b", rollout.PullResponse{Sequence: seq, Version: to, Ready: true, AgeMillis: 5, Entries: entries(from, to)})
			}
			if fullTable {
				installed = max(installed, node.Version())
			}
			for _, action := range actions {
				install, ok := action.(rollout.Install)
				for i := 0; ok && i < len(install.Entries); i++ {
					require.Equal(t, installed+1, install.Entries[i].Version)
					installed++
				}
			}
			require.GreaterOrEqual(t, node.Version(), previous)
			require.Equal(t, installed, node.Version())
		}
	})
}

func TestNodeStartsFromHighestPeerWhileLogFails(t *testing.T) {
	node := newNode("a", "b", "c")
	offers := map[string]uint64{"a": 3, "b": 7, "c": 5}
	fetchedFrom := ""
	for now := startTime; now.Before(startTime.Add(5 * time.Second)); now = now.Add(rollout.TickInterval) {
		queue := node.Tick(now)
		for len(queue) > 0 {
			action := queue[0]
			queue = queue[1:]
			switch action := action.(type) {
			case rollout.ReadLog:
				queue = append(queue, node.HandleRead(now, rollout.Update{}, &platform.UnavailableError{})...)
			case rollout.Send:
				if request, ok := action.Body.(rollout.PullRequest); ok {
					response := rollout.PullResponse{Sequence: request.Sequence, Version: offers[action.Peer], Ready: true, EntriesTrimmed: true}
					queue = append(queue, node.Receive(now, action.Peer, response)...)
				}
				if _, ok := action.Body.(rollout.FetchPart); ok {
					require.GreaterOrEqual(t, now.Sub(startTime), time.Second, "another peer may have a higher version")
					fetchedFrom = action.Peer
					part := rollout.Part{Version: offers[action.Peer], Parts: 1}
					queue = append(queue, node.Receive(now, action.Peer, part)...)
				}
			case rollout.InstallFullTable:
				queue = append(queue, node.HandleFullTable(now, action.Version, nil)...)
			case rollout.BecomeReady:
				require.Equal(t, uint64(7), node.Version())
			case rollout.LoadFullTable:
				queue = append(queue, node.HandleFullTable(now, 0, &platform.UnavailableError{})...)
			}
		}
	}
	require.Equal(t, "b", fetchedFrom)
	require.True(t, node.Ready())
	require.Equal(t, uint64(7), node.Version())
}

func TestNodeBehindHeadIsNotConfirmed(t *testing.T) {
	node := newNode("a")
	node.Tick(startTime)
	node.HandleRead(startTime, rollout.Update{Head: 0}, nil)
	require.True(t, node.Ready())
	later := startTime.Add(10 * time.Second)
	node.HandleAccepted(later, 500)
	node.HandleRead(later, rollout.Update{Head: 500, FullTableNeeded: true}, nil)
	require.Equal(t, 10*time.Second, node.ServeInput(later).ConfirmedAge)
	require.Equal(t, rollout.RefuseBehind, rollout.MayServe(node.ServeInput(later.Add(2*time.Second))))
}

func TestMayServe(t *testing.T) {
	three := []string{"a", "b", "c"}
	old := rollout.MaxUnconfirmedAge + time.Millisecond
	cases := []struct {
		desc  string
		input rollout.ServeInput
		want  rollout.ServeDecision
	}{
		{"no version yet", rollout.ServeInput{}, rollout.RefuseStarting},
		{"confirmed", rollout.ServeInput{Ready: true, FailureDomain: "a", InService: three}, rollout.ServeCurrent},
		{"higher version known", rollout.ServeInput{Ready: true, Behind: true}, rollout.RefuseBehind},
		{"partitioned alone", rollout.ServeInput{Ready: true, ConfirmedAge: old, FailureDomain: "a", InService: three}, rollout.RefusePartitioned},
		{"reaches a majority", rollout.ServeInput{Ready: true, ConfirmedAge: old, FailureDomain: "a", Reached: []string{"c"}, InService: three}, rollout.ServePlatformOutage},
		{"half of two is no majority", rollout.ServeInput{Ready: true, ConfirmedAge: old, FailureDomain: "a", InService: []string{"a", "b"}}, rollout.RefusePartitioned},
		{"only one failure domain exists", rollout.ServeInput{Ready: true, ConfirmedAge: old, FailureDomain: "a", InService: []string{"a"}}, rollout.ServePlatformOutage},
		{"a failure domain out of service does not count", rollout.ServeInput{Ready: true, ConfirmedAge: old, FailureDomain: "a", Reached: []string{"x"}, InService: three}, rollout.RefusePartitioned},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) { require.Equal(t, tc.want, rollout.MayServe(tc.input)) })
	}
}
