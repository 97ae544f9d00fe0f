package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"verbenaseam.example/verbenaseam/api/gen/engineapi"
	"verbenaseam.example/verbenaseam/connection/link"
	"verbenaseam.example/verbenaseam/daemon/agent"
	"verbenaseam.example/verbenaseam/daemon/entry"
	"verbenaseam.example/verbenaseam/daemon/group"
	enginestandin "verbenaseam.example/verbenaseam/internal/standin/engine"
	platformstandin "verbenaseam.example/verbenaseam/internal/standin/platform"
	"verbenaseam.example/verbenaseam/process/lease"
	"verbenaseam.example/verbenaseam/process/logs"
	"verbenaseam.example/verbenaseam/process/platform"
	"verbenaseam.example/verbenaseam/process/settings"
	"verbenaseam.example/verbenaseam/version/rollout"
	"verbenaseam.example/verbenaseam/version/table"
)

const (
	groupRanks    = 4
	groupEntries  = 2
	groupExperts  = 8
	groupStepTime = 2 * time.Millisecond
	// groupTimeout bounds a wait. The tests assert nothing about the time taken.
	groupTimeout      = 60 * time.Second
	groupPollInterval = 10 * time.Millisecond

	metricSwitches = "verbenaseam_expert_map_switches_total"

	holdPath   = "/v1/expert-step/hold"
	switchPath = "/v1/expert-step/switch"
)

// runningDaemon is an agent or entry that can be stopped individually.
type runningDaemon struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (r *runningDaemon) stop() {
	r.cancel()
	<-r.done
}

// lockStepGroup runs a lock-step group with its agents and entries in the test
// process.
type lockStepGroup struct {
	t        *testing.T
	portBase int
	platform *platformstandin.InMemory
	group    *enginestandin.Group
	engines  []*httptest.Server
	// failingCall is the path of the call that a rank's engine answers with an error,
	// empty for none; failedCalls counts these answers.
	failingCall  [groupRanks]atomic.Value
	failedCalls  [groupRanks]atomic.Int64
	agents       [groupRanks]*runningDaemon
	entries      [groupEntries]*runningDaemon
	entryDaemons [groupEntries]*entry.Entry
}

func rankName(rank int) string { return fmt.Sprintf("rank-%d", rank) }

func (s *lockStepGroup) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", s.portBase+offset)
}

