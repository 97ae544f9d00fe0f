package rank

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/platform"
	"verbenaseam.example/verbenaseam/platform/standin"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/version/expertmap"
	"verbenaseam.example/verbenaseam/version/rebalance"
)

// groupRanks is the number of ranks of each group in the tests below.
const groupRanks = 3

// serviceWithGroups is a service whose targets form several groups, each with an agent
// per rank, on hosts 127.0.0.x.
type serviceWithGroups struct {
	t            *testing.T
	storeAddress string
	store        *standin.Store
	peerPort     string
	groups       []*standin.Group
	agents       []Config
	// targets are the agents' targets.
	targets []*standin.Target
	// stops end the agents; each returns once its agent has ended.
	stops []func()
}

func startServiceWithGroups(t *testing.T, names ...string) *serviceWithGroups {
	t.Helper()
	return startService(t, standin.Configuration(1, "/look/"), names...)
}

// startService is startServiceWithGroups with a configuration.
func startService(t *testing.T, configuration []byte, names ...string) *serviceWithGroups {
	t.Helper()
	s := &serviceWithGroups{t: t, store: standin.NewStore()}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.storeAddress = strings.TrimPrefix(server.URL, "http://")
	s.store.Put(platform.TableOperator, platform.KeyConfiguration, configuration)
	_, port, err := net.SplitHostPort(listenLoopback(t).LocalAddr().String())
	require.NoError(t, err)
	s.peerPort = port
	for _, name := range names {
		s.addGroup(name)
	}
	for at := range s.agents {
		s.startAgent(at)
	}
	t.Cleanup(func() {
		for _, stop := range s.stops {
			stop()
		}
	})
	return s
}

// startAgent starts the agent at an index, in place of one that was stopped.
func (s *serviceWithGroups) startAgent(at int) {
	agent := New(s.agents[at])
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := agent.Run(ctx, ctx); err != nil {
			s.t.Error(err)
		}
	}()
	s.stops[at] = func() {
		cancel()
		<-done
	}
}

// stopAgent stops the agent at an index.
func (s *serviceWithGroups) stopAgent(at int) { s.stops[at]() }

func (s *serviceWithGroups) addGroup(name string) {
	s.t.Helper()
	var ranks []*standin.Target
	for range groupRanks {
		host := fmt.Sprintf("127.0.0.%d", 31+len(s.agents))
		rank := &standin.Target{ID: host, Service: "model", FailureDomain: "z1"}
		listener, err := net.Listen("tcp", host+":0")
		require.NoError(s.t, err)
		server := &http.Server{Handler: rank}
		go func() { _ = server.Serve(listener) }()
		s.t.Cleanup(func() { _ = server.Close() })
		address := listener.Addr().String()
		s.store.Put(platform.TableTargets, rank.ID, rank.RegistrationValue(address, "ready"))
		ranks = append(ranks, rank)
		s.targets = append(s.targets, rank)
		s.stops = append(s.stops, nil)
		s.agents = append(s.agents, Config{
			Settings: settings.Rank{Name: host, TargetAddress: address, Service: "model", PeerAddress: net.JoinHostPort(host, s.peerPort), Bandwidth: 100},
			Store:    platform.NewStore(s.storeAddress), Clock: clockwork.NewRealClock(), Logger: logs.Discard(),
		})
	}
	s.groups = append(s.groups, standin.NewNamedGroup(name, 1, 6, ranks...))
}

// TestGroupsOfOneServiceSwitchMapsIndependently guards against a rank that copies the map
// of another group: all groups of the service are in incarnation 1 and number their maps
// alike, but different experts are in demand in each, so that their maps differ.
func TestGroupsOfOneServiceSwitchMapsIndependently(t *testing.T) {
	s := startServiceWithGroups(t, "first", "second")
	demand := [][]uint64{{100, 1, 1, 90, 1, 1}, {1, 100, 1, 1, 90, 1}}
	switchedInBoth := func() bool {
		for at, group := range s.groups {
			group.Step(demand[at])
		}
		for _, group := range s.groups {
			if _, running, _ := group.State(); running == 0 {
				return false
			}
		}
		return true
	}
	require.Eventually(t, switchedInBoth, 20*time.Second, 10*time.Millisecond)
	for range 100 {
		switchedInBoth()
		time.Sleep(10 * time.Millisecond)
	}
	for at, group := range s.groups {
		_, _, mixed := group.State()
		require.Zero(t, mixed, "group %d: steps ran on different maps", at)
	}
}

