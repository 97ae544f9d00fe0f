package rank

import (
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/version/config"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// newPlanningAgent returns the agent of rank 0 of a group of two, which plans, and its target.
func newPlanningAgent(t testing.TB) (*Agent, *standin.Target) {
	target := &standin.Target{ID: "a", Service: "s"}
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	standin.NewGroup(1, 4, target, &standin.Target{ID: "b", Service: "s"})
	agent := New(Config{
		Settings: settings.Rank{Name: "a", TargetAddress: strings.TrimPrefix(server.URL, "http://"), Service: "s", Bandwidth: 100},
		Clock:    clockwork.NewRealClock(), Logger: logs.Discard(), Store: platform.NewStore("127.0.0.1:1"),
	})
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	agent.socket, agent.host = socket, netip.MustParseAddr("127.0.0.1")
	agent.port = socket.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	agent.refresh(time.Now())
	require.NotNil(t, agent.driver)
	report := agent.engine.LastReport()
	agent.planner = rebalance.NewPlanner(report.Group, config.Experts{Sets: 1, PerSet: 4, SlotsPerRank: 3, MaxNewPerMap: 1, Megabytes: 1}, 0, agent.statusOf(report), rebalance.DefaultPolicy())
	return agent, target
}

// numbers are values at which arithmetic on the numbers of a message overflows.
var numbers = []int{-1, math.MinInt, math.MaxInt, math.MaxInt - 1, 1 << 61, 1<<61 - 1, 1<<62 - 1, 1 << 20, 2}

// malformedEnvelopes returns messages that decode, with numbers that no agent sends.
func malformedEnvelopes(group expertmap.GroupID) []rebalance.Envelope {
	var all []rebalance.Envelope
	id := expertmap.NewProposalID(expertmap.MapIDFromNumber(9), 5)
	for _, n := range numbers {
		proposal := expertmap.Proposal{ID: id, Group: group, GroupHeld: true, Holder: n, Proposer: n, Agents: []uint64{1, 1}}
		all = append(all,
			rebalance.Envelope{Part: &rebalance.MapPart{Number: 2, Layers: 1, Ranks: 2, FirstLayer: n, Experts: [][][]int{{{0}}}}},
			rebalance.Envelope{Part: &rebalance.MapPart{Number: 2, Layers: 1, Ranks: 2, FirstRank: n, Experts: [][][]int{{{0}}}}},
			rebalance.Envelope{Part: &rebalance.MapPart{Number: 2, Layers: n, Ranks: 2, Experts: [][][]int{{{0}}}}},
			rebalance.Envelope{Counts: &rebalance.Counts{Rank: n, Levels: []byte{1}}},
			rebalance.Envelope{Counts: &rebalance.Counts{Offset: n, Levels: []byte{1}}},
			rebalance.Envelope{Status: &rebalance.Status{Rank: n, Size: 2}},
			rebalance.Envelope{Status: &rebalance.Status{Rank: 1, Size: n}},
			rebalance.Envelope{Status: &rebalance.Status{Rank: 1, Size: 2, Sequence: 1, Running: uint64(n), Epoch: uint64(n), Held: [][]int{{n}}}},
			rebalance.Envelope{Delta: &rebalance.Delta{Number: 3, Layers: n, Experts: n, Ranks: 2, Changes: []int{n, n, n, n}}},
			rebalance.Envelope{Delta: &rebalance.Delta{Number: 3, Layers: 1, Experts: 4, Ranks: 2, Changes: []int{0, n, n, n}}},
			rebalance.Envelope{Delta: &rebalance.Delta{Number: 3, Ranks: 2, Part: n, Parts: n}},
			rebalance.Envelope{Relay: &rebalance.Relay{First: n, End: math.MaxInt, Datagram: []byte{0xa0}}},
			rebalance.Envelope{ExpertMapMessage: &expertmap.Message{Kind: expertmap.KindPoll, Group: group, From: 1, ID: id, Agent: 1, Proposal: &proposal}},
			rebalance.Envelope{ExpertMapMessage: &expertmap.Message{Kind: expertmap.KindConfirmAbort, Group: group, From: n, ID: id, Agent: 1}},
			rebalance.Envelope{ExpertMapMessage: &expertmap.Message{Kind: expertmap.KindRecoveryReply, Group: group, From: 1, Known: []expertmap.KnownProposal{{Proposal: proposal, Promised: true}}}},
			rebalance.Envelope{Directive: &rebalance.Directive{Planner: n, AgentIncarnation: 7, Hosts: []byte{127, 0, 0, 1}, Prepare: uint64(n), RequestHeld: true}},
		)
	}
	return all
}

// TestMalformedDatagramsDoNotStopAgent guards against a datagram whose numbers stop an agent: it
// decodes, but an index or a size that is derived from it is out of range.
func TestMalformedDatagramsDoNotStopAgent(t *testing.T) {
	agent, _ := newPlanningAgent(t)
	planner := agent.planner
	for _, envelope := range malformedEnvelopes(agent.identity.group) {
		envelope.Group = agent.identity.group
		agent.planner = planner
		if envelope.Directive != nil {
			agent.planner, agent.directive = nil, nil
		}
		require.NotPanics(t, func() {
			agent.handleDatagram(datagram{netip.MustParseAddrPort("127.0.0.2:1"), envelope})
			agent.tick(t.Context())
		}, "%+v", envelope)
	}
}

// FuzzAgentDatagram guards against datagrams that stop an agent.
func FuzzAgentDatagram(f *testing.F) {
	agent, _ := newPlanningAgent(f)
	for _, envelope := range malformedEnvelopes(agent.identity.group) {
		envelope.Group = agent.identity.group
		data, err := rebalance.Encode(envelope)
		require.NoError(f, err)
		f.Add(data)
	}
	planner := agent.planner
	f.Fuzz(func(_ *testing.T, data []byte) {
		if envelope, err := rebalance.Decode(data); err == nil {
			agent.planner = planner
			if envelope.Directive != nil {
				agent.planner, agent.directive = nil, nil
			}
			agent.handleDatagram(datagram{netip.MustParseAddrPort("127.0.0.2:1"), envelope})
		}
	})
}

// TestMalformedReportsDoNotStopAgent guards against responses of the target on the agent's host
// that stop the agent: an agent would then fail as often as it is started.
func TestMalformedReportsDoNotStopAgent(t *testing.T) {
	for name, body := range map[string]string{
		"no JSON":          "\xff\xfe{",
		"wrong types":      `{"group":"g","size":"2"}`,
		"null":             `null`,
		"a list":           `[]`,
		"a negative size":  `{"group":{"name":"g","epoch":1,"state":"open"},"size":-3}`,
		"a huge size":      `{"group":{"name":"g","epoch":1,"state":"open"},"size":4611686018427387904}`,
		"a negative rank":  `{"group":{"name":"g","epoch":1,"rank":-1,"state":"open"},"size":2}`,
		"a rank too high":  `{"group":{"name":"g","epoch":1,"rank":7,"state":"open"},"size":2}`,
		"a number too big": `{"group":{"name":"g","epoch":1,"state":"open"},"size":1e300}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
			t.Cleanup(server.Close)
			agent := New(Config{
				Settings: settings.Rank{Name: "a", TargetAddress: strings.TrimPrefix(server.URL, "http://"), Service: "s", Bandwidth: 100},
				Clock:    clockwork.NewRealClock(), Logger: logs.Discard(), Store: platform.NewStore("127.0.0.1:1"),
			})
			agent.experts = &config.Experts{Sets: 1, PerSet: 4, SlotsPerRank: 3}
			agent.agentAddresses = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
			require.NotPanics(t, func() {
				for range 2 {
					agent.refresh(time.Now())
					agent.tick(t.Context())
				}
			})
		})
	}
}

// TestErrorOfTheSocketDoesNotEndReceiving guards against an error of the socket after which an agent
// hears of no other one any more.
func TestErrorOfTheSocketDoesNotEndReceiving(t *testing.T) {
	agent, _ := newPlanningAgent(t)
	require.NoError(t, agent.socket.SetReadDeadline(time.Unix(1, 0)))
	go agent.receiveDatagrams()
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, agent.socket.SetReadDeadline(time.Time{}))
	require.Eventually(t, func() bool {
		agent.send(netip.AddrPortFrom(agent.host, agent.port), rebalance.Envelope{Counts: &rebalance.Counts{}})
		return len(agent.inbox) > 0
	}, 5*time.Second, 10*time.Millisecond)
}