func startLockStepGroup(t *testing.T, fencing table.Fencing) *lockStepGroup {
	t.Helper()
	s := &lockStepGroup{
		t: t, portBase: freePortBase(t), group: enginestandin.NewGroup(groupRanks),
		platform: platformstandin.New(platformstandin.Config{}),
	}
	s.setHotExpert(0)
	s.proposeTables(fencing)
	for rank := range groupRanks {
		engine := enginestandin.New(enginestandin.Config{Name: rankName(rank), Group: s.group, Rank: rank})
		server := httptest.NewServer(s.injectFailures(rank, engine.Handler()))
		s.engines = append(s.engines, server)
		t.Cleanup(func() { engine.Close(); server.Close() })
		s.startAgent(rank)
	}
	for i := range groupEntries {
		s.startEntry(i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.group.Run(ctx, clockwork.NewRealClock(), groupStepTime)
	return s
}

// setHotExpert gives most of the tokens to expert hot and to expert hot+groupRanks,
// modulo groupExperts. Map 1 places both on the same rank.
func (s *lockStepGroup) setHotExpert(hot int) {
	loads := make([]float64, groupExperts)
	for expert := range loads {
		loads[expert] = 100
	}
	loads[hot], loads[(hot+groupRanks)%groupExperts] = 4000, 3000
	s.group.SetExperts(enginestandin.Experts{
		TokensPerStep: [][]float64{loads}, TokensPerSecond: []float64{1e6, 1e6, 1e6, 1e6}, SlotsPerLayer: 3, ExpertBytes: 1 << 20,
	})
}

func (s *lockStepGroup) injectFailures(rank int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call, _ := s.failingCall[rank].Load().(string)
		if call != "" && r.URL.Path == call {
			s.failedCalls[rank].Add(1)
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *lockStepGroup) proposeTables(fencing table.Fencing) {
	t := table.New()
	t.Version = 1
	t.Domains["patan"] = table.FailureDomain{Name: "patan", Region: "bagmati"}
	pool := table.Pool{
		Name: "advice", Kind: table.KindModel, ColdLimit: 2, Maximum: 8, Fencing: fencing,
		Policy: "score", LockStep: true, Rebalance: true,
	}
	hosts := []platform.Host{}
	for rank := range groupRanks {
		name, address := rankName(rank), s.address(20+rank)
		t.Targets[name] = table.Target{Name: name, Agent: address, FailureDomain: "patan"}
		pool.Targets = append(pool.Targets, name)
		hosts = append(hosts, platform.Host{Name: name, Role: "target", Address: address, FailureDomain: "patan"})
	}
	for i := range groupEntries {
		name := fmt.Sprintf("entry-%d", i)
		hosts = append(hosts, platform.Host{Name: name, Role: link.RoleEntry, Address: s.address(10 + i), FailureDomain: "patan"})
	}
	t.Pools["advice"] = pool
	s.platform.SetHosts(hosts...)
	_, err := rollout.NewLog(s.platform, clockwork.NewRealClock()).Propose(context.Background(),
		rollout.Change{ID: "first", Operator: "test", Base: 0, Next: t})
	require.NoError(s.t, err)
}

func (s *lockStepGroup) run(daemon interface {
	Run(ctx, cut context.Context) error
}) *runningDaemon {
	ctx, cancel := context.WithCancel(context.Background())
	started := &runningDaemon{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		if err := daemon.Run(ctx, ctx); err != nil {
			s.t.Errorf("daemon ended with an error: %v", err)
		}
	}()
	s.t.Cleanup(started.stop)
	return started
}

func (s *lockStepGroup) startAgent(rank int) {
	created, err := agent.New(agent.Config{
		Settings: settings.Agent{
			Name: rankName(rank), FailureDomain: "patan", LinkAddress: s.address(20 + rank),
			StatusAddress: s.address(30 + rank), EngineURL: s.engines[rank].URL,
			EngineKind: string(table.KindModel), ProbeInterval: settings.DefaultProbeInterval,
			Shutdown: settings.Shutdown{Timeout: time.Second},
		},
		Platform: s.platform, Clock: clockwork.NewRealClock(), Logger: logs.Discard(),
	})
	require.NoError(s.t, err)
	s.agents[rank] = s.run(created)
}

func (s *lockStepGroup) startEntry(i int) {
	created, err := entry.New(entry.Config{
		Settings: settings.Entry{
			Name: fmt.Sprintf("entry-%d", i), FailureDomain: "patan", CallerAddress: s.address(i),
			OperatorAddress: s.address(5 + i), LinkAddress: s.address(10 + i), Limits: settings.DefaultLimits(),
			Shutdown: settings.Shutdown{Timeout: time.Second, EntriesTTL: time.Millisecond},
		},
		Platform: s.platform, Clock: clockwork.NewRealClock(), Logger: logs.Discard(),
		GroupLeaseTTL: time.Second,
	})
	require.NoError(s.t, err)
	s.entryDaemons[i], s.entries[i] = created, s.run(created)
}

func (s *lockStepGroup) eventually(description string, condition func() bool) {
	s.t.Helper()
	require.Eventually(s.t, condition, groupTimeout, groupPollInterval, description)
}

// awaitMapSwitch waits until all ranks have left map version from and the group has
// run further steps.
func (s *lockStepGroup) awaitMapSwitch(from int64) {
	s.t.Helper()
	s.eventually("all ranks switch to a new map", func() bool {
		for rank := range groupRanks {
			state := s.group.State(rank)
			if state.Version == from || state.Hold != nil || state.Pending != nil {
				return false
			}
		}
		return true
	})
	step := s.group.State(0).Step
	s.eventually("the group continues stepping", func() bool { return s.group.State(0).Step > step+1 })
	require.Zero(s.t, s.group.MixedSteps(), "steps ran on different maps")
}

// leaseHolder returns the entry whose metrics show that it led a map switch.
func (s *lockStepGroup) leaseHolder() int {
	s.t.Helper()
	for i := range groupEntries {
		if s.hasMetric(i, metricSwitches) {
			return i
		}
	}
	s.t.Fatal("no entry led a switch")
	return -1
}

func (s *lockStepGroup) hasMetric(i int, name string) bool {
	status, _, body, err := send(newGetRequest(s.t, "http://"+s.address(5+i)+"/metrics"))
	require.NoError(s.t, err)
	require.Equal(s.t, http.StatusOK, status)
	return strings.Contains(string(body), "\n"+name)
}

func newGetRequest(t *testing.T, url string) *http.Request {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	return request
}

// interruptSwitch starts a map switch in which one rank's engine fails a call, and
// returns once the call has failed. A failed hold leaves the proposal undecided. A
// failed switch leaves it committed on all other ranks, and the rank's hold stops
// the group. The caller ends the failure with clearFailure.
func (s *lockStepGroup) interruptSwitch(rank int, call string, hot int) (from int64) {
	s.t.Helper()
	from = s.group.State(0).Version
	s.failingCall[rank].Store(call)
	before := s.failedCalls[rank].Load()
	s.setHotExpert(hot)
	s.eventually("a switch is in progress", func() bool { return s.failedCalls[rank].Load() > before })
	require.Equal(s.t, call == switchPath, s.group.State(rank).Hold != nil)
	require.Equal(s.t, from, s.group.State(rank).Version)
	return from
}

func (s *lockStepGroup) clearFailure(rank int) { s.failingCall[rank].Store("") }

// TestGroupSwitchesMaps runs a group of four ranks with two entries. The lease
// holder rebalances the group. Then an agent is restarted, and later the lease
// holder stopped, in the middle of a switch: each switch must still complete.
func TestGroupSwitchesMaps(t *testing.T) {
	cases := []struct {
		desc    string
		fencing table.Fencing
		// call is the engine call that fails in the middle of the switches.
		call string
	}{
		{"engines check epochs, proposal undecided", table.FencingChecked, holdPath},
		{"engines ignore epochs, proposal decided", table.FencingIgnored, switchPath},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			s := startLockStepGroup(t, tc.fencing)
			s.awaitMapSwitch(1)
			t.Logf("stalled steps until the end of the first switch: %d of %d", s.group.BlockedAdvances(), s.group.State(0).Step)
			s.eventually("the switch is counted in the metrics", func() bool {
				return s.hasMetric(0, metricSwitches) || s.hasMetric(1, metricSwitches)
			})
			for _, name := range []string{"verbenaseam_step_skew_ratio_bucket", "verbenaseam_expert_moves_total",
				"verbenaseam_expert_moved_bytes_total", "verbenaseam_expert_map_switch_seconds_count"} {
				require.True(t, s.hasMetric(s.leaseHolder(), name+`{group="advice"`), name)
			}
			s.checkModelOrder()
			s.restartAgent(2, tc.call)
			s.stopLeaseHolder(3, tc.call)
		})
	}
}

// checkModelOrder orders one rank to load a model. The lease holder's order takes
// effect; the other entry's order is rejected.
func (s *lockStepGroup) checkModelOrder() {
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	holder := s.leaseHolder()
	answer, err := s.entryDaemons[holder].OrderEngine(ctx, "advice", rankName(1), group.OrderLoadModel, "petal-2")
	require.NoError(s.t, err)
	require.Equal(s.t, group.ResultDone, answer.Result, answer.Reason)
	require.Equal(s.t, "petal-2", s.loadedModel(1))
	_, err = s.entryDaemons[1-holder].OrderEngine(ctx, "advice", rankName(1), group.OrderLoadModel, "petal-3")
	require.ErrorIs(s.t, err, lease.ErrNotHeld)
}

func (s *lockStepGroup) loadedModel(rank int) string {
	client, err := engineapi.NewClient(s.engines[rank].URL)
	require.NoError(s.t, err)
	status, err := client.GetStatus(context.Background())
	require.NoError(s.t, err)
	return status.Model
}

// restartAgent restarts a rank's agent in the middle of a switch. The switch must
// complete.
func (s *lockStepGroup) restartAgent(rank int, call string) {
	from := s.interruptSwitch(rank, call, 1)
	held := s.group.State(rank).Hold
	s.agents[rank].stop()
	require.Equal(s.t, held, s.group.State(rank).Hold, "the hold must persist after its agent stops")
	s.clearFailure(rank)
	s.startAgent(rank)
	s.awaitMapSwitch(from)
}

// stopLeaseHolder stops the lease holder in the middle of a switch. The other entry
// must complete the switch and lead the next one.
func (s *lockStepGroup) stopLeaseHolder(rank int, call string) {
	from := s.interruptSwitch(rank, call, 2)
	s.entries[s.leaseHolder()].stop()
	s.clearFailure(rank)
	s.awaitMapSwitch(from)
	// The other entry takes over the lease and leads the next switch.
	from = s.group.State(0).Version
	s.setHotExpert(3)
	s.awaitMapSwitch(from)
}