// TestDatagramsOfOtherGroupsAreDropped guards against messages of another group, or of
// another incarnation of the own one, that change an agent's state.
func TestDatagramsOfOtherGroupsAreDropped(t *testing.T) {
	target := &standin.Target{ID: "a", Service: "s"}
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	standin.NewGroup(1, 4, target, &standin.Target{ID: "b", Service: "s"})
	agent := New(Config{
		Settings: settings.Rank{Name: "a", TargetAddress: strings.TrimPrefix(server.URL, "http://"), Service: "s"},
		Clock:    clockwork.NewRealClock(), Logger: logs.Discard(),
	})
	agent.refresh(time.Now())
	own := agent.identity.group
	require.Equal(t, expertmap.GroupID{Name: "g", Incarnation: 1}, own)
	envelope := rebalance.Envelope{
		Directive: &rebalance.Directive{Planner: 1, AgentIncarnation: 7, Prepare: 2},
		Part:      &rebalance.MapPart{Number: 2, Layers: 1, Ranks: 2, Experts: [][][]int{{{0, 2}, {1, 3}}}},
	}
	for _, other := range []expertmap.GroupID{{Name: "h", Incarnation: 1}, {Name: "g", Incarnation: 2}} {
		envelope.Group = other
		agent.handleDatagram(datagram{envelope: envelope})
	}
	require.Nil(t, agent.directive)
	require.Nil(t, agent.mapToPrepare())
	require.InDelta(t, 2, testutil.ToFloat64(agent.dropped.counter.WithLabelValues(string(dropOtherGroup))), 0)

	envelope.Group = own
	agent.handleDatagram(datagram{envelope: envelope})
	require.NotNil(t, agent.directive)
	require.NotNil(t, agent.mapToPrepare())

	envelope = rebalance.Envelope{Group: own, Part: &rebalance.MapPart{Number: 4, Layers: 1, Ranks: 3, Experts: [][][]int{{{0}, {1}, {2, 3}}}}}
	agent.handleDatagram(datagram{envelope: envelope})
	require.InDelta(t, 1, testutil.ToFloat64(agent.dropped.counter.WithLabelValues(string(dropInvalid))), 0)
}

// TestCountsKeepTheirTurns guards against ranks that all report their counts together: they
// missed turns while no planner was known, and learned of it at the same time.
func TestCountsKeepTheirTurns(t *testing.T) {
	const cycle = 1800 * time.Millisecond
	start := time.Unix(100, 0)
	learned := start.Add(5 * time.Second)
	turns := map[time.Duration]bool{}
	for rank := range 129 {
		turn := start.Add(cycle * time.Duration(rank) / 129)
		next := nextTurn(turn, cycle, learned)
		require.True(t, next.After(learned))
		require.False(t, next.After(learned.Add(cycle)))
		turns[next.Sub(learned)] = true
	}
	require.Len(t, turns, 129)
}

// TestNestedRelayRejected guards against a datagram that agents forward to each other
// without end.
func TestNestedRelayRejected(t *testing.T) {
	agent := New(Config{Settings: settings.Rank{Name: "a", TargetAddress: "127.0.0.1:1", Service: "s"}, Clock: clockwork.NewRealClock(), Logger: logs.Discard()})
	agent.identity.group = expertmap.GroupID{Name: "g", Incarnation: 1}
	inner := agent.encode(rebalance.Envelope{Relay: &rebalance.Relay{}})
	agent.handleDatagram(datagram{envelope: rebalance.Envelope{Group: agent.identity.group, Relay: &rebalance.Relay{Datagram: inner}}})
	require.InDelta(t, 1, testutil.ToFloat64(agent.dropped.counter.WithLabelValues(string(dropInvalid))), 0)
}
